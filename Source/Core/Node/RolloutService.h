#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Config/ReaderElection.h"
#include "Kernel/Host.h"
#include "Membership/MemberTable.h"
#include "Membership/Rendezvous.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Recovery/EraTracker.h"
#include "Rollout/Coordinator.h"
#include "Rollout/OrderIntake.h"
#include "Rollout/OrderStore.h"
#include "Rollout/ReportCollector.h"
#include "Rollout/StatusWriter.h"
#include "Rollout/VersionPlanner.h"
#include "Wire/RolloutCodec.h"

namespace Node {

// Moves services between versions. Every node applies the progress it knows of.
// The representatives of each data centre pass it on and collect the reports of
// their nodes, and one of them is the coordinator, which reads the orders,
// decides and writes the statuses.
template <Rollout::OrderStore Store,
          Kernel::MessageSink<IngressMessage> Ingress,
          Kernel::MessageSink<BackendMessage> Backend,
          Kernel::MessageSink<ControlMessage> Control>
class RolloutService {
public:
  using Message = RolloutMessage;

  struct Sinks {
    Ingress ToIngress;
    Backend ToBackend;
    Control ToControl;
    // Closed if the store is never replaced by an older copy.
    Kernel::Address<RecoveryMessage> ToRecovery = {};
  };

  RolloutService(Kernel::Context Context, const NodeSettings &Settings,
                 Rollout::Bounds Limits, std::function<Sinks()> FindSinks,
                 std::unique_ptr<Store> Orders)
      : Task(Context.ServiceTask), Settings(Settings),
        FindSinks(std::move(FindSinks)), Orders(std::move(Orders)),
        StartedAt(now()),
        Election(Settings.Name, ElectionGroup, TakeoverDelay, StartedAt),
        Planner(Settings.Name, Limits), Collector(Settings.DataCentre) {}

  void start() {
    Targets = FindSinks();
    tick();
  }
  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
  }
  void stop() { Orders.reset(); }

private:
  // The representatives elect their coordinator as if they were one data
  // centre.
  static inline const std::string ElectionGroup = "rollouts";
  static constexpr Common::Millis TakeoverDelay{2'500};
  // Until then the other members may be unknown, and each node would believe
  // that it is the coordinator.
  static constexpr Common::Millis StartDelay{3'000};
  static constexpr Common::Millis TickInterval{250};
  static constexpr Common::Millis NewsInterval{1'000};
  static constexpr Common::Millis OrderWait{2'000};
  static constexpr Common::Millis RetryDelay{500};
  // A coordinator that has not reached the store for so long leaves the role
  // to the next one.
  static constexpr Common::Millis MaxSilence{4'000};
  // How long callers have to learn that all calls go to the target version,
  // before the nodes beside other servers refuse theirs.
  static constexpr Common::Millis CloseDelay{500};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void onMessage(MembersChanged &Event) {
    std::map<std::string, std::vector<const Membership::Member *>> ByPlace;
    Addresses.clear();
    Counts.clear();
    OwnServer.reset();
    std::vector<Rollout::ServerAtNode> Servers;
    for (const Membership::Member &Member : *Event.Alive) {
      ByPlace[Member.DataCentre].push_back(&Member);
      Addresses[Member.Node] =
          Member.Address + ":" + std::to_string(Member.ControlPort);
      for (const Membership::Endpoint &Server : Member.Endpoints) {
        if (Member.Node == Settings.Name)
          OwnServer = Server;
        if (Server.Leaving)
          continue;
        ++Counts[Server.Service][Server.Version];
        if (Member.DataCentre == Settings.DataCentre)
          Servers.push_back({Member.Node, Server.Service, Server.Version});
      }
    }
    Collector.setServers(std::move(Servers));
    setRoles(ByPlace);
    apply();
  }

  void
  setRoles(const std::map<std::string, std::vector<const Membership::Member *>>
               &ByPlace) {
    std::vector<Config::ReplicationPeer> Candidates;
    std::vector<std::string> DataCentres;
    Representatives.clear();
    Relay.clear();
    IsCandidate = false;
    for (const auto &[DataCentre, Members] : ByPlace) {
      DataCentres.push_back(DataCentre);
      for (const Membership::Member *Member :
           Membership::representatives(Members, DataCentre)) {
        if (DataCentre == Settings.DataCentre && Relay.empty())
          Relay = Member->Node;
        if (Member->Node == Settings.Name) {
          IsCandidate = true;
          continue;
        }
        Representatives.insert(Member->Node);
        Candidates.push_back(
            {Member->Node, ElectionGroup, Addresses[Member->Node], 0});
      }
    }
    Election.setPeers(Candidates, now());
    Decider.setDataCentres(std::move(DataCentres));
    std::set<std::string> Neighbours;
    for (const Membership::Member *Member : ByPlace.at(Settings.DataCentre))
      if (Member->Node != Settings.Name)
        Neighbours.insert(Member->Node);
    // A node that has just started knows of no roll-out yet.
    if (Relay == Settings.Name && !Table.all().empty())
      for (const std::string &Node : Neighbours)
        if (!LocalNodes.contains(Node))
          sendNews(Node);
    LocalNodes = std::move(Neighbours);
  }

  void onMessage(ServerWatched &Event) {
    Rollout::NodeReport Report;
    Report.Node = Settings.Name;
    Report.Followed = Event.Followed;
    Report.OpenCalls = static_cast<std::int64_t>(Event.OpenCalls);
    Report.Calls = std::move(Event.Counts);
    if (Relay == Settings.Name)
      Collector.handleReport(std::move(Report), now());
    else
      send(Relay, Report);
  }

  void onMessage(EnvelopeArrived &Event) {
    try {
      auto Content = Wire::decodeRollout(Event.Content);
      std::visit([this](auto &Part) { this->onEnvelope(Part); }, Content);
    } catch (const Common::Error &Failure) {
      spdlog::warn("event=rollout-message-refused bytes={} reason=\"{}\"",
                   Event.Content.size(), Failure.what());
    }
  }
  void onMessage(EnvelopeConnectionLost &) {}

  void onMessage(StoreEraChanged &Event) {
    if (observe(Event.Era) == Recovery::EraOrder::Later && IsReading) {
      Orders->cancel();
      IsReading = false;
    }
  }

  // Positions of an earlier era name other records, and the statuses that were
  // written in it may be lost.
  Recovery::EraOrder observe(std::optional<Recovery::StoreEra> Stated) {
    const Recovery::EraOrder Result = Eras.observe(Stated);
    if (Result != Recovery::EraOrder::Same)
      Targets.ToRecovery.post(StoreEraSeen{*Stated, "rollouts"});
    if (Result == Recovery::EraOrder::Later) {
      ReadFrom.reset();
      Intake.handleStoreRestored();
      AreStatusesOwed = true;
    }
    return Result;
  }

  void onEnvelope(Wire::RolloutNews &News) {
    if (News.FromCoordinator) {
      Election.handleReaderAnnouncement(News.Node, now());
      LastCoordinator = News.Node;
    }
    for (const Wire::SentProgress &Sent : News.Known)
      merge({Sent.Ordered, Sent.Reached, now() - Sent.Elapsed}, News.Node);
  }
  void onEnvelope(Rollout::NodeReport &Report) {
    Collector.handleReport(std::move(Report), now());
  }
  void onEnvelope(Rollout::Report &Report) {
    Decider.handleReport(Report, now());
  }

  void merge(const Rollout::Progress &Update, const std::string &Reason) {
    if (!Table.merge(Update))
      return;
    StageSince[Update.Ordered.Service] = now();
    spdlog::info(
        "event=rollout-stage service={} target={} position={} "
        "stage={} elapsed-ms={} coordinator={} reason=\"{}\"",
        Update.Ordered.Service, Update.Ordered.TargetVersion,
        Update.Ordered.Position, Rollout::stageName(Update.Reached),
        std::chrono::duration_cast<Common::Millis>(now() - Update.KnownSince)
            .count(),
        isCoordinator(), Reason);
    apply();
    spreadNews();
  }

  // Applies the progress to the calls of this node and to the server beside it.
  void apply() {
    auto Planned = Planner.plan(Table, Counts, now());
    if (Planned != *Policy) {
      Policy =
          std::make_shared<const Routing::VersionPolicy>(std::move(Planned));
      Targets.ToIngress.post(VersionPolicyChanged{Policy});
    }
    const Rollout::WatchOrder Ordered = watchOrder();
    if (Ordered != Watched) {
      Watched = Ordered;
      Targets.ToBackend.post(WatchServer{Ordered});
    }
  }

  Rollout::WatchOrder watchOrder() const {
    Rollout::WatchOrder Result;
    const Rollout::Progress *Known =
        OwnServer ? Table.find(OwnServer->Service) : nullptr;
    if (!Known || !Rollout::isInForce(*Known, now()))
      return Result;
    Result.IsTarget = OwnServer->Version == Known->Ordered.TargetVersion;
    if (!Rollout::isFinal(Known->Reached))
      Result.Position = Known->Ordered.Position;
    const bool IsWithdrawn = Known->Reached == Rollout::Stage::Withdrawn ||
                             Known->Reached == Rollout::Stage::RolledBack;
    const auto Versions = Counts.find(OwnServer->Service);
    const bool AreThereOthers =
        Versions != Counts.end() && Versions->second.size() > 1;
    if (Result.IsTarget)
      Result.IsClosed = IsWithdrawn && AreThereOthers;
    else
      Result.IsClosed = (Known->Reached == Rollout::Stage::Full ||
                         Known->Reached == Rollout::Stage::Completed) &&
                        AreThereOthers &&
                        now() - StageSince.at(OwnServer->Service) >= CloseDelay;
    return Result;
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    apply();
    if (Table.isAnyRunning() && Relay == Settings.Name)
      reportToCoordinator();
    const bool IsNewsDue = now() - NewsSentAt >= NewsInterval;
    if (isCoordinator()) {
      coordinate();
      if (IsNewsDue && now() - StoreReachedAt < MaxSilence)
        spreadNews();
    } else {
      if (IsReading)
        Orders->cancel();
      IsReading = false;
      if (IsNewsDue && Relay == Settings.Name && Table.isAnyRunning())
        spreadNews();
    }
  }

  bool isCoordinator() const {
    return IsCandidate && now() - StartedAt >= StartDelay &&
           Election.isReader(now());
  }

  void reportToCoordinator() {
    for (const auto &[Service, Known] : Table.all()) {
      if (Rollout::isFinal(Known.Reached))
        continue;
      const Rollout::Report Summary = Collector.summarise(Known, now());
      if (isCoordinator())
        Decider.handleReport(Summary, now());
      else
        send(LastCoordinator, Summary);
    }
  }

  void coordinate() {
    if (!IsReading && now() >= NextReadAt)
      readOrders();
    for (const Rollout::Decision &Due : Decider.decide(Table, now())) {
      if (Rollout::isFinal(Due.Next.Reached))
        Writer.request(Due.Next);
      else
        merge(Due.Next, Due.Reason);
    }
    writeStatus();
  }

  void readOrders() {
    IsReading = true;
    const auto OnDone = [this](const Rollout::OrdersRead &Read) {
      IsReading = false;
      onOrders(Read);
    };
    if (ReadFrom)
      Orders->awaitOrders(*ReadFrom, OrderWait, OnDone);
    else
      Orders->readOrders(OnDone);
  }

  void onOrders(const Rollout::OrdersRead &Read) {
    const bool WasReadOn = ReadFrom.has_value();
    const Recovery::EraOrder Order = observe(Read.Era);
    if (Order == Recovery::EraOrder::Earlier ||
        (Order == Recovery::EraOrder::Later && WasReadOn)) {
      if (isCoordinator())
        readOrders();
      return;
    }
    if (Read.Code != Common::ResultCode::Ok) {
      spdlog::warn("dependency=rollout-orders state=lost code={}",
                   Common::resultCodeNumber(Read.Code));
      NextReadAt = now() + RetryDelay;
      if (Read.Code == Common::ResultCode::LogOffsetExpired)
        ReadFrom.reset();
      return;
    }
    StoreReachedAt = now();
    const bool IsFirstRead = !ReadFrom;
    ReadFrom = Read.Next;
    std::set<std::string> Replaced;
    for (Rollout::Order Found : Read.Orders) {
      Found.Position = Rollout::positionInEra(Read.Era, Found.Position);
      const Rollout::OrderStep Step =
          Intake.handleOrder(Found, Table.find(Found.Service), IsFirstRead);
      if (Step == Rollout::OrderStep::Skip)
        continue;
      Replaced.insert(Found.Service);
      // An order that was there before may have ended long ago.
      if (Step == Rollout::OrderStep::Resume)
        Writer.resume({Found, Rollout::Stage::Trial, now()});
      else
        begin({Found, Rollout::Stage::Trial, now()});
    }
    if (std::exchange(AreStatusesOwed, false))
      restoreStatuses(Replaced);
    // Reads on at once, so that an order is known when it is written.
    if (isCoordinator())
      readOrders();
  }

  // Writes the statuses again that the store has lost, but for services whose
  // status belongs to another order by now.
  void restoreStatuses(const std::set<std::string> &Replaced) {
    for (const auto &[Service, Known] : Table.all())
      if (!Replaced.contains(Service))
        Writer.restore(Known);
  }

  void begin(const Rollout::Progress &Ordered) {
    Writer.begin(Ordered);
    merge(Ordered, "ordered");
    writeStatus();
  }

  void writeStatus() {
    if (!Writer.isDue(now()))
      return;
    Writer.onStarted();
    Orders->readStatuses([this](Rollout::StatusesRead Read) {
      // Statuses of an earlier era are read again.
      if (observe(Read.Era) == Recovery::EraOrder::Earlier)
        Read.Code = Common::ResultCode::LogUnavailable;
      const Rollout::WriteStep Step = Writer.onStatuses(Read, now());
      for (const Rollout::Progress &Adopted : Step.Adopted)
        if (!isEndOfEarlierOrder(Adopted))
          merge(Adopted, "found in the store");
      if (Step.Write)
        Orders->writeStatus(
            *Step.Write, Read.End,
            [this, ReadEra = Read.Era](const Recovery::StoreAnswer &Answer) {
              onStatusWritten(Answer, ReadEra);
            });
    });
  }

  // Whether a status that was found ends an order that the copy of the store
  // still holds, although a later order of the service is known.
  bool isEndOfEarlierOrder(const Rollout::Progress &Adopted) const {
    const Rollout::Progress *Known = Table.find(Adopted.Ordered.Service);
    return Known && Rollout::isFinal(Adopted.Reached) &&
           Known->Ordered.TargetVersion != Adopted.Ordered.TargetVersion &&
           Rollout::isOfLaterEra(Adopted.Ordered, Known->Ordered);
  }

  void onStatusWritten(const Recovery::StoreAnswer &Answer,
                       std::optional<Recovery::StoreEra> ReadEra) {
    observe(Answer.Era);
    Common::ResultCode Code = Answer.Code;
    // The condition held for an end of another era, or the status is lost.
    if (Code == Common::ResultCode::Ok &&
        (Answer.Era != ReadEra || Answer.Era != Eras.current()))
      Code = Common::ResultCode::PublishRaceLost;
    spdlog::info("event=rollout-status-written code={}",
                 Common::resultCodeNumber(Code));
    for (const auto &Written : Writer.onWritten(Code, now()))
      merge(Written, "written to the store");
  }

  // Passes on what this node knows: the coordinator to the representatives, and
  // these to the nodes of their data centre.
  void spreadNews() {
    if (!IsCandidate)
      return;
    NewsSentAt = now();
    std::set<std::string> Receivers;
    if (isCoordinator())
      Receivers = Representatives;
    if (!Table.all().empty())
      Receivers.insert(LocalNodes.begin(), LocalNodes.end());
    for (const std::string &Node : Receivers)
      sendNews(Node);
  }

  void sendNews(const std::string &Node) {
    Wire::RolloutNews News{Settings.Name, isCoordinator(), {}};
    for (const auto &[Service, Known] : Table.all())
      News.Known.push_back({Known.Ordered, Known.Reached,
                            std::chrono::duration_cast<Common::Micros>(
                                now() - Known.KnownSince)});
    send(Node, News);
  }

  void send(const std::string &Node, const Wire::RolloutEnvelope &Content) {
    const auto Found = Addresses.find(Node);
    if (Found != Addresses.end() && Node != Settings.Name)
      Targets.ToControl.post(SendEnvelope{Found->second, RolloutsName,
                                          Wire::encodeRollout(Content)});
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  std::unique_ptr<Store> Orders;
  Common::SteadyTime StartedAt;
  Config::ReaderElection Election;
  Rollout::VersionPlanner Planner;
  Rollout::ReportCollector Collector;
  Rollout::Coordinator Decider;
  Rollout::StatusWriter Writer;
  Rollout::ProgressTable Table;
  std::map<std::string, Common::SteadyTime> StageSince;

  std::map<std::string, Routing::NodeAddress> Addresses;
  Rollout::VersionCounts Counts;
  std::optional<Membership::Endpoint> OwnServer;
  // The representatives of all data centres, without this node.
  std::set<std::string> Representatives;
  // The other nodes of this data centre.
  std::set<std::string> LocalNodes;
  // The node of this data centre that collects the reports.
  std::string Relay;
  std::string LastCoordinator;
  bool IsCandidate = false;

  Routing::VersionPolicyPtr Policy =
      std::make_shared<const Routing::VersionPolicy>();
  Rollout::WatchOrder Watched;

  // Where to read on; empty before the first read.
  std::optional<std::int64_t> ReadFrom;
  bool IsReading = false;
  Recovery::EraTracker Eras;
  Rollout::OrderIntake Intake;
  // Whether the store may have lost statuses since the orders were last read.
  bool AreStatusesOwed = false;
  Common::SteadyTime NextReadAt;
  Common::SteadyTime StoreReachedAt;
  Common::SteadyTime NewsSentAt;
};

} // namespace Node
