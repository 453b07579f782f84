#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Tenants/QuotaLedger.h"
#include "Tenants/QuotaLimiter.h"

namespace UnitTests {

struct TenantLoad {
  std::string Name;
  double DemandPerSecond = 0;
  double RatePerSecond = 0;
  double Burst = 0;
  // The weight of each node in the demand.
  std::function<double(std::size_t)> WeightOf = [](std::size_t) { return 1.0; };
};

// Nodes in several data centres that share the quotas of tenants, in virtual
// time. Requests come at random, and messages take their time.
class VirtualMesh {
public:
  struct Counts {
    int Demanded = 0;
    int Admitted = 0;
    // What a single bucket for the whole mesh would have admitted.
    int WithinQuota = 0;

    int refusedWithinQuota() const {
      return std::max(WithinQuota - Admitted, 0);
    }
  };

  VirtualMesh(const std::vector<std::string> &DataCentres,
              std::size_t NodesPerDataCentre,
              const std::vector<TenantLoad> &Offered)
      : DataCentres(DataCentres.begin(), DataCentres.end()) {
    for (const TenantLoad &Load : Offered) {
      Names.push_back(Load.Name);
      Loads[Load.Name] = Load;
      Records[Load.Name].Level = Load.Burst;
    }
    for (const std::string &DataCentre : DataCentres) {
      startHead(DataCentre);
      for (std::size_t Index = 0; Index < NodesPerDataCentre; ++Index) {
        Nodes.push_back({DataCentre + std::to_string(Index), DataCentre,
                         std::make_unique<Tenants::QuotaLimiter>(Terms),
                         Now + Common::Millis(Random() % 500)});
        Nodes.back().Limiter->setNodeCount(DataCentres.size() *
                                           NodesPerDataCentre);
      }
    }
    publish();
    // Nodes and heads run before the first requests come.
    const auto Usual = Loads;
    for (auto &[Name, Load] : Loads)
      Load.DemandPerSecond = 0;
    run(Common::Millis(3'000));
    Loads = Usual;
  }

  std::vector<TenantLoad> loads() const {
    std::vector<TenantLoad> Result;
    for (const std::string &Name : Names)
      Result.push_back(Loads.at(Name));
    return Result;
  }
  TenantLoad &load(const std::string &Name) { return Loads.at(Name); }

  void setQuota(const std::string &Name, double RatePerSecond, double Burst) {
    Loads.at(Name).RatePerSecond = RatePerSecond;
    Loads.at(Name).Burst = Burst;
    publish();
  }

  void run(Common::Millis Time) {
    const Common::SteadyTime End = Now + Time;
    for (; Now < End; Now += Step) {
      while (!Messages.empty() && Messages.begin()->first <= Now) {
        const auto Deliver = std::move(Messages.begin()->second);
        Messages.erase(Messages.begin());
        Deliver();
      }
      for (NodeState &Node : Nodes)
        if (Node.NextReport <= Now) {
          Node.NextReport += Tenants::ReportInterval;
          report(Node);
        }
      if (NextHeadReport <= Now) {
        NextHeadReport += Tenants::ReportInterval;
        for (const std::string &DataCentre : DataCentres)
          reportToHeads(DataCentre);
      }
      for (const std::string &Name : Names)
        createRequests(Loads.at(Name));
    }
  }

  void cutOff(const std::string &DataCentre) { Cut.insert(DataCentre); }
  void joinAgain(const std::string &DataCentre) { Cut.erase(DataCentre); }
  // The head dies, and the next one takes over after some time.
  void replaceHead(const std::string &DataCentre, Common::Millis After) {
    Heads.erase(DataCentre);
    Messages.emplace(Now + After, [this, DataCentre] {
      startHead(DataCentre);
      publish();
    });
  }

  void forgetHistory() {
    for (auto &[Name, Record] : Records)
      Record = {};
  }
  Counts countsOf(const std::string &Name) const {
    return Records.at(Name).Totals;
  }
  // The most requests that were admitted in any window.
  std::size_t mostInWindow(const std::string &Name) const {
    std::size_t Most = 0;
    std::deque<Common::SteadyTime> Window;
    for (const Common::SteadyTime Time : Records.at(Name).AdmittedAt) {
      Window.push_back(Time);
      while (Window.front() <= Time - Terms.Window)
        Window.pop_front();
      Most = std::max(Most, Window.size());
    }
    return Most;
  }
  double bound(const std::string &Name) const {
    const TenantLoad &Load = Loads.at(Name);
    return Load.RatePerSecond *
               std::chrono::duration<double>(Terms.Window).count() +
           Load.Burst + Terms.tolerance(Load.RatePerSecond, Load.Burst);
  }
  std::size_t ratesExchanged() const { return RatesExchanged; }

private:
  struct NodeState {
    std::string Name;
    std::string DataCentre;
    std::unique_ptr<Tenants::QuotaLimiter> Limiter;
    Common::SteadyTime NextReport;
  };
  struct TenantRecord {
    std::vector<Common::SteadyTime> AdmittedAt;
    Counts Totals;
    // A bucket for the whole mesh, for comparison.
    double Level = 0;
    Common::SteadyTime FilledAt;
  };

  static constexpr Common::Millis Step{5};
  static constexpr Common::Millis LocalDelay{30};
  static constexpr Common::Millis RemoteDelay{50};

  std::map<std::string, Config::Tenant> definitions() const {
    std::map<std::string, Config::Tenant> Result;
    for (const auto &[Name, Load] : Loads) {
      Config::Tenant Tenant;
      Tenant.Name = Name;
      Tenant.RatePerSecond = Load.RatePerSecond;
      Tenant.Burst = Load.Burst;
      Result[Name] = Tenant;
    }
    return Result;
  }

  void publish() {
    for (NodeState &Node : Nodes)
      Node.Limiter->useSet(definitions(), Now);
    for (auto &[Name, Head] : Heads)
      Head->useSet(definitions(), Now);
  }

  void startHead(const std::string &DataCentre) {
    Heads[DataCentre] =
        std::make_unique<Tenants::QuotaLedger>(DataCentre, Terms);
    Heads[DataCentre]->useDataCentres(DataCentres, Now);
    ++HeadStarts;
  }

  void report(NodeState &Node) {
    auto Report = Node.Limiter->takeReport(Now);
    if (!Report)
      return;
    Report->Node = Node.Name;
    Messages.emplace(Now + LocalDelay, [this, &Node, Report] {
      const auto Head = Heads.find(Node.DataCentre);
      if (Head == Heads.end())
        return;
      Head->second->handleNode(*Report, Now);
      grant(Node);
      announce(Node.DataCentre);
    });
  }

  void grant(NodeState &Node) {
    const Tenants::Grants Granted =
        Heads.at(Node.DataCentre)->grantsFor(Node.Name, Now);
    Messages.emplace(Now + LocalDelay, [this, &Node, Granted] {
      Node.Limiter->useGrants(Granted, Now);
    });
  }

  void announce(const std::string &DataCentre) {
    Tenants::QuotaLedger &Head = *Heads.at(DataCentre);
    const bool HasNewlyLimited = Head.takeHasNewlyLimited();
    if (HasNewlyLimited)
      for (NodeState &Node : Nodes)
        if (Node.DataCentre == DataCentre)
          grant(Node);
    if (HasNewlyLimited || Head.hasUrgentReport(Now))
      reportToHeads(DataCentre);
  }

  void reportToHeads(const std::string &DataCentre) {
    const auto Head = Heads.find(DataCentre);
    if (Head == Heads.end())
      return;
    const auto Report =
        Head->second->takeReport(std::to_string(HeadStarts), Now);
    if (!Report)
      return;
    for (const std::string &Other : DataCentres) {
      if (Other == DataCentre || Cut.contains(Other) ||
          Cut.contains(DataCentre))
        continue;
      RatesExchanged += Report->Rates.size();
      Messages.emplace(Now + RemoteDelay, [this, Other, Report] {
        const auto Receiver = Heads.find(Other);
        if (Receiver == Heads.end())
          return;
        Receiver->second->handleDataCentre(*Report, Now);
        announce(Other);
      });
    }
  }

  void createRequests(const TenantLoad &Load) {
    const double Expected =
        Load.DemandPerSecond * std::chrono::duration<double>(Step).count();
    if (Expected <= 0)
      return;
    const int Count = std::poisson_distribution<int>(Expected)(Random);
    if (Count == 0)
      return;
    std::vector<double> Weights;
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      Weights.push_back(Load.WeightOf(Index));
    std::discrete_distribution<std::size_t> Choose(Weights.begin(),
                                                   Weights.end());
    for (int Request = 0; Request < Count; ++Request)
      record(Load, Nodes[Choose(Random)]);
  }

  void record(const TenantLoad &Load, NodeState &Node) {
    TenantRecord &Record = Records.at(Load.Name);
    Record.Level = std::min(
        Record.Level +
            Load.RatePerSecond *
                std::chrono::duration<double>(Now - Record.FilledAt).count(),
        Load.Burst);
    Record.FilledAt = Now;
    ++Record.Totals.Demanded;
    if (Record.Level >= 1) {
      Record.Level -= 1;
      ++Record.Totals.WithinQuota;
    }
    if (Node.Limiter->tryAdmit(Load.Name, Now)) {
      ++Record.Totals.Admitted;
      Record.AdmittedAt.push_back(Now);
    }
    if (Node.Limiter->isSurging(Now))
      report(Node);
  }

  Tenants::QuotaTerms Terms{std::chrono::seconds(5), 0.1, 20};
  Common::SteadyTime Now{std::chrono::seconds(1'000)};
  Common::SteadyTime NextHeadReport = Now;
  std::mt19937_64 Random{17};
  std::set<std::string> DataCentres;
  std::vector<std::string> Names;
  std::map<std::string, TenantLoad> Loads;
  std::map<std::string, TenantRecord> Records;
  std::vector<NodeState> Nodes;
  std::map<std::string, std::unique_ptr<Tenants::QuotaLedger>> Heads;
  std::set<std::string> Cut;
  std::multimap<Common::SteadyTime, std::function<void()>> Messages;
  std::size_t RatesExchanged = 0;
  int HeadStarts = 0;
};

} // namespace UnitTests
