#pragma once

#include <memory>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Membership/DirectoryBootstrap.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"

namespace Node {

// Announces this node in a directory and finds its first peers there.
template <Membership::NodeDirectory Directory,
          Kernel::MessageSink<MembersMessage> Members>
class DirectoryService {
public:
  using Message = MembersChanged;

  DirectoryService(Kernel::Context Context, const NodeSettings &Settings,
                   std::function<Members()> FindMembers,
                   std::unique_ptr<Directory> DirectoryClient,
                   std::uint64_t Seed)
      : Task(Context.ServiceTask), FindMembers(std::move(FindMembers)),
        DirectoryClient(std::move(DirectoryClient)),
        Bootstrap(Settings.DataCentre, Seed), Self{Settings.Name,
                                                   Settings.DataCentre,
                                                   {Settings.Address,
                                                    Settings.MemberPort}} {}

  void start() {
    ToMembers = FindMembers();
    tick();
  }
  void handle(const Message &Content) {
    Bootstrap.setLiveMembers(Content.Alive->size());
  }
  void stop() { DirectoryClient.reset(); }

private:
  static constexpr Common::Millis TickInterval{100};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    const Membership::DirectoryStep Step = Bootstrap.nextStep(now());
    if (Step == Membership::DirectoryStep::Announce)
      announce();
    else if (Step == Membership::DirectoryStep::List)
      list();
  }

  void announce() {
    DirectoryClient->announce(Self, [this](Common::ResultCode Code) {
      if (Code != Common::ResultCode::Ok)
        spdlog::warn("dependency=directory state=lost step=announce code={}",
                     Common::resultCodeNumber(Code));
      Bootstrap.onAnnounced(Code == Common::ResultCode::Ok, now());
    });
  }

  void list() {
    DirectoryClient->list(
        [this](Common::ResultCode Code,
               std::vector<Membership::DirectoryEntry> Found) {
          const bool Succeeded = Code == Common::ResultCode::Ok;
          if (!Succeeded)
            spdlog::warn("dependency=directory state=lost step=list code={}",
                         Common::resultCodeNumber(Code));
          std::erase(Found, Self);
          auto Seeds = Bootstrap.onListed(Succeeded, Found, now());
          if (Seeds.empty())
            return;
          spdlog::info("event=seeds-found local={} remote={}",
                       Seeds.Local.size(), Seeds.Remote.size());
          ToMembers.post(SeedsFound{std::move(Seeds)});
        });
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  std::function<Members()> FindMembers;
  Members ToMembers;
  std::unique_ptr<Directory> DirectoryClient;
  Membership::DirectoryBootstrap Bootstrap;
  Membership::DirectoryEntry Self;
};

} // namespace Node
