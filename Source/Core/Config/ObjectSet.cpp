#include "Config/ObjectSet.h"

#include <sstream>

namespace Config {

const Route *ObjectSet::findRoute(std::string_view Host,
                                  std::string_view Method,
                                  std::string_view Path) const {
  for (const std::string &Name : {std::string(Host), std::string()}) {
    const auto Found = Hosts.find(Name);
    if (Found == Hosts.end())
      continue;
    if (const Route *Best = findIn(Found->second, Method, Path))
      return Best;
  }
  return nullptr;
}

const Route *ObjectSet::findIn(const HostIndex &Index, std::string_view Method,
                               std::string_view Path) const {
  for (const std::size_t Length : Index.Lengths) {
    if (Length > Path.size())
      continue;
    const auto Found =
        Index.NamesByPrefix.find(std::string(Path.substr(0, Length)));
    if (Found == Index.NamesByPrefix.end())
      continue;
    const Route *Best = nullptr;
    for (const std::string &Name : Found->second) {
      const Route &Each = Routes.at(Name);
      if (Each.Method == Method || (Each.Method.empty() && !Best))
        Best = &Each;
    }
    if (Best)
      return Best;
  }
  return nullptr;
}

void ObjectSet::buildIndex() {
  Hosts.clear();
  for (const auto &[Name, Each] : Routes) {
    HostIndex &Index = Hosts[Each.Host];
    Index.NamesByPrefix[Each.Prefix].push_back(Name);
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
