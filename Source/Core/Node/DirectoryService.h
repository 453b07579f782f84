#pragma once

#include <memory>
#include <set>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Membership/DirectoryBootstrap.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Recovery/EraTracker.h"

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
    // Closed if the directory is never replaced by an older copy.
    Kernel::Address<RecoveryMessage> ToRecovery = {};
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
    LiveNodes.clear();
    for (const Membership::Member &Member : *Event.Alive)
      LiveNodes.insert(Member.Node);
  }

  void onMessage(const StoreEraChanged &Event) { Eras.observe(Event.Era); }

  void onMessage(const EntriesLost &) {
    spdlog::info("event=announced-again reason=\"the directory may have lost "
                 "the entry of this node\"");
    Bootstrap.restart(now());
  }

  void onMessage(const RecordDeparture &Event) {
    DirectoryClient->recordDeparture(
        Self.Node, Event.Departed,
        [this, Departed = Event.Departed](Recovery::StoreAnswer Answer) {
          Targets.ToAnnouncements.post(
              DepartureRecorded{Departed, resultOfWrite(Answer)});
        });
  }

  // What was written in an earlier era may be lost, although the answer to it
  // arrives only now.
  Common::ResultCode resultOfWrite(const Recovery::StoreAnswer &Answer) {
    const bool MayBeLost = observe(Answer) == Recovery::EraOrder::Earlier;
    return MayBeLost && Answer.Code == Common::ResultCode::Ok
               ? Common::ResultCode::LogUnavailable
               : Answer.Code;
  }

  Recovery::EraOrder observe(const Recovery::StoreAnswer &Answer) {
    const Recovery::EraOrder Result = Eras.observe(Answer.Era);
    if (Result != Recovery::EraOrder::Same)
      Targets.ToRecovery.post(StoreEraSeen{*Answer.Era, "directory"});
    return Result;
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
    DirectoryClient->announce(Self, [this](Recovery::StoreAnswer Answer) {
      const Common::ResultCode Code = resultOfWrite(Answer);
      if (Code != Common::ResultCode::Ok)
        spdlog::warn("dependency=directory state=lost step=announce code={}",
                     Common::resultCodeNumber(Code));
      Bootstrap.onAnnounced(Code == Common::ResultCode::Ok, now());
    });
  }

  void list() {
    DirectoryClient->list([this](
                              Recovery::StoreAnswer Answer,
                              std::vector<Membership::DirectoryEntry> Found) {
      const bool IsCurrent = observe(Answer) != Recovery::EraOrder::Earlier;
      const bool Succeeded = IsCurrent && Answer.Code == Common::ResultCode::Ok;
      if (!Succeeded)
        spdlog::warn("dependency=directory state=lost step=list code={}",
                     Common::resultCodeNumber(Answer.Code));
      else
        reportOwnDeparture(Found);
      // Nodes that are known need no introduction.
      std::erase_if(Found, [this](const Membership::DirectoryEntry &Entry) {
        return Entry.Node == Self.Node || LiveNodes.contains(Entry.Node);
      });
      auto Seeds = Bootstrap.onListed(Succeeded, Found, now());
      if (Seeds.empty())
        return;
      spdlog::info("event=seeds-found local={} remote={}", Seeds.Local.size(),
                   Seeds.Remote.size());
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
  // The nodes that are known to be alive.
  std::set<std::string> LiveNodes;
  Recovery::EraTracker Eras;
};

} // namespace Node
