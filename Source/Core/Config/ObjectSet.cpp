#include "Config/ObjectSet.h"

#include <sstream>

namespace Config {

namespace {

bool matches(const Route &Candidate, std::string_view Method,
             std::string_view Path) {
  if (!Candidate.Method.empty() && Candidate.Method != Method)
    return false;
  return Path.substr(0, Candidate.Prefix.size()) == Candidate.Prefix;
}

bool isMoreSpecific(const Route &Left, const Route &Right) {
  if (Left.Prefix.size() != Right.Prefix.size())
    return Left.Prefix.size() > Right.Prefix.size();
  return !Left.Method.empty() && Right.Method.empty();
}

} // namespace

const Route *ObjectSet::findRoute(std::string_view Method,
                                  std::string_view Path) const {
  const Route *Best = nullptr;
  for (const auto &[Name, Candidate] : Routes) {
    if (!matches(Candidate, Method, Path))
      continue;
    if (!Best || isMoreSpecific(Candidate, *Best))
      Best = &Candidate;
  }
  return Best;
}

std::string ObjectSet::canonicalText() const {
  std::ostringstream Out;
  for (const auto &[Name, Each] : Services) {
    Out << "[service " << Name << "]\n";
    if (!Each.Fallback.empty())
      Out << "fallback = " << Each.Fallback << "\n";
  }
  for (const auto &[Name, Each] : RetryRules) {
    Out << "[retry " << Name << "]\nattempts = " << Each.Attempts
        << "\nbudget-percent = " << Each.BudgetPercent << "\n";
    if (Each.HedgeAfter)
      Out << "hedge-after = " << Common::formatDuration(*Each.HedgeAfter)
          << "\n";
  }
  for (const auto &[Name, Each] : Kinds)
    Out << "[kind " << Name
        << "]\nlane = " << (Each.LongLane ? "long" : "short")
        << "\nidempotent = " << (Each.Idempotent ? "yes" : "no")
        << "\ndeadline = " << Common::formatDuration(Each.Deadline)
        << "\nretry = " << Each.Retry << "\n";
  for (const auto &[Name, Each] : Routes) {
    Out << "[route " << Name << "]\nprefix = " << Each.Prefix << "\n";
    if (!Each.Method.empty())
      Out << "method = " << Each.Method << "\n";
    Out << "service = " << Each.Service << "\nkind = " << Each.Kind << "\n";
  }
  return Out.str();
}

} // namespace Config
