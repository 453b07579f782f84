#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/Dispatcher.h"
#include "Routing/RetryBudget.h"

BOOST_AUTO_TEST_SUITE(Retries)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Routing;

constexpr int ServerCount = 3;

struct Node {
  Dispatcher<RoundRobinChoice> Calls{"here", RoundRobinChoice(), 1000};
  Common::SteadyTime Now{Millis(1000)};
  CallId NextCall = 1;

  Node() {
    Calls.useSet(1, Config::ObjectSetBuilder()
                        .input("f",
                               "[service s]\n[retry r]\nattempts = 3\n"
                               "budget-percent = 10\nhedge-after = 20ms\n"
                               "[kind read]\nidempotent = yes\ndeadline = 1s\n"
                               "retry = r\n[kind write]\nidempotent = no\n"
                               "deadline = 1s\nretry = r\n"
                               "[route a]\nprefix = /read\nservice = s\n"
                               "kind = read\n[route b]\nprefix = /write\n"
                               "service = s\nkind = write\n")
                        .build());
    auto View = std::make_shared<ServerView>();
    for (int Index = 0; Index < ServerCount; ++Index)
      View->ByService["s"].push_back(
          {std::to_string(Index), "n" + std::to_string(Index), "here", 6});
    Calls.useServers(View, Now);
  }

  DispatchActions startCall(const std::string &Path,
                            std::optional<int> AttemptsLeft = {},
                            std::optional<Common::Micros> Timeout = {}) {
    CallStart Start;
    Start.Call = NextCall++;
    Start.Path = Path;
    Start.AttemptsLeft = AttemptsLeft;
    Start.Timeout = Timeout;
    return Calls.startCall(std::move(Start), Now);
  }
  DispatchActions answer(AttemptId Id, ResultCode Code) {
    CallReply Reply;
    Reply.Attempt = Id;
    Reply.Result = Code;
    return Calls.handleReply(Reply, Now);
  }
  void serveReads(int Count, Millis Latency) {
    for (int Index = 0; Index < Count; ++Index) {
      const auto Id =
          std::get<SendAttempt>(startCall("/read")[0]).Request.Attempt;
      Now += Latency;
      answer(Id, ResultCode::Ok);
    }
  }
};

AttemptId attemptOf(const DispatchActions &Actions) {
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  return std::get<SendAttempt>(Actions[0]).Request.Attempt;
}

ResultCode resultOf(const DispatchActions &Actions) {
  BOOST_REQUIRE(!Actions.empty());
  return std::get<AnswerCaller>(Actions.back()).Reply.Result;
}

// A chain of services, each called through the caller-side node of the service
// before it. The last service refuses every call.
struct Chain {
  std::vector<Node> Hops = std::vector<Node>(17);
  std::vector<int> Attempts = std::vector<int>(17);

  bool call(std::size_t Hop, std::optional<int> AttemptsLeft) {
    DispatchActions Actions = Hops[Hop].startCall("/read", AttemptsLeft);
    while (const auto *Sent = std::get_if<SendAttempt>(&Actions[0])) {
      ++Attempts[Hop];
      const bool Served =
          Hop + 1 < Hops.size() && call(Hop + 1, Sent->Request.AttemptsLeft);
      Actions =
          Hops[Hop].answer(Sent->Request.Attempt,
                           Served ? ResultCode::Ok : ResultCode::ServerShed);
    }
    return resultOf(Actions) == ResultCode::Ok;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(LimitsExtraAttemptsToShareOfFirstAttempts) {
  RetryBudget Budget;
  int Granted = 0;
  for (int Try = 0; Try < 1000; ++Try)
    Granted += Budget.tryConsume();
  BOOST_TEST(Granted == 3);
  Granted = 0;
  for (int Call = 0; Call < 1000; ++Call) {
    Budget.recordFirstAttempt(10);
    Granted += Budget.tryConsume();
  }
  BOOST_TEST(Granted == 100);
}

BOOST_AUTO_TEST_CASE(SeventeenHopsDoNotMultiplyRetries) {
  constexpr int Calls = 1000;
  Chain Services;
  for (int Call = 0; Call < Calls; ++Call)
    BOOST_TEST(!Services.call(0, std::nullopt));
  // Each hop adds at most 10% of the calls and its initial balance of 3
  // retries.
  const int ExtraPerHop = Calls / 10 + 3;
  for (std::size_t Hop = 0; Hop < Services.Hops.size(); ++Hop)
    BOOST_TEST(Services.Attempts[Hop] <=
               Calls + static_cast<int>(Hop + 1) * ExtraPerHop);
}

BOOST_FIXTURE_TEST_CASE(ReportsExhaustedBudgetAsNotRun, Node) {
  ResultCode Last = ResultCode::Ok;
  for (int Call = 0; Call < 10; ++Call) {
    DispatchActions Actions = startCall("/read");
    while (std::holds_alternative<SendAttempt>(Actions[0]))
      Actions = answer(attemptOf(Actions), ResultCode::QueueFull);
    Last = resultOf(Actions);
  }
  BOOST_TEST((Last == ResultCode::RetryBudgetSpent));
}

BOOST_FIXTURE_TEST_CASE(ReportsUnknownOutcomeOnceAnAttemptMayHaveRun, Node) {
  auto Actions = startCall("/read");
  Actions = answer(attemptOf(Actions), ResultCode::OutcomeUnknown);
  Actions = answer(attemptOf(Actions), ResultCode::QueueFull);
  Actions = answer(attemptOf(Actions), ResultCode::QueueFull);
  BOOST_TEST((resultOf(Actions) == ResultCode::OutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(HedgesAndCancelsTheSlowerAttempt, Node) {
  const AttemptId First = attemptOf(startCall("/read"));
  BOOST_TEST((Calls.nextDue() == Now + Millis(20)));
  Now += Millis(20);
  const AttemptId Second = attemptOf(Calls.runDue(Now));
  // A failed attempt does not end the call while the other one is in flight.
  BOOST_TEST(answer(First, ResultCode::QueueFull).empty());
  BOOST_TEST((resultOf(answer(Second, ResultCode::Ok)) == ResultCode::Ok));

  const AttemptId Slow = attemptOf(startCall("/read"));
  Now += Millis(20);
  const auto Final = answer(attemptOf(Calls.runDue(Now)), ResultCode::Ok);
  BOOST_REQUIRE_EQUAL(Final.size(), 2);
  BOOST_TEST(std::get<CancelAttempt>(Final[0]).Attempt == Slow);
  BOOST_TEST(answer(Slow, ResultCode::Ok).empty());
  BOOST_TEST(!Calls.nextDue().has_value());
}

BOOST_FIXTURE_TEST_CASE(NeverHedgesNonIdempotentCalls, Node) {
  startCall("/write");
  BOOST_TEST((Calls.nextDue() == Now + Millis(1000)));
}

BOOST_FIXTURE_TEST_CASE(HedgesNoEarlierThanHighLatencyQuantile, Node) {
  serveReads(64, Millis(50));
  startCall("/read");
  BOOST_TEST((Calls.nextDue() == Now + Millis(50)));
}

BOOST_FIXTURE_TEST_CASE(RefusesInfeasibleDeadlinesUntilQuantilesExpire, Node) {
  serveReads(64, Millis(50));
  const auto Refused = startCall("/read", {}, Millis(30));
  BOOST_TEST((resultOf(Refused) == ResultCode::DeadlineTooClose));
  Now += Millis(1500);
  attemptOf(startCall("/read", {}, Millis(30)));
}

BOOST_FIXTURE_TEST_CASE(ReportsDetailsOfRefusalWithoutAttempt, Node) {
  serveReads(64, Millis(50));
  const auto Refused = startCall("/read", {}, Millis(30));
  const auto &Answer = std::get<AnswerCaller>(Refused.back());
  BOOST_TEST(Answer.Service == "s");
  BOOST_TEST(Answer.Kind == "read");
  BOOST_TEST((Answer.Timeout == Millis(30)));
  BOOST_TEST((Answer.LowQuantileLatency == Common::Micros(Millis(50))));
}

BOOST_FIXTURE_TEST_CASE(RefusesCallsOverOpenCallLimit, Node) {
  for (int Call = 0; Call < 1000; ++Call)
    attemptOf(startCall("/read"));
  BOOST_TEST((resultOf(startCall("/read")) == ResultCode::QueueFull));
  BOOST_TEST(Calls.openCalls() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()
