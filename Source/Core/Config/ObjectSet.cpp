#include "Config/ObjectSet.h"

#include <algorithm>
#include <sstream>

namespace Config {

const Route *ObjectSet::findRoute(std::string_view Host,
                                  std::string_view Method,
                                  std::string_view Path) const {
  for (const std::string_view Name : {Host, std::string_view()}) {
    const auto Found = Hosts.find(Name);
    if (Found == Hosts.end())
      continue;
    if (const Route *Best = findInHost(Found->second, Method, Path))
      return Best;
  }
  return nullptr;
}

const Route *ObjectSet::findInHost(const HostIndex &Index,
                                   std::string_view Method,
                                   std::string_view Path) {
  for (const std::size_t Length : Index.Lengths) {
    if (Length > Path.size())
      continue;
    const auto Found = Index.ByPrefix.find(Path.substr(0, Length));
    if (Found == Index.ByPrefix.end())
      continue;
    const Route *Best = nullptr;
    for (const Route *Candidate : Found->second)
      if (Candidate->Method == Method || (Candidate->Method.empty() && !Best))
        Best = Candidate;
    if (Best)
      return Best;
  }
  return nullptr;
}

const Tenant *ObjectSet::findTenantByKey(std::string_view Key) const {
  const auto Found = TenantsByKey.find(Key);
  return Found == TenantsByKey.end() ? nullptr : Found->second;
}

bool ObjectSet::hasUnevenWork() const {
  return !Tenants.empty() ||
         std::any_of(Kinds.begin(), Kinds.end(), [](const auto &Entry) {
           return Entry.second.LargeBodies;
         });
}

bool ObjectSet::contains(const std::string &Type,
                         const std::string &Name) const {
  if (Type == "service")
    return Services.contains(Name);
  if (Type == "retry")
    return RetryRules.contains(Name);
  if (Type == "tenant")
    return Tenants.contains(Name);
  return Type == "kind" ? Kinds.contains(Name) : Routes.contains(Name);
}

void ObjectSet::buildIndex() {
  Hosts.clear();
  for (const auto &[Name, Definition] : Routes) {
    HostIndex &Index = Hosts[Definition.Host];
    Index.ByPrefix[Definition.Prefix].push_back(&Definition);
    Index.Lengths.insert(Definition.Prefix.size());
  }
  TenantsByKey.clear();
  for (const auto &[Name, Definition] : Tenants)
    for (const std::string &Key : Definition.Keys)
      TenantsByKey.emplace(Key, &Definition);
}

std::string ObjectSet::canonicalText() const {
  std::ostringstream Out;
  for (const auto &[Name, Definition] : Services) {
    Out << "[service " << Name << "]\n";
    if (!Definition.Fallback.empty())
      Out << "fallback = " << Definition.Fallback << "\n";
    if (!Definition.HealthPath.empty())
      Out << "health-path = " << Definition.HealthPath << "\n";
  }
  for (const auto &[Name, Definition] : RetryRules) {
    Out << "[retry " << Name << "]\nattempts = " << Definition.Attempts
        << "\nbudget-percent = " << Definition.BudgetPercent << "\n";
    if (Definition.Redirects > 0)
      Out << "redirects = " << Definition.Redirects << "\n";
    if (Definition.HedgeAfter)
      Out << "hedge-after = " << Common::formatDuration(*Definition.HedgeAfter)
          << "\n";
  }
  for (const auto &[Name, Definition] : Kinds) {
    Out << "[kind " << Name
        << "]\nlane = " << (Definition.LongLane ? "long" : "short")
        << "\nidempotent = " << (Definition.Idempotent ? "yes" : "no")
        << "\ndeadline = " << Common::formatDuration(Definition.Deadline)
        << "\nretry = " << Definition.Retry << "\n";
    if (Definition.TargetLatency.count() > 0)
      Out << "target-latency = "
          << Common::formatDuration(Definition.TargetLatency) << "\n";
    if (Definition.Priority > 0)
      Out << "priority = " << Definition.Priority << "\n";
  }
  for (const auto &[Name, Definition] : Routes) {
    Out << "[route " << Name << "]\nprefix = " << Definition.Prefix << "\n";
    if (!Definition.Method.empty())
      Out << "method = " << Definition.Method << "\n";
    if (!Definition.Host.empty())
      Out << "host = " << Definition.Host << "\n";
    if (Definition.Split.empty()) {
      Out << "service = " << Definition.Service << "\n";
    } else {
      Out << "split =";
      for (const WeightedService &Target : Definition.Split)
        Out << " " << Target.Service << ":" << Target.Weight;
      Out << "\n";
    }
    Out << "kind = " << Definition.Kind << "\n";
    if (Definition.Anonymous)
      Out << "anonymous = yes\n";
  }
  for (const auto &[Name, Definition] : Tenants) {
    Out << "[tenant " << Name << "]\nkeys =";
    for (const std::string &Key : Definition.Keys)
      Out << " " << Key;
    Out << "\n";
    if (Definition.Priority)
      Out << "priority = " << *Definition.Priority << "\n";
    if (Definition.RatePerSecond > 0)
      Out << "rate = " << Definition.RatePerSecond << "\n";
    if (Definition.Burst > 0)
      Out << "burst = " << Definition.Burst << "\n";
  }
  return Out.str();
}

} // namespace Config
