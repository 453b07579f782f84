#include "Config/ObjectSet.h"

#include <sstream>

namespace Config {

const Route *ObjectSet::findRoute(std::string_view Host,
                                  std::string_view Method,
                                  std::string_view Path) const {
  for (const std::string_view Name : {Host, std::string_view()}) {
    const auto Found = Hosts.find(Name);
    if (Found == Hosts.end())
      continue;
    if (const Route *Best = findIn(Found->second, Method, Path))
      return Best;
  }
  return nullptr;
}

const Route *ObjectSet::findIn(const HostIndex &Index, std::string_view Method,
                               std::string_view Path) {
  for (const std::size_t Length : Index.Lengths) {
    if (Length > Path.size())
      continue;
    const auto Found = Index.ByPrefix.find(Path.substr(0, Length));
    if (Found == Index.ByPrefix.end())
      continue;
    const Route *Best = nullptr;
    for (const Route *Each : Found->second)
      if (Each->Method == Method || (Each->Method.empty() && !Best))
        Best = Each;
    if (Best)
      return Best;
  }
  return nullptr;
}

bool ObjectSet::holds(const std::string &Type, const std::string &Name) const {
  if (Type == "service")
    return Services.contains(Name);
  if (Type == "retry")
    return RetryRules.contains(Name);
  return Type == "kind" ? Kinds.contains(Name) : Routes.contains(Name);
}

void ObjectSet::buildIndex() {
  Hosts.clear();
  for (const auto &[Name, Each] : Routes) {
    HostIndex &Index = Hosts[Each.Host];
    Index.ByPrefix[Each.Prefix].push_back(&Each);
    Index.Lengths.insert(Each.Prefix.size());
  }
}

std::string ObjectSet::canonicalText() const {
  std::ostringstream Out;
  for (const auto &[Name, Each] : Services) {
    Out << "[service " << Name << "]\n";
    if (!Each.Fallback.empty())
      Out << "fallback = " << Each.Fallback << "\n";
    if (!Each.HealthPath.empty())
      Out << "health-path = " << Each.HealthPath << "\n";
  }
  for (const auto &[Name, Each] : RetryRules) {
    Out << "[retry " << Name << "]\nattempts = " << Each.Attempts
        << "\nbudget-percent = " << Each.BudgetPercent << "\n";
    if (Each.Redirects > 0)
      Out << "redirects = " << Each.Redirects << "\n";
    if (Each.HedgeAfter)
      Out << "hedge-after = " << Common::formatDuration(*Each.HedgeAfter)
          << "\n";
  }
  for (const auto &[Name, Each] : Kinds) {
    Out << "[kind " << Name
        << "]\nlane = " << (Each.LongLane ? "long" : "short")
        << "\nidempotent = " << (Each.Idempotent ? "yes" : "no")
        << "\ndeadline = " << Common::formatDuration(Each.Deadline)
        << "\nretry = " << Each.Retry << "\n";
    if (Each.TargetLatency.count() > 0)
      Out << "target-latency = " << Common::formatDuration(Each.TargetLatency)
          << "\n";
    if (Each.Priority > 0)
      Out << "priority = " << Each.Priority << "\n";
  }
  for (const auto &[Name, Each] : Routes) {
    Out << "[route " << Name << "]\nprefix = " << Each.Prefix << "\n";
    if (!Each.Method.empty())
      Out << "method = " << Each.Method << "\n";
    if (!Each.Host.empty())
      Out << "host = " << Each.Host << "\n";
    if (Each.Split.empty()) {
      Out << "service = " << Each.Service << "\n";
    } else {
      Out << "split =";
      for (const WeightedService &Part : Each.Split)
        Out << " " << Part.Service << ":" << Part.Weight;
      Out << "\n";
    }
    Out << "kind = " << Each.Kind << "\n";
  }
  return Out.str();
}

} // namespace Config
