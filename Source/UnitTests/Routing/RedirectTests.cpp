#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/Dispatcher.h"
#include "Routing/ExpectedTimeChoice.h"

BOOST_AUTO_TEST_SUITE(Redirects)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Routing;

constexpr MeshRetryLimit RetryLimit{0.2, std::chrono::seconds(10), 40, 1};

Config::ObjectSetPtr makeSet() {
  return Config::ObjectSetBuilder()
      .input("f", "[service s]\n[service t]\n"
                  "[retry r]\nattempts = 2\nredirects = 3\n"
                  "[kind read]\nidempotent = yes\ndeadline = 1s\n"
                  "target-latency = 400ms\nretry = r\n"
                  "[kind write]\nidempotent = no\ndeadline = 1s\nretry = r\n"
                  "[route a]\nprefix = /read/\nhost = h\nservice = s\n"
                  "kind = read\n"
                  "[route b]\nprefix = /write/\nhost = h\nservice = s\n"
                  "kind = write\n"
                  "[route c]\nprefix = /split/\nhost = h\n"
                  "split = s:90 t:10\nkind = read\n")
      .build();
}

struct Node {
  Dispatcher<ExpectedTimeChoice, ServiceBudgets> Calls{
      "here", ExpectedTimeChoice(1), 1000, ServiceBudgets(RetryLimit)};
  Common::SteadyTime Now{Millis(100'000)};
  CallId NextCall = 1;

  Node() {
    Calls.useSet(1, makeSet());
    auto View = std::make_shared<ServerView>();
    for (const char *Service : {"s", "t"})
      for (int Index = 0; Index < 3; ++Index) {
        const std::string Name = Service + std::to_string(Index);
        View->ByService[Service].push_back({Name, "n" + Name, "here", 6});
      }
    Calls.useServers(View, Now);
  }

  DispatchActions startCall(const std::string &Path,
                            const std::string &Host = "h") {
    CallStart Start;
    Start.Call = NextCall++;
    Start.Host = Host;
    Start.Path = Path;
    return Calls.startCall(std::move(Start), Now);
  }
  DispatchActions answer(const DispatchActions &To, ResultCode Code,
                         int Status = 200, int Queued = 0) {
    const auto &Sent = std::get<SendAttempt>(To.back());
    CallReply Reply;
    Reply.Attempt = Sent.Request.Attempt;
    Reply.Result = Code;
    Reply.HttpStatus = Status;
    Reply.Load.Slots = 6;
    Reply.Load.BusySlots = Queued > 0 ? 6 : 0;
    Reply.Load.Queued = Queued;
    Reply.Load.SlotTime = Millis(60);
    return Calls.handleReply(Reply, Now);
  }
};

const std::string &serverOf(const DispatchActions &Actions) {
  return std::get<SendAttempt>(Actions.back()).Request.Server;
}

} // namespace

BOOST_AUTO_TEST_CASE(RedirectsACallBeforeItWaits) {
  Node Tested;
  const DispatchActions First = Tested.startCall("/write/1");
  BOOST_TEST(std::get<SendAttempt>(First.back()).Request.WaitLimit.has_value());
  const auto Second = Tested.answer(First, ResultCode::WouldWait, 0, 9);
  const auto Third = Tested.answer(Second, ResultCode::WouldWait, 0, 3);
  BOOST_TEST(serverOf(First) != serverOf(Second));
  BOOST_TEST(serverOf(Third) != serverOf(Second));
  // All servers are busy, so the call waits at the one with the shortest queue.
  const auto Last = Tested.answer(Third, ResultCode::WouldWait, 0, 8);
  BOOST_TEST(serverOf(Last) == serverOf(Second));
  BOOST_TEST(!std::get<SendAttempt>(Last.back()).Request.WaitLimit);
}

BOOST_AUTO_TEST_CASE(RefusalCarriesRetryAfter) {
  Node Tested;
  auto Latest = Tested.startCall("/write/1");
  for (int Count = 0; Count < 3; ++Count)
    Latest = Tested.answer(Latest, ResultCode::WouldWait, 0, 30);
  Latest = Tested.answer(Latest, ResultCode::DeadlineTooClose, 0, 30);
  const auto &Answer = std::get<AnswerCaller>(Latest.back());
  BOOST_TEST((Answer.Reply.Result == ResultCode::DeadlineTooClose));
  BOOST_REQUIRE(Answer.RetryAfter);
  BOOST_TEST((*Answer.RetryAfter >= Millis(100)));
  BOOST_TEST((*Answer.RetryAfter <= Millis(1000)));
}

BOOST_AUTO_TEST_CASE(NodeRefusalsDoNotConsumeRetryBudget) {
  Node Tested;
  for (int Count = 0; Count < 200; ++Count) {
    const auto First = Tested.startCall("/write/1");
    const auto Second = Tested.answer(First, ResultCode::WouldWait, 0, 9);
    Tested.answer(Second, ResultCode::Ok);
  }
  const auto First = Tested.startCall("/read/1");
  const auto Second = Tested.answer(First, ResultCode::OutcomeUnknown);
  BOOST_TEST(serverOf(First) != serverOf(Second));
}

BOOST_AUTO_TEST_CASE(RetriesServerErrorsOnlyForIdempotentCalls) {
  Node Tested;
  const auto Read = Tested.startCall("/read/1");
  const auto Retry = Tested.answer(Read, ResultCode::Ok, 500);
  BOOST_TEST(std::holds_alternative<SendAttempt>(Retry.back()));
  const auto Write = Tested.startCall("/write/1");
  const auto Final = Tested.answer(Write, ResultCode::Ok, 500);
  BOOST_TEST(std::get<AnswerCaller>(Final.back()).Reply.HttpStatus == 500);
}

BOOST_AUTO_TEST_CASE(ReturnsFirstServerErrorWhenRetryFails) {
  Node Tested;
  const auto Read = Tested.startCall("/read/1");
  const auto Retry = Tested.answer(Read, ResultCode::Ok, 500);
  const auto Final = Tested.answer(Retry, ResultCode::ConnectionLost);
  BOOST_TEST(std::get<AnswerCaller>(Final.back()).Reply.HttpStatus == 500);
}

BOOST_AUTO_TEST_CASE(StaysWithinMeshRetryLimit) {
  Node Tested;
  int ExtraAttempts = 0;
  for (int Count = 0; Count < 500; ++Count) {
    Tested.Now += Millis(10);
    const auto First = Tested.startCall("/read/1");
    const auto Second = Tested.answer(First, ResultCode::OutcomeUnknown);
    if (std::holds_alternative<SendAttempt>(Second.back()))
      ++ExtraAttempts;
  }
  BOOST_TEST(ExtraAttempts > 0);
  BOOST_TEST(ExtraAttempts <= 500 * RetryLimit.Ratio + RetryLimit.Slack);
}

// Guards against each node using the whole slack of the mesh for itself.
BOOST_AUTO_TEST_CASE(UsesOnlyItsShareOfMeshRetryLimit) {
  Node Tested;
  constexpr std::size_t Nodes = 20;
  Tested.Calls.budgets().setNodeCount(Nodes);
  int ExtraAttempts = 0;
  for (int Count = 0; Count < 10; ++Count) {
    const auto First = Tested.startCall("/read/1");
    const auto Second = Tested.answer(First, ResultCode::OutcomeUnknown);
    ExtraAttempts += std::holds_alternative<SendAttempt>(Second.back()) ? 1 : 0;
  }
  BOOST_TEST(ExtraAttempts <= 10 * RetryLimit.Ratio + RetryLimit.Slack / Nodes);
}

BOOST_AUTO_TEST_CASE(SplitsCallsByServiceWeight) {
  Node Tested;
  int MinorityCalls = 0;
  for (int Count = 0; Count < 100; ++Count) {
    const auto Sent = Tested.startCall("/split/1");
    MinorityCalls +=
        std::get<SendAttempt>(Sent.back()).Request.Service == "t" ? 1 : 0;
    Tested.answer(Sent, ResultCode::Ok);
  }
  BOOST_TEST(MinorityCalls == 10);
}

BOOST_AUTO_TEST_CASE(RoutesByHost) {
  Node Tested;
  const auto Other = Tested.startCall("/read/1", "other");
  BOOST_TEST((std::get<AnswerCaller>(Other.back()).Reply.Result ==
              ResultCode::NoRoute));
}

BOOST_AUTO_TEST_CASE(CancelsAttemptsWhenCallerDisconnects) {
  Node Tested;
  const auto Sent = Tested.startCall("/read/1");
  const auto Cancelled = Tested.Calls.cancelCall(1, Tested.Now);
  BOOST_TEST(std::holds_alternative<CancelAttempt>(Cancelled.front()));
  BOOST_TEST(Tested.Calls.openCalls() == 0U);
}

BOOST_AUTO_TEST_CASE(AvoidsSlowAndFailingServers) {
  ExpectedTimeChoice Choice(3);
  ServerRecords Records;
  ServerView View;
  for (const char *Name : {"slow", "grey", "good"})
    View.ByService["s"].push_back({Name, Name, "here", 6});
  const Common::SteadyTime Now{Millis(1000)};
  Records.useServers(View, Now);
  for (const ServerEntry &Entry : View.ByService["s"]) {
    CallReply Reply;
    Reply.Load.Slots = 6;
    Reply.ServiceTime = Entry.Server == "slow" ? Millis(500) : Millis(100);
    // Long calls of other kinds at this server must not count for this kind.
    Reply.Load.SlotTime = Entry.Server == "good" ? Millis(900) : Millis(100);
    Reply.Load.FailurePercent = Entry.Server == "grey" ? 45 : 0;
    Records.attemptSent(Entry.Server, "k", Now);
    Records.attemptEnded(Entry.Server, {Now, "k", &Reply}, Now);
  }
  const std::set<std::string> None;
  for (int Count = 0; Count < 20; ++Count) {
    const auto Chosen =
        Choice.choose({View.ByService["s"], Records, "here", None, Now, "k"});
    BOOST_TEST(View.ByService["s"][*Chosen].Server == "good");
  }
}

BOOST_AUTO_TEST_CASE(StaysInLocalDataCentreWhileItMeetsTheTarget) {
  ExpectedTimeChoice Choice(3);
  ServerRecords Records;
  ServerView View;
  View.ByService["s"] = {{"local", "n", "here", 6},
                         {"remote", "f", "there", 6}};
  const Common::SteadyTime Now{Millis(1000)};
  Records.useServers(View, Now);
  const auto ReportLoad = [&](const std::string &Server, int Queued) {
    CallReply Reply;
    Reply.ServiceTime = Server == "local" ? Millis(100) : Millis(20);
    Reply.Load = {.Queued = Queued,
                  .BusySlots = Queued > 0 ? 6 : 0,
                  .Slots = 6,
                  .SlotTime = Millis(100)};
    Records.attemptSent(Server, "k", Now);
    Records.attemptEnded(Server, {Now, "k", &Reply}, Now);
  };
  const std::set<std::string> None;
  const auto Chosen = [&] {
    return View
        .ByService["s"][*Choice.choose({View.ByService["s"], Records, "here",
                                        None, Now, "k", Millis(300)})]
        .Server;
  };
  ReportLoad("local", 0);
  ReportLoad("remote", 0);
  for (int Count = 0; Count < 50; ++Count)
    BOOST_TEST(Chosen() == "local");
  // The local queue makes calls miss the target, so they go to the other data
  // centre.
  ReportLoad("local", 12);
  int RemoteCalls = 0;
  for (int Count = 0; Count < 50; ++Count)
    RemoteCalls += Chosen() == "remote" ? 1 : 0;
  BOOST_TEST(RemoteCalls == 50);
}

// The data centre of all other servers is cut off.
BOOST_AUTO_TEST_CASE(CallsAreNotSentToUnreachableDataCentres) {
  Node Tested;
  auto View = std::make_shared<ServerView>();
  View->ByService["s"] = {{"near", "n1", "here", 1},
                          {"far1", "n2", "there", 6},
                          {"far2", "n3", "there", 6}};
  View->ByService["t"] = {{"far3", "n4", "there", 6}};
  Tested.Calls.useServers(View, Tested.Now);
  Tested.Calls.useUnreachable({"there"});
  for (int Count = 0; Count < 50; ++Count)
    BOOST_TEST(serverOf(Tested.startCall("/write/1")) == "near");
  // A redirect would only lead there, so the caller is answered at once.
  const auto Sent = Tested.startCall("/write/1");
  const auto Refused = Tested.answer(Sent, ResultCode::PeerUnreachable);
  BOOST_TEST(std::holds_alternative<AnswerCaller>(Refused.back()));
  Tested.Calls.useUnreachable({});
  const auto Redirected =
      Tested.answer(Tested.startCall("/write/1"), ResultCode::PeerUnreachable);
  BOOST_TEST(std::holds_alternative<SendAttempt>(Redirected.back()));
}

BOOST_AUTO_TEST_SUITE_END()
