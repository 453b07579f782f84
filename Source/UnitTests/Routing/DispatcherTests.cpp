#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/Dispatcher.h"

BOOST_AUTO_TEST_SUITE(Dispatchers)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Routing;

Config::ObjectSetPtr sampleSet() {
  return Config::ObjectSetBuilder()
      .input("f", "[service s]\n[service spare]\n[service t]\n"
                  "fallback = spare\n"
                  "[retry r]\nattempts = 3\n"
                  "[kind read]\nidempotent = yes\ndeadline = 1s\nretry = r\n"
                  "[kind write]\nidempotent = no\ndeadline = 1s\nretry = r\n"
                  "[route a]\nprefix = /read\nservice = s\nkind = read\n"
                  "[route b]\nprefix = /write\nservice = s\nkind = write\n"
                  "[route c]\nprefix = /t\nservice = t\nkind = read\n")
      .build();
}

struct Fixture {
  Dispatcher<RoundRobinChoice> Calls{"here", RoundRobinChoice()};
  Common::SteadyTime Now = Common::SteadyTime(Millis(1000));

  Fixture() {
    Calls.useSet(5, sampleSet());
    auto View = std::make_shared<ServerView>();
    View->ByService["s"] = {{"s1", "10.0.0.1:1", "here", 6},
                            {"s2", "10.0.0.2:1", "here", 6},
                            {"s3", "10.0.0.3:1", "there", 6}};
    View->ByService["spare"] = {{"p1", "10.0.0.4:1", "here", 6}};
    Calls.useServers(View, Now);
  }

  DispatchActions startCall(CallId Id, const std::string &Path) {
    CallStart Start;
    Start.Call = Id;
    Start.Method = "GET";
    Start.Path = Path;
    Start.Target = Path;
    return Calls.startCall(std::move(Start), Now);
  }
  DispatchActions answer(AttemptId Id, ResultCode Code) {
    CallReply Reply;
    Reply.Attempt = Id;
    Reply.Result = Code;
    return Calls.handleReply(Reply, Now);
  }
};

const SendAttempt &sent(const DispatchActions &Actions) {
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_REQUIRE(std::holds_alternative<SendAttempt>(Actions[0]));
  return std::get<SendAttempt>(Actions[0]);
}

const AnswerCaller &answered(const DispatchActions &Actions) {
  BOOST_REQUIRE(!Actions.empty());
  BOOST_REQUIRE(std::holds_alternative<AnswerCaller>(Actions.back()));
  return std::get<AnswerCaller>(Actions.back());
}

} // namespace

BOOST_FIXTURE_TEST_CASE(MatchesRepliesToCalls, Fixture) {
  const auto First = sent(startCall(1, "/read"));
  const auto Second = sent(startCall(2, "/read"));
  BOOST_TEST(answered(answer(Second.Request.Attempt, ResultCode::Ok)).Call ==
             2);
  BOOST_TEST(answered(answer(First.Request.Attempt, ResultCode::Ok)).Call == 1);
  BOOST_TEST(Calls.openCalls() == 0);
}

BOOST_FIXTURE_TEST_CASE(IgnoresDuplicateReply, Fixture) {
  const auto First = sent(startCall(1, "/read"));
  answer(First.Request.Attempt, ResultCode::Ok);
  BOOST_TEST(answer(First.Request.Attempt, ResultCode::Ok).empty());
}

BOOST_FIXTURE_TEST_CASE(RetriesAtAnotherServerWhenNotRun, Fixture) {
  const auto First = sent(startCall(1, "/write"));
  const auto Second =
      sent(answer(First.Request.Attempt, ResultCode::QueueFull));
  BOOST_TEST(Second.Node != First.Node);
}

BOOST_FIXTURE_TEST_CASE(NeverRetriesNonIdempotentCallThatMayHaveRun, Fixture) {
  const auto First = sent(startCall(1, "/write"));
  const auto Answer =
      answered(answer(First.Request.Attempt, ResultCode::OutcomeUnknown));
  BOOST_TEST((Answer.Reply.Result == ResultCode::OutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(RetriesIdempotentCallsAfterConnectionLoss, Fixture) {
  const auto Read = sent(startCall(1, "/read"));
  const auto Retried =
      sent(Calls.handleConnectionLost({Read.Request.Attempt}, Now));
  BOOST_TEST(Retried.Node != Read.Node);
  // A late reply to the lost attempt is ignored.
  BOOST_TEST(answer(Read.Request.Attempt, ResultCode::Ok).empty());
}

// A call on the connection that replaced a lost one ended with it.
BOOST_FIXTURE_TEST_CASE(LossOfAConnectionSparesCallsOnTheNextOne, Fixture) {
  const auto Lost = sent(startCall(1, "/write"));
  auto Spared = sent(startCall(2, "/write"));
  for (CallId Id = 3; Spared.Node != Lost.Node; ++Id)
    Spared = sent(startCall(Id, "/write"));
  const auto Actions = Calls.handleConnectionLost({Lost.Request.Attempt}, Now);
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST(answered(Actions).Call == 1);
  BOOST_TEST(
      (answered(answer(Spared.Request.Attempt, ResultCode::Ok)).Reply.Result ==
       ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(CallEndsOnceWhenBothItsAttemptsAreLost, Fixture) {
  Calls.useSet(6, Config::ObjectSetBuilder()
                      .input("f", "[service s]\n[retry r]\nattempts = 2\n"
                                  "budget-percent = 100\nhedge-after = 10ms\n"
                                  "[kind read]\nidempotent = yes\n"
                                  "deadline = 1s\nretry = r\n"
                                  "[route a]\nprefix = /read\nservice = s\n"
                                  "kind = read\n")
                      .build());
  const auto First = sent(startCall(1, "/read"));
  const auto Hedge = sent(Calls.runDue(Now + Millis(20)));
  const std::vector<AttemptId> Lost{
      First.Request.Attempt, Hedge.Request.Attempt, First.Request.Attempt};
  const auto Actions = Calls.handleConnectionLost(Lost, Now + Millis(30));
  BOOST_REQUIRE_EQUAL(Actions.size(), 1);
  BOOST_TEST((answered(Actions).Reply.Result == ResultCode::ConnectionLost));
}

// The silence of a node ended the last attempts of calls whose servers were at
// work.
BOOST_FIXTURE_TEST_CASE(MarksAttemptsThatCannotBeRepeated, Fixture) {
  BOOST_TEST(!sent(startCall(1, "/write")).MayBeRepeated);
  auto Read = sent(startCall(2, "/read"));
  BOOST_TEST(Read.MayBeRepeated);
  Read = sent(answer(Read.Request.Attempt, ResultCode::QueueFull));
  BOOST_TEST(Read.MayBeRepeated);
  Read = sent(answer(Read.Request.Attempt, ResultCode::QueueFull));
  BOOST_TEST(!Read.MayBeRepeated);
}

BOOST_FIXTURE_TEST_CASE(StopsAtMaxAttempts, Fixture) {
  auto Last = sent(startCall(1, "/read"));
  Last = sent(answer(Last.Request.Attempt, ResultCode::QueueFull));
  Last = sent(answer(Last.Request.Attempt, ResultCode::QueueFull));
  const auto Answer =
      answered(answer(Last.Request.Attempt, ResultCode::QueueFull));
  BOOST_TEST((Answer.Reply.Result == ResultCode::QueueFull));
  BOOST_TEST(Answer.Attempts == 3);
}

BOOST_FIXTURE_TEST_CASE(FailsAtDeadlineAndCancelsAttempts, Fixture) {
  const auto First = sent(startCall(1, "/read"));
  BOOST_TEST((Calls.nextDue() == Now + Millis(1000)));
  const auto Actions = Calls.runDue(Now + Millis(1000));
  BOOST_REQUIRE_EQUAL(Actions.size(), 2);
  BOOST_TEST(std::get<CancelAttempt>(Actions[0]).Attempt ==
             First.Request.Attempt);
  BOOST_TEST((answered(Actions).Reply.Result == ResultCode::DeadlinePassed));
}

BOOST_FIXTURE_TEST_CASE(UsesTheFallbackService, Fixture) {
  BOOST_TEST(sent(startCall(1, "/t")).Node == "10.0.0.4:1");
}

BOOST_FIXTURE_TEST_CASE(RefusesWithoutRouteOrSet, Fixture) {
  const auto Unrouted = answered(startCall(1, "/none"));
  BOOST_TEST((Unrouted.Reply.Result == ResultCode::NoRoute));
  BOOST_TEST(Unrouted.UnroutedPath == "/none");
  Dispatcher<RoundRobinChoice> Fresh("here", RoundRobinChoice());
  CallStart Start;
  Start.Call = 1;
  const auto Refused = answered(Fresh.startCall(std::move(Start), Now));
  BOOST_TEST((Refused.Reply.Result == ResultCode::NoConfiguration));
}

BOOST_FIXTURE_TEST_CASE(KeepsObjectSetOfOpenCalls, Fixture) {
  const auto First = sent(startCall(1, "/read"));
  Calls.useSet(6,
               Config::ObjectSetBuilder().input("f", "[service z]\n").build());
  const auto Second =
      sent(answer(First.Request.Attempt, ResultCode::QueueFull));
  BOOST_TEST(Second.Request.ConfigVersion == 5);
}

// A retry that takes long says nothing about how long a first attempt takes, so
// it must not lead to refusals.
BOOST_FIXTURE_TEST_CASE(LatencyOfRetriesDoesNotRefuseCalls, Fixture) {
  constexpr int CallCount = 40;
  Calls.useSet(6, Config::ObjectSetBuilder()
                      .input("f", "[service s]\n[retry r]\nattempts = 3\n"
                                  "budget-percent = 100\n"
                                  "[kind read]\nidempotent = yes\n"
                                  "deadline = 1s\nretry = r\n"
                                  "[route a]\nprefix = /read\nservice = s\n"
                                  "kind = read\n")
                      .build());
  CallId Id = 1;
  for (; Id <= CallCount; ++Id) {
    const auto First = sent(startCall(Id, "/read"));
    const auto Retry =
        sent(answer(First.Request.Attempt, ResultCode::QueueFull));
    Now += Millis(900);
    answer(Retry.Request.Attempt, ResultCode::Ok);
  }
  CallStart Short;
  Short.Call = Id;
  Short.Path = "/read";
  Short.Timeout = Millis(500);
  const auto Actions = Calls.startCall(std::move(Short), Now);
  BOOST_TEST(std::holds_alternative<SendAttempt>(Actions[0]));
}

// Guards against a planned stop that cuts calls which were accepted late: the
// deadline of this kind is a second.
BOOST_FIXTURE_TEST_CASE(RefusesCallsThatMayOutlastAPlannedStop, Fixture) {
  sent(startCall(1, "/write"));
  Calls.stopAt(Now + Millis(1200));
  Now += Millis(200);
  sent(startCall(2, "/write"));
  Now += Millis(1);
  const auto Refused = answered(startCall(3, "/write"));
  BOOST_TEST((Refused.Reply.Result == ResultCode::Draining));
  BOOST_TEST(Common::isNotRun(Refused.Reply.Result));
  // A caller that gives up earlier is still served.
  CallStart Short;
  Short.Call = 4;
  Short.Method = "GET";
  Short.Path = "/write";
  Short.Target = "/write";
  Short.Timeout = Millis(900);
  sent(Calls.startCall(std::move(Short), Now));
}

BOOST_AUTO_TEST_SUITE_END()
