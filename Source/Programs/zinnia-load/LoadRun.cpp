#include "Programs/zinnia-load/LoadRun.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace Load {

LoadRun::LoadRun(Kernel::Task &Home, LoadOptions Options,
                 std::function<void(LoadReport)> OnDone)
    : Home(Home), Options(std::move(Options)), OnDone(std::move(OnDone)),
      Transport(Home) {}

void LoadRun::start() {
  StartedAt = std::chrono::steady_clock::now();
  EndsAt = StartedAt + Options.Length;
  NextDue = StartedAt;
  if (Options.ClosedCallers == 0) {
    sendDue();
    return;
  }
  for (int Caller = 0; Caller < Options.ClosedCallers; ++Caller)
    sendOne(StartedAt);
}

void LoadRun::sendDue() {
  const auto Interval = std::chrono::duration_cast<Common::Duration>(
      std::chrono::duration<double>(1.0 / Options.CallsPerSecond));
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  while (NextDue <= Now && NextDue < EndsAt) {
    sendOne(NextDue);
    NextDue += Interval;
  }
  if (NextDue < EndsAt) {
    Clock.after(NextDue - std::chrono::steady_clock::now(),
                [this] { sendDue(); });
    return;
  }
  AllSent = true;
  finishIfDone();
}

void LoadRun::sendOne(Common::SteadyTime DueAt) {
  const int Number = Report.Sent++;
  const std::string Id = Options.IdPrefix + std::to_string(Number);
  const std::size_t Target =
      static_cast<std::size_t>(Number) % Options.Targets.size();
  Http::ClientRequest Asked;
  Asked.Method = Options.Method;
  Asked.Url = "http://" + Options.Targets[Target] + Options.Path + "?id=" + Id +
              (Options.Query.empty() ? "" : "&") + Options.Query;
  Asked.Limit = Options.CallLimit;
  if (Options.WithKeys) {
    const auto Issued = std::chrono::duration_cast<Common::Millis>(
        std::chrono::system_clock::now().time_since_epoch());
    Asked.Fields["idempotency-key"] = std::to_string(Issued.count()) + "-" + Id;
  }
  ++Open;
  const bool Counts = Number >= Options.WarmUpCalls;
  Transport.send(std::move(Asked),
                 [this, Id, Counts, DueAt](const Http::ClientResult &Result) {
                   takeAnswer(Id, Counts, DueAt, Result);
                 });
}

void LoadRun::takeAnswer(const std::string &Id, bool Counts,
                         Common::SteadyTime DueAt,
                         const Http::ClientResult &Result) {
  --Open;
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  if (!Result.Answered) {
    ++Report.Unanswered;
  } else {
    const auto Field = Result.Reply.Fields.find("x-zinnia-result");
    const int Code = Field == Result.Reply.Fields.end()
                         ? 0
                         : std::atoi(Field->second.c_str());
    ++Report.ByResult[Code];
    const std::string Wanted = "id=" + Id + " server=";
    if (Code == 0 && Result.Reply.Body.rfind(Wanted, 0) != 0) {
      ++Report.Wrong;
    } else if (Code == 0) {
      ++Report.Served;
      std::string Server = Result.Reply.Body.substr(Wanted.size());
      Server.erase(Server.find_last_not_of('\n') + 1);
      ++Report.ByServer[Server];
      if (Counts)
        Report.Latencies.push_back(
            std::chrono::duration_cast<Common::Micros>(Now - DueAt));
    }
  }
  if (Options.ClosedCallers > 0) {
    if (Now < EndsAt)
      sendOne(Now);
    else
      AllSent = true;
  }
  finishIfDone();
}

void LoadRun::finishIfDone() {
  if (!AllSent || Open > 0 || !OnDone)
    return;
  Report.Elapsed = std::chrono::duration_cast<Common::Micros>(
      std::chrono::steady_clock::now() - StartedAt);
  std::sort(Report.Latencies.begin(), Report.Latencies.end());
  Home.post([Done = std::exchange(OnDone, nullptr),
             Result = std::move(Report)] { Done(Result); });
}

Common::Micros LoadReport::quantile(double Share) const {
  if (Latencies.empty())
    return Common::Micros(0);
  const auto Rank = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Latencies.size() - 1)));
  return Latencies[std::min(Rank, Latencies.size() - 1)];
}

std::string reportText(const LoadReport &Report) {
  std::ostringstream Out;
  Out << "sent " << Report.Sent << "\nserved " << Report.Served << "\nwrong "
      << Report.Wrong << "\nunanswered " << Report.Unanswered << "\n";
  for (const auto &[Code, Count] : Report.ByResult)
    Out << "result " << Code << " " << Count << "\n";
  for (const auto &[Server, Count] : Report.ByServer)
    Out << "server " << Server << " " << Count << "\n";
  const double Seconds = std::chrono::duration<double>(Report.Elapsed).count();
  Out << "rate " << static_cast<int>(Report.Served / std::max(Seconds, 1e-6))
      << "\np50-us " << Report.quantile(0.5).count() << "\np99-us "
      << Report.quantile(0.99).count() << "\np999-us "
      << Report.quantile(0.999).count() << "\n";
  return Out.str();
}

} // namespace Load
