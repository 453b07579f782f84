#include "Programs/zinnia-load/LoadRun.h"

#include <utility>

#include "Common/ResultCode.h"

namespace Load {

LoadRun::LoadRun(Kernel::Task &Task, LoadOptions Options,
                 std::function<void(LoadReport)> OnDone)
    : Task(Task), Options(std::move(Options)),
      Plan(this->Options.CallsPerSecond, this->Options.Swings,
           this->Options.Classes, this->Options.Seed),
      OnDone(std::move(OnDone)), Transport(Task) {
  for (const CallClass &Class : Plan.classes()) {
    ClassReport Entry;
    Entry.Name = Class.Path + "?" + Class.Query;
    Report.Classes.push_back(std::move(Entry));
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
    sendCall(StartedAt);
}

void LoadRun::sendDue() {
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  while (NextDue <= Now && NextDue < EndsAt) {
    sendCall(NextDue);
    NextDue += Plan.intervalAfter(NextDue - StartedAt);
  }
  if (NextDue < EndsAt) {
    Timers.after(NextDue - std::chrono::steady_clock::now(),
                 [this] { sendDue(); });
    return;
  }
  AllSent = true;
  finishIfDone();
}

void LoadRun::sendCall(Common::SteadyTime DueAt) {
  const int CallNumber = Report.Sent++;
  const auto Rotation = static_cast<std::size_t>(CallNumber);
  SentCall Call;
  Call.Id = Options.IdPrefix + std::to_string(CallNumber);
  Call.ClassIndex = Plan.drawClass();
  Call.DueAt = DueAt;
  Call.IsMeasured = CallNumber >= Options.WarmUpCalls;
  ++Report.Classes[Call.ClassIndex].Sent;
  ++Report.windowAt(DueAt - StartedAt).Due;
  const CallClass &Class = Plan.classes()[Call.ClassIndex];
  Http::ClientRequest Request;
  Request.Method = Options.Method;
  Request.Url = "http://" + Options.Targets[Rotation % Options.Targets.size()] +
                Class.Path + "?id=" + Call.Id +
                (Class.Query.empty() ? "" : "&") + Class.Query;
  if (!Options.Sources.empty())
    Request.SourceAddress = Options.Sources[Rotation % Options.Sources.size()];
  Request.Timeout = Options.CallTimeout;
  if (Options.WithKeys) {
    const auto IssuedAt = std::chrono::duration_cast<Common::Millis>(
        std::chrono::system_clock::now().time_since_epoch());
    Request.Fields["idempotency-key"] =
        std::to_string(IssuedAt.count()) + "-" + Call.Id;
  }
  ++OpenCalls;
  Transport.send(std::move(Request),
                 [this, Call](const Http::ClientResult &Result) {
                   handleAnswer(Call, Result);
                 });
}

void LoadRun::handleAnswer(const SentCall &Call,
                           const Http::ClientResult &Result) {
  --OpenCalls;
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  if (!Result.Answered) {
    ++Report.Unanswered;
    ++Report.windowAt(Now - StartedAt).Failed;
  } else {
    const auto ResultField = Result.Reply.Fields.find("x-zinnia-result");
    const int Code = ResultField == Result.Reply.Fields.end()
                         ? 0
                         : std::atoi(ResultField->second.c_str());
    ++Report.ByResult[Code];
    const auto Attempts = Result.Reply.Fields.find("x-zinnia-attempts");
    if (Attempts != Result.Reply.Fields.end())
      Report.ExtraAttempts +=
          std::max(std::atoi(Attempts->second.c_str()) - 1, 0);
    const std::string ExpectedPrefix = "id=" + Call.Id + " server=";
    if (Code != 0 && Common::isNotRun(static_cast<Common::ResultCode>(Code)))
      ++Report.windowAt(Now - StartedAt).Refused;
    else if (Code != 0)
      ++Report.windowAt(Now - StartedAt).Failed;
    else if (Result.Reply.Body.rfind(ExpectedPrefix, 0) != 0)
      ++Report.Wrong;
    else
      recordServed(Call, Result.Reply.Body.substr(ExpectedPrefix.size()), Now);
  }
  if (Options.ClosedCallers > 0) {
    if (Now < EndsAt)
      sendCall(Now);
    else
      AllSent = true;
  }
  finishIfDone();
}

void LoadRun::recordServed(const SentCall &Call, const std::string &Server,
                           Common::SteadyTime Now) {
  ++Report.Served;
  ++Report.windowAt(Now - StartedAt).Served;
  ++Report.ByServer[Server.substr(0, Server.find('\n'))];
  ClassReport &Class = Report.Classes[Call.ClassIndex];
  ++Class.Served;
  if (!Call.IsMeasured)
    return;
  const auto Latency =
      std::chrono::duration_cast<Common::Micros>(Now - Call.DueAt);
  Report.Latency.add(Latency);
  Class.Latency.add(Latency);
}

void LoadRun::finishIfDone() {
  if (!AllSent || OpenCalls > 0 || !OnDone)
    return;
  Report.Elapsed = std::chrono::duration_cast<Common::Micros>(
      std::chrono::steady_clock::now() - StartedAt);
  Task.post([OnReport = std::exchange(OnDone, nullptr),
             Result = std::move(Report)] { OnReport(Result); });
}

} // namespace Load
