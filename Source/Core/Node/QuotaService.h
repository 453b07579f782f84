#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Common/Rendezvous.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Tenants/QuotaLedger.h"
#include "Wire/QuotaCodec.h"

namespace Node {

// Exchanges what tenants ask of the nodes, so that quotas hold for the whole
// mesh. Each node reports to the head of its data centre, and the heads report
// to each other. The head is the node that ranks first by rendezvous; a node
// that gets reports acts as head, so nothing has to be agreed.
template <Kernel::MessageSink<IngressMessage> Ingress,
          Kernel::MessageSink<ControlMessage> Control>
class QuotaService {
public:
  using Message = QuotaMessage;

  struct Sinks {
    Ingress ToIngress;
    Control ToControl;
  };

  QuotaService(Kernel::Context Context, const NodeSettings &Settings,
               std::function<Sinks()> FindSinks)
      : Task(Context.ServiceTask), Settings(Settings),
        FindSinks(std::move(FindSinks)),
        Ledger(Settings.DataCentre, Settings.Quota) {}

  void start() {
    Targets = FindSinks();
    if (Settings.Quota.isEnforced())
      tick();
  }

  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
  }

  void stop() {}

private:
  struct Peer {
    std::string Node;
    Routing::NodeAddress Address;
  };

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void onMessage(const ConfigAccepted &Event) {
    HasTenants = !Event.Newest.Set->tenants().empty();
    Ledger.useSet(Event.Newest.Set->tenants(), now());
  }

  void onMessage(const MembersChanged &Event) {
    std::map<std::string, std::map<std::string, Routing::NodeAddress>> Nodes;
    Nodes[Settings.DataCentre][Settings.Name] = {};
    for (const Membership::Member &Member : *Event.Alive)
      Nodes[Member.DataCentre][Member.Node] =
          Member.Address + ":" + std::to_string(Member.ControlPort);
    std::set<std::string> DataCentres;
    Heads.clear();
    for (const auto &[DataCentre, Members] : Nodes) {
      DataCentres.insert(DataCentre);
      std::vector<std::string> Names;
      for (const auto &[Name, Address] : Members)
        Names.push_back(Name);
      const std::string Head =
          Common::rankByRendezvous("quota/" + DataCentre, std::move(Names))
              .front();
      Heads[DataCentre] = {Head, Members.at(Head)};
    }
    Ledger.useDataCentres(std::move(DataCentres), now());
  }

  void onMessage(DemandCounted &Event) {
    const auto Head = Heads.find(Settings.DataCentre);
    if (Head == Heads.end())
      return;
    Event.Report.Node = Settings.Name;
    if (Head->second.Node != Settings.Name) {
      send(Head->second.Address, Event.Report);
      return;
    }
    Ledger.handleNode(Event.Report, now());
    Targets.ToIngress.post(
        QuotaGranted{Ledger.grantsFor(Settings.Name, now())});
    announceNews();
  }

  void onMessage(const EnvelopeArrived &Event) {
    try {
      const Wire::QuotaEnvelope Content =
          Wire::decodeQuotaEnvelope(Event.Content);
      if (const auto *Report = std::get_if<Tenants::NodeReport>(&Content)) {
        Origins[Report->Node] = Event.Origin;
        Ledger.handleNode(*Report, now());
        grant(Report->Node, Event.Origin);
      } else if (const auto *Granted = std::get_if<Tenants::Grants>(&Content)) {
        Targets.ToIngress.post(QuotaGranted{*Granted});
      } else {
        Ledger.handleDataCentre(std::get<Tenants::DataCentreReport>(Content),
                                now());
      }
      announceNews();
    } catch (const Common::Error &Failure) {
      spdlog::warn("event=quota-message-refused bytes={} reason=\"{}\"",
                   Event.Content.size(), Failure.what());
    }
  }

  // The next report finds the next head, or the same one again.
  void onMessage(const EnvelopeConnectionLost &) {}

  void grant(const std::string &Node, OriginId Origin) {
    Targets.ToControl.post(ReplyEnvelope{
        Origin, QuotaName,
        Wire::encodeQuotaEnvelope(Ledger.grantsFor(Node, now()))});
  }

  void announceNews() {
    if (!Ledger.isHead(now()))
      return;
    // Every node must learn at once that a tenant is over its quota.
    const bool HasNewlyLimited = Ledger.takeHasNewlyLimited();
    if (HasNewlyLimited) {
      spdlog::info("event=quota-limited data-centre={}", Settings.DataCentre);
      for (const auto &[Node, Origin] : Origins)
        grant(Node, Origin);
      Targets.ToIngress.post(
          QuotaGranted{Ledger.grantsFor(Settings.Name, now())});
    }
    if (HasNewlyLimited || Ledger.hasUrgentReport(now()))
      reportToHeads();
  }

  void reportToHeads() {
    const auto Report = Ledger.takeReport(Settings.Name, now());
    if (!Report)
      return;
    for (const auto &[DataCentre, Head] : Heads)
      if (DataCentre != Settings.DataCentre)
        send(Head.Address, *Report);
  }

  void send(const Routing::NodeAddress &Address,
            const Wire::QuotaEnvelope &Content) {
    Targets.ToControl.post(
        SendEnvelope{Address, QuotaName, Wire::encodeQuotaEnvelope(Content)});
  }

  void tick() {
    Clock.after(Tenants::ReportInterval, [this] { tick(); });
    if (!HasTenants)
      return;
    if (!Ledger.isHead(now()))
      Origins.clear();
    else
      reportToHeads();
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Tenants::QuotaLedger Ledger;
  // The first node of each data centre, by the name of the data centre.
  std::map<std::string, Peer> Heads;
  // The connections on which the nodes report to this one.
  std::map<std::string, OriginId> Origins;
  bool HasTenants = false;
};

} // namespace Node
