#include "Programs/zinnia-load/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Load {

namespace {

constexpr struct {
  const char *Name;
  double Fraction;
} Quantiles[] = {
    {"p50-us", 0.5}, {"p90-us", 0.9}, {"p99-us", 0.99}, {"p999-us", 0.999}};

} // namespace

void Latencies::add(Common::Micros Value) {
  Values.push_back(Value);
  Sorted = false;
}

void Latencies::add(const Latencies &Other) {
  Values.insert(Values.end(), Other.Values.begin(), Other.Values.end());
  Sorted = false;
}

Common::Micros Latencies::quantile(double Fraction) const {
  if (Values.empty())
    return Common::Micros(0);
  if (!Sorted)
    std::sort(Values.begin(), Values.end());
  Sorted = true;
  const auto Rank = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  return Values[std::min(Rank, Values.size() - 1)];
}

Window &LoadReport::windowAt(Common::Duration SinceStart) {
  const auto Index = static_cast<std::size_t>(SinceStart / Window::Length);
  if (Index >= Windows.size())
    Windows.resize(Index + 1);
  return Windows[Index];
}

void LoadReport::add(const LoadReport &Other) {
  Sent += Other.Sent;
  Served += Other.Served;
  Wrong += Other.Wrong;
  Unanswered += Other.Unanswered;
  ExtraAttempts += Other.ExtraAttempts;
  Elapsed = std::max(Elapsed, Other.Elapsed);
  Latency.add(Other.Latency);
  for (const auto &[Code, Count] : Other.ByResult)
    ByResult[Code] += Count;
  for (const auto &[Server, Count] : Other.ByServer)
    ByServer[Server] += Count;
  Classes.resize(Other.Classes.size());
  for (std::size_t Index = 0; Index < Classes.size(); ++Index) {
    Classes[Index].Name = Other.Classes[Index].Name;
    Classes[Index].Sent += Other.Classes[Index].Sent;
    Classes[Index].Served += Other.Classes[Index].Served;
    Classes[Index].Latency.add(Other.Classes[Index].Latency);
  }
  Windows.resize(std::max(Windows.size(), Other.Windows.size()));
  for (std::size_t Index = 0; Index < Other.Windows.size(); ++Index) {
    Windows[Index].Due += Other.Windows[Index].Due;
    Windows[Index].Served += Other.Windows[Index].Served;
    Windows[Index].Refused += Other.Windows[Index].Refused;
    Windows[Index].Failed += Other.Windows[Index].Failed;
  }
}

std::string reportText(const LoadReport &Report) {
  std::ostringstream Out;
  Out << "sent " << Report.Sent << "\nserved " << Report.Served << "\nwrong "
      << Report.Wrong << "\nunanswered " << Report.Unanswered
      << "\nextra-attempts " << Report.ExtraAttempts << "\n";
  for (const auto &[Code, Count] : Report.ByResult)
    Out << "result " << Code << " " << Count << "\n";
  for (const auto &[Server, Count] : Report.ByServer)
    Out << "server " << Server << " " << Count << "\n";
  const double Seconds = std::chrono::duration<double>(Report.Elapsed).count();
  Out << "rate " << static_cast<int>(Report.Served / std::max(Seconds, 1e-6))
      << "\n";
  for (const auto &Quantile : Quantiles)
    Out << Quantile.Name << " "
        << Report.Latency.quantile(Quantile.Fraction).count() << "\n";
  if (Report.Classes.size() < 2)
    return Out.str();
  for (const ClassReport &Class : Report.Classes) {
    Out << "class " << Class.Name << " sent " << Class.Sent << " served "
        << Class.Served;
    for (const auto &Quantile : Quantiles)
      Out << " " << Quantile.Name << " "
          << Class.Latency.quantile(Quantile.Fraction).count();
    Out << "\n";
  }
  return Out.str();
}

std::string windowsText(const LoadReport &Report) {
  std::ostringstream Out;
  Out << "start-ms,due,served,refused,failed\n";
  Common::Millis Start{0};
  for (const Window &Counts : Report.Windows) {
    Out << Start.count() << "," << Counts.Due << "," << Counts.Served << ","
        << Counts.Refused << "," << Counts.Failed << "\n";
    Start += Window::Length;
  }
  return Out.str();
}

} // namespace Load
