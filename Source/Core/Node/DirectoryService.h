#pragma once

#include <memory>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Membership/DirectoryBootstrap.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"

namespace Node {

// Brings a node that knows nobody together with the others.
template <Membership::NodeDirectory Directory,
          Kernel::MessageSink<MembersMessage> Members>
class DirectoryService {
public:
  using Message = MembersChanged;

  DirectoryService(Kernel::Context Around, const NodeSettings &Settings,
                   std::function<Members()> FindMembers,
                   std::unique_ptr<Directory> Entries, std::uint64_t Seed)
      : Home(Around.Home), FindMembers(std::move(FindMembers)),
        Entries(std::move(Entries)),
        Decisions(Settings.DataCentre, Seed), Own{Settings.Name,
                                                  Settings.DataCentre,
                                                  {Settings.Address,
                                                   Settings.MemberPort}} {}

  void start() {
    ToMembers = FindMembers();
    tick();
  }
  void handle(const Message &Content) {
    Decisions.setLiveMembers(Content.Alive->size());
  }
  void stop() { Entries.reset(); }

private:
  static constexpr Common::Millis TickInterval{100};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    const Membership::DirectoryStep Step = Decisions.nextStep(now());
    if (Step == Membership::DirectoryStep::Announce)
      announce();
    else if (Step == Membership::DirectoryStep::List)
      list();
  }

  void announce() {
    Entries->announce(Own, [this](Common::ResultCode Code) {
      if (Code != Common::ResultCode::Ok)
        spdlog::warn("dependency=directory state=lost step=announce code={}",
                     Common::resultCodeNumber(Code));
      Decisions.onAnnounced(Code == Common::ResultCode::Ok, now());
    });
  }

  void list() {
    Entries->list([this](Common::ResultCode Code,
                         std::vector<Membership::DirectoryEntry> Found) {
      const bool Done = Code == Common::ResultCode::Ok;
      if (!Done)
        spdlog::warn("dependency=directory state=lost step=list code={}",
                     Common::resultCodeNumber(Code));
      std::erase(Found, Own);
      auto Seeds = Decisions.onListed(Done, Found, now());
      if (Seeds.empty())
        return;
      spdlog::info("event=seeds-found home={} foreign={}", Seeds.Local.size(),
                   Seeds.Remote.size());
      ToMembers.post(SeedsFound{std::move(Seeds)});
    });
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  std::function<Members()> FindMembers;
  Members ToMembers;
  std::unique_ptr<Directory> Entries;
  Membership::DirectoryBootstrap Decisions;
  Membership::DirectoryEntry Own;
};

} // namespace Node
