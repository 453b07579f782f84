#include "Programs/zinnia-load/LoadRun.h"

#include <utility>

#include "Common/ResultCode.h"

namespace Load {

LoadRun::LoadRun(Kernel::Task &Home, LoadOptions Options,
                 std::function<void(LoadReport)> OnDone)
    : Home(Home), Options(std::move(Options)),
      Plan(this->Options.CallsPerSecond, this->Options.Swings,
           this->Options.Classes, this->Options.Seed),
      OnDone(std::move(OnDone)), Transport(Home) {
  for (const CallClass &Each : Plan.classes()) {
    ClassReport Class;
    Class.Name = Each.Path + "?" + Each.Query;
    Report.Classes.push_back(std::move(Class));
  }
}

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
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  while (NextDue <= Now && NextDue < EndsAt) {
    sendOne(NextDue);
    NextDue += Plan.intervalAfter(NextDue - StartedAt);
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
  const auto Turn = static_cast<std::size_t>(Number);
  SentCall Call;
  Call.Id = Options.IdPrefix + std::to_string(Number);
  Call.Class = Plan.drawClass();
  Call.DueAt = DueAt;
  Call.Counts = Number >= Options.WarmUpCalls;
  ++Report.Classes[Call.Class].Sent;
  ++Report.windowAt(DueAt - StartedAt).Due;
  const CallClass &Class = Plan.classes()[Call.Class];
  Http::ClientRequest Asked;
  Asked.Method = Options.Method;
  Asked.Url = "http://" + Options.Targets[Turn % Options.Targets.size()] +
              Class.Path + "?id=" + Call.Id + (Class.Query.empty() ? "" : "&") +
              Class.Query;
  if (!Options.Sources.empty())
    Asked.SourceAddress = Options.Sources[Turn % Options.Sources.size()];
  Asked.Timeout = Options.CallLimit;
  if (Options.WithKeys) {
    const auto Issued = std::chrono::duration_cast<Common::Millis>(
        std::chrono::system_clock::now().time_since_epoch());
    Asked.Fields["idempotency-key"] =
        std::to_string(Issued.count()) + "-" + Call.Id;
  }
  ++Open;
  Transport.send(std::move(Asked),
                 [this, Call](const Http::ClientResult &Result) {
                   takeAnswer(Call, Result);
                 });
}

void LoadRun::takeAnswer(const SentCall &Call,
                         const Http::ClientResult &Result) {
  --Open;
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  if (!Result.Answered) {
    ++Report.Unanswered;
    ++Report.windowAt(Now - StartedAt).Failed;
  } else {
    const auto Field = Result.Reply.Fields.find("x-zinnia-result");
    const int Code = Field == Result.Reply.Fields.end()
                         ? 0
                         : std::atoi(Field->second.c_str());
    ++Report.ByResult[Code];
    const auto Attempts = Result.Reply.Fields.find("x-zinnia-attempts");
    if (Attempts != Result.Reply.Fields.end())
      Report.ExtraAttempts +=
          std::max(std::atoi(Attempts->second.c_str()) - 1, 0);
    const std::string Wanted = "id=" + Call.Id + " server=";
    if (Code != 0 && Common::isNotRun(static_cast<Common::ResultCode>(Code)))
      ++Report.windowAt(Now - StartedAt).Refused;
    else if (Code != 0)
      ++Report.windowAt(Now - StartedAt).Failed;
    else if (Result.Reply.Body.rfind(Wanted, 0) != 0)
      ++Report.Wrong;
    else
      countServed(Call, Result.Reply.Body.substr(Wanted.size()), Now);
  }
  if (Options.ClosedCallers > 0) {
    if (Now < EndsAt)
      sendOne(Now);
    else
      AllSent = true;
  }
  finishIfDone();
}

void LoadRun::countServed(const SentCall &Call, const std::string &Server,
                          Common::SteadyTime Now) {
  ++Report.Served;
  ++Report.windowAt(Now - StartedAt).Served;
  ++Report.ByServer[Server.substr(0, Server.find('\n'))];
  ClassReport &Class = Report.Classes[Call.Class];
  ++Class.Served;
  if (!Call.Counts)
    return;
  const auto Took =
      std::chrono::duration_cast<Common::Micros>(Now - Call.DueAt);
  Report.Times.add(Took);
  Class.Times.add(Took);
}

void LoadRun::finishIfDone() {
  if (!AllSent || Open > 0 || !OnDone)
    return;
  Report.Elapsed = std::chrono::duration_cast<Common::Micros>(
      std::chrono::steady_clock::now() - StartedAt);
  Home.post([Done = std::exchange(OnDone, nullptr),
             Result = std::move(Report)] { Done(Result); });
}

} // namespace Load
