#include "Tenants/QuotaLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Tenants {

namespace {

double seconds(Common::Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void QuotaLedger::useSet(
    const std::map<std::string, Config::Tenant> &Definitions,
    Common::SteadyTime Now) {
  std::map<TenantId, Account> Kept;
  for (const auto &[Name, Definition] : Definitions) {
    if (Definition.RatePerSecond <= 0)
      continue;
    const TenantId Id = tenantIdOf(Name);
    auto Earlier = Accounts.extract(Id);
    Account &Entry = Kept[Id];
    if (Earlier.empty()) {
      Entry.Level = Definition.Burst;
      Entry.UpdatedAt = Now;
      Entry.SentAt = Now;
    } else {
      advance(Earlier.mapped(), Now);
      Entry = std::move(Earlier.mapped());
    }
    Entry.RatePerSecond = Definition.RatePerSecond;
    Entry.Burst = Definition.Burst;
    Entry.Level = std::min(Entry.Level, Entry.Burst);
    updateLimited(Entry);
  }
  Accounts = std::move(Kept);
}

void QuotaLedger::useDataCentres(std::set<std::string> Names,
                                 Common::SteadyTime Now) {
  DataCentres = std::move(Names);
  DataCentres.erase(LocalDataCentre);
  std::erase_if(HeardAt, [this](const auto &Entry) {
    return !DataCentres.contains(Entry.first);
  });
  for (const std::string &Name : DataCentres)
    HeardAt.try_emplace(Name, Now);
  for (auto &[Id, Entry] : Accounts)
    std::erase_if(Entry.Remotes, [this](const auto &Remote) {
      return !DataCentres.contains(Remote.first);
    });
}

double QuotaLedger::meshDemand(const Account &Entry) {
  double Result = Entry.LocalDemand;
  for (const auto &[Name, Remote] : Entry.Remotes)
    Result += Remote.DemandPerSecond;
  return Result;
}

bool QuotaLedger::isCutOff(Common::SteadyTime Now) const {
  return std::any_of(HeardAt.begin(), HeardAt.end(), [&](const auto &Entry) {
    return Now - Entry.second > SilenceLimit;
  });
}

// Load pattern: a data centre is cut off while a tenant sends many times its
// usual. Each side sees only its own part of the demand, so each keeps to the
// part of the quota that it had before.
void QuotaLedger::advance(Account &Entry, Common::SteadyTime Now) {
  const double Passed = seconds(Now - Entry.UpdatedAt);
  if (Passed <= 0)
    return;
  Entry.UpdatedAt = Now;
  double AdmittedElsewhere = 0;
  for (auto &[Name, Remote] : Entry.Remotes) {
    AdmittedElsewhere += Remote.AdmittedPerSecond;
    Remote.Charged += Remote.AdmittedPerSecond * Passed;
  }
  Entry.IsCutOff = isCutOff(Now);
  if (!Entry.IsCutOff) {
    const double Demand = meshDemand(Entry);
    if (!Entry.LocalShare)
      Entry.LocalShare = 1.0 / static_cast<double>(DataCentres.size() + 1);
    if (Demand > 0 && !isWarmingUp(Now))
      *Entry.LocalShare +=
          (1 - std::exp(-Passed / seconds(ShareSmoothingTime))) *
          (Entry.LocalDemand / Demand - *Entry.LocalShare);
  } else if (Entry.LocalShare) {
    AdmittedElsewhere = std::max(AdmittedElsewhere,
                                 Entry.RatePerSecond * (1 - *Entry.LocalShare));
  }
  // The floor bounds how long a tenant is held back after an overshoot.
  Entry.Level = std::clamp(
      Entry.Level + (Entry.RatePerSecond - AdmittedElsewhere) * Passed,
      -Entry.RatePerSecond * seconds(Terms.Window),
      Entry.Burst * decidedShare(Entry));
}

double QuotaLedger::targetLevel(const Account &Entry) const {
  const double Tolerance = Terms.tolerance(Entry.RatePerSecond, Entry.Burst);
  if (Entry.IsCutOff)
    return -CutOffToleranceShare * decidedShare(Entry) * Tolerance;
  // Of a small quota, only few requests can be admitted before the nodes know.
  const double SmallQuotaTolerance =
      SmallQuotaToleranceShare *
      (Tolerance - Entry.RatePerSecond * seconds(ReactionTime));
  return -std::max(ToleranceShare * Tolerance, SmallQuotaTolerance);
}

void QuotaLedger::updateLimited(Account &Entry) {
  // Part of the burst that must be there again before a limit ends.
  constexpr double RecoveredShare = 0.25;
  if (!Entry.IsLimited && Entry.Level < targetLevel(Entry)) {
    Entry.IsLimited = true;
    HasNewlyLimited = true;
  } else if (Entry.IsLimited &&
             Entry.Level >=
                 RecoveredShare * Entry.Burst * decidedShare(Entry) &&
             meshDemand(Entry) <= Entry.RatePerSecond) {
    Entry.IsLimited = false;
  }
}

void QuotaLedger::handleNode(const NodeReport &Report, Common::SteadyTime Now) {
  if (!isHead(Now))
    HeadSince = Now;
  NodeHeardAt = Now;
  const double Period = seconds(Report.Period);
  if (Period <= 0)
    return;
  const double Weight = 1 - std::exp(-Period / seconds(SmoothingTime));
  std::unordered_map<TenantId, const TenantCount *> Counts;
  for (const TenantCount &Count : Report.Counts)
    Counts.emplace(Count.Tenant, &Count);
  std::unordered_map<TenantId, double> EarlierGrants;
  if (isWarmingUp(Now))
    for (const Grant &Earlier : Report.Limited)
      EarlierGrants.emplace(Earlier.Tenant, Earlier.RatePerSecond);
  for (auto &[Id, Entry] : Accounts) {
    advance(Entry, Now);
    const auto Count = Counts.find(Id);
    const auto Earlier = EarlierGrants.find(Id);
    const auto Found = Entry.Nodes.find(Report.Node);
    if (Count != Counts.end() || Found != Entry.Nodes.end() ||
        Earlier != EarlierGrants.end()) {
      NodeDemand &Node = Entry.Nodes[Report.Node];
      const double Measured =
          Count == Counts.end() ? 0 : Count->second->Demanded / Period;
      const double Change = Weight * (Measured - Node.PerSecond);
      Node.PerSecond += Change;
      const double Admitted =
          Count == Counts.end() ? 0 : Count->second->Admitted / Period;
      const double AdmittedChange =
          Weight * (Admitted - Node.AdmittedPerSecond);
      Node.AdmittedPerSecond += AdmittedChange;
      Entry.LocalAdmitted += AdmittedChange;
      if (Measured > 0)
        Node.LastDemandAt = Now;
      Node.UpdatedAt = Now;
      Entry.LocalDemand = std::max(0.0, Entry.LocalDemand + Change);
      if (Earlier != EarlierGrants.end())
        Node.EarlierGrant = Earlier->second;
    }
    if (Count != Counts.end()) {
      Entry.Level -= Count->second->Admitted;
      Entry.AdmittedTotal += Count->second->Admitted;
    }
    if (Earlier != EarlierGrants.end()) {
      Entry.IsLimited = true;
      Entry.Level = std::min(Entry.Level, targetLevel(Entry));
    }
    updateLimited(Entry);
    if (unreportedAdmitted(Entry, Now) > toleratedAdmitted(Entry))
      HasUrgentNews = true;
  }
}

void QuotaLedger::handleDataCentre(const DataCentreReport &Report,
                                   Common::SteadyTime Now) {
  if (!DataCentres.contains(Report.DataCentre))
    return;
  HeardAt[Report.DataCentre] = Now;
  for (const TenantRate &Rate : Report.Rates) {
    const auto Found = Accounts.find(Rate.Tenant);
    if (Found == Accounts.end())
      continue;
    Account &Entry = Found->second;
    advance(Entry, Now);
    RemoteRates &Remote = Entry.Remotes[Report.DataCentre];
    // Corrects what was charged by the rate to what was really admitted. How
    // much of the total of another head is new is not known.
    const double Admitted =
        Remote.CountedBy == Report.Node
            ? static_cast<double>(Rate.AdmittedTotal - Remote.Total)
            : std::min(static_cast<double>(Rate.AdmittedTotal),
                       Rate.AdmittedPerSecond * seconds(SmoothingTime));
    Entry.Level += Remote.Charged - Admitted;
    Remote = {Rate.DemandPerSecond, Rate.AdmittedPerSecond, Report.Node,
              Rate.AdmittedTotal, 0};
    Entry.Level = std::min(Entry.Level, Entry.Burst);
    updateLimited(Entry);
  }
}

// Brings the level back to its target within about a second.
double QuotaLedger::grantFactor(const Account &Entry) const {
  return std::clamp(1 + (Entry.Level - targetLevel(Entry)) /
                            (Entry.RatePerSecond + 1),
                    0.0, MaxGrantFactor);
}

double QuotaLedger::weightOf(const NodeDemand &Node, Common::SteadyTime Now) {
  return Now - Node.LastDemandAt <= DemandMemory
             ? Node.PerSecond + AssumedDemandPerSecond
             : 0;
}

double QuotaLedger::nodeShare(const Account &Entry, const NodeDemand &Node,
                              Common::SteadyTime Now) const {
  double Sum = 0;
  for (const auto &[Name, Other] : Entry.Nodes)
    Sum += weightOf(Other, Now);
  return Sum > 0 ? weightOf(Node, Now) / Sum : 0;
}

Grants QuotaLedger::grantsFor(const std::string &Node, Common::SteadyTime Now) {
  Grants Result;
  for (auto &[Id, Entry] : Accounts) {
    if (!Entry.IsLimited)
      continue;
    advance(Entry, Now);
    double Rate = 0;
    const auto Found = Entry.Nodes.find(Node);
    if (Found != Entry.Nodes.end() && isWarmingUp(Now) &&
        Found->second.EarlierGrant) {
      Rate = *Found->second.EarlierGrant;
    } else if (Found != Entry.Nodes.end()) {
      const double Mesh = meshDemand(Entry);
      const double LocalShare = Entry.IsCutOff
                                    ? decidedShare(Entry)
                                    : (Mesh > 0 ? Entry.LocalDemand / Mesh : 0);
      Rate = grantFactor(Entry) * Entry.RatePerSecond * LocalShare *
             nodeShare(Entry, Found->second, Now);
    }
    Result.Limited.push_back({Id, Rate});
  }
  return Result;
}

bool QuotaLedger::takeHasNewlyLimited() {
  return std::exchange(HasNewlyLimited, false);
}

bool QuotaLedger::isHead(Common::SteadyTime Now) const {
  return HeadSince && Now - NodeHeardAt <= NodeLifetime;
}

double QuotaLedger::unreportedAdmitted(const Account &Entry,
                                       Common::SteadyTime Now) const {
  return std::abs(
      static_cast<double>(Entry.AdmittedTotal - Entry.Sent.AdmittedTotal) -
      Entry.Sent.AdmittedPerSecond * seconds(Now - Entry.SentAt));
}

// All data centres may deviate at the same time.
double QuotaLedger::toleratedAdmitted(const Account &Entry) const {
  // While much of the burst is left, a deviation decides nothing yet.
  constexpr double LevelShare = 0.5;
  return (LevelShare * std::max(Entry.Level, 0.0) +
          ToleranceShare * Terms.tolerance(Entry.RatePerSecond, Entry.Burst)) /
         static_cast<double>(DataCentres.size() + 1);
}

// Small deviations are left out: the other heads charge the last rates until
// they learn of others, and totals correct them.
bool QuotaLedger::mustReport(const Account &Entry,
                             Common::SteadyTime Now) const {
  constexpr double RelativeChange = 0.25;
  constexpr double NoiseDeviations = 3;
  const double Expected = Entry.Sent.DemandPerSecond;
  const double Tolerated = std::max(
      RelativeChange * Expected, NoiseDeviations * std::sqrt(Expected / 2) + 1);
  return Entry.IsLimited || Now - Entry.SentAt >= RepeatInterval ||
         std::abs(Entry.LocalDemand - Expected) > Tolerated ||
         unreportedAdmitted(Entry, Now) > toleratedAdmitted(Entry);
}

std::optional<DataCentreReport>
QuotaLedger::takeReport(const std::string &LocalNode, Common::SteadyTime Now) {
  HasUrgentNews = false;
  if (!isHead(Now) || isWarmingUp(Now))
    return std::nullopt;
  DataCentreReport Result{LocalDataCentre, LocalNode, {}};
  for (auto &[Id, Entry] : Accounts) {
    advance(Entry, Now);
    std::erase_if(Entry.Nodes, [&](const auto &Node) {
      return Now - Node.second.UpdatedAt > NodeLifetime;
    });
    Entry.LocalDemand = 0;
    Entry.LocalAdmitted = 0;
    for (const auto &[Name, Node] : Entry.Nodes) {
      Entry.LocalDemand += Node.PerSecond;
      Entry.LocalAdmitted += Node.AdmittedPerSecond;
    }
    updateLimited(Entry);
    if (!mustReport(Entry, Now))
      continue;
    const bool HasAny = Entry.AdmittedTotal != 0 || Entry.LocalDemand > 0;
    Entry.Sent = {Id, Entry.LocalDemand, std::max(0.0, Entry.LocalAdmitted),
                  Entry.AdmittedTotal};
    Entry.SentAt = Now;
    if (HasAny)
      Result.Rates.push_back(Entry.Sent);
  }
  if (Result.Rates.empty() && Now - ReportedAt < KeepAliveInterval)
    return std::nullopt;
  ReportedAt = Now;
  return Result;
}

} // namespace Tenants
