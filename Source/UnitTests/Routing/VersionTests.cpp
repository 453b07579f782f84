#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/Dispatcher.h"

BOOST_AUTO_TEST_SUITE(Versions)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Routing;

struct Fixture {
  Dispatcher<RoundRobinChoice> Calls{"here", RoundRobinChoice()};
  Common::SteadyTime Now = Common::SteadyTime(Millis(1000));
  CallId NextCall = 1;

  Fixture() {
    Calls.useSet(5, Config::ObjectSetBuilder()
                        .input("f", "[service s]\n[retry r]\nattempts = 3\n"
                                    "[kind read]\nidempotent = yes\n"
                                    "deadline = 1s\nretry = r\n"
                                    "[route a]\nprefix = /\nservice = s\n"
                                    "kind = read\n")
                        .build());
    auto View = std::make_shared<ServerView>();
    View->ByService["s"] = {{"old1", "10.0.0.1:1", "here", 6, "v1"},
                            {"old2", "10.0.0.2:1", "here", 6, "v1"},
                            {"new1", "10.0.0.3:1", "here", 6, "v2"},
                            {"new2", "10.0.0.4:1", "here", 6, "v2"}};
    Calls.useServers(View, Now);
  }
  void useShare(double Share) {
    auto Policy = std::make_shared<VersionPolicy>();
    (*Policy)["s"] = {"v2", Share, 0, 0};
    Calls.useVersionPolicy(Policy);
  }
  DispatchActions startCall() {
    CallStart Start;
    Start.Call = NextCall++;
    Start.Method = "GET";
    Start.Path = "/x";
    return Calls.startCall(std::move(Start), Now);
  }
  DispatchActions answer(AttemptId Id, ResultCode Code) {
    CallReply Reply;
    Reply.Attempt = Id;
    Reply.Result = Code;
    return Calls.handleReply(Reply, Now);
  }
  int callsToNew(int Count) {
    int Result = 0;
    for (int Index = 0; Index < Count; ++Index) {
      const auto Actions = startCall();
      const auto &Sent = std::get<SendAttempt>(Actions.at(0));
      Result += Sent.Request.Server.starts_with("new") ? 1 : 0;
      answer(Sent.Request.Attempt, ResultCode::Ok);
    }
    return Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SharesOutTheCalls, Fixture) {
  BOOST_TEST(callsToNew(100) == 50);
  useShare(0.06);
  const int Sent = callsToNew(1'000);
  BOOST_TEST(Sent >= 59);
  BOOST_TEST(Sent <= 60);
  useShare(1);
  BOOST_TEST(callsToNew(100) == 100);
  useShare(0);
  BOOST_TEST(callsToNew(100) == 0);
}

BOOST_FIXTURE_TEST_CASE(RetriesObeyTheShare, Fixture) {
  useShare(0);
  auto Actions = startCall();
  std::set<std::string> Tried;
  // Fails wherever it is sent, until no server is left for it.
  while (const auto *Sent = std::get_if<SendAttempt>(&Actions.at(0))) {
    Tried.insert(Sent->Request.Server);
    Actions = answer(Sent->Request.Attempt, ResultCode::PeerUnreachable);
  }
  BOOST_TEST(!Tried.contains("new1"));
  BOOST_TEST(!Tried.contains("new2"));
}

BOOST_FIXTURE_TEST_CASE(UsesOtherVersionsWhenTheTargetHasNoServer, Fixture) {
  auto Policy = std::make_shared<VersionPolicy>();
  (*Policy)["s"] = {"v3", 1, 0, 0};
  Calls.useVersionPolicy(Policy);
  BOOST_TEST(callsToNew(100) == 50);
}

BOOST_AUTO_TEST_SUITE_END()
