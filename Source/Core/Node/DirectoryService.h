#pragma once

#include <memory>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Membership/DirectoryBootstrap.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"

namespace Node {

// Announces this node in a directory, finds its first peers there, and keeps
// the departures of the backend server beside this node there.
template <Membership::NodeDirectory Directory,
          Kernel::MessageSink<MembersMessage> Members,
          Kernel::MessageSink<AnnouncementMessage> Announcements>
class DirectoryService {
public:
  using Message = DirectoryMessage;

  struct Sinks {
    Members ToMembers;
    Announcements ToAnnouncements;
  };

  DirectoryService(Kernel::Context Context, const NodeSettings &Settings,
                   std::function<Sinks()> FindSinks,
                   std::unique_ptr<Directory> DirectoryClient,
                   std::uint64_t Seed)
      : Task(Context.ServiceTask), FindSinks(std::move(FindSinks)),
        DirectoryClient(std::move(DirectoryClient)),
        Bootstrap(Settings.DataCentre, Seed), Self{Settings.Name,
                                                   Settings.DataCentre,
                                                   {Settings.Address,
                                                    Settings.MemberPort}} {}

  void start() {
    Targets = FindSinks();
    tick();
  }
  void handle(const Message &Content) {
    std::visit([this](const auto &Event) { this->onMessage(Event); }, Content);
  }
  void stop() { DirectoryClient.reset(); }

private:
  static constexpr Common::Millis TickInterval{100};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void onMessage(const MembersChanged &Event) {
    Bootstrap.setLiveMembers(Event.Alive->size());
  }

  void onMessage(const RecordDeparture &Event) {
    DirectoryClient->recordDeparture(
        Self.Node, Event.Departed,
        [this, Departed = Event.Departed](Common::ResultCode Code) {
          Targets.ToAnnouncements.post(DepartureRecorded{Departed, Code});
        });
  }

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
          else
            reportOwnDeparture(Found);
          std::erase_if(Found, [this](const Membership::DirectoryEntry &Entry) {
            return Entry.Node == Self.Node;
          });
          auto Seeds = Bootstrap.onListed(Succeeded, Found, now());
          if (Seeds.empty())
            return;
          spdlog::info("event=seeds-found local={} remote={}",
                       Seeds.Local.size(), Seeds.Remote.size());
          Targets.ToMembers.post(SeedsFound{std::move(Seeds)});
        });
  }

  void
  reportOwnDeparture(const std::vector<Membership::DirectoryEntry> &Found) {
    DepartureListed Listed;
    for (const Membership::DirectoryEntry &Entry : Found)
      if (Entry.Node == Self.Node)
        Listed.Departed = Entry.Departed;
    Targets.ToAnnouncements.post(Listed);
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  std::unique_ptr<Directory> DirectoryClient;
  Membership::DirectoryBootstrap Bootstrap;
  Membership::DirectoryEntry Self;
};

} // namespace Node
