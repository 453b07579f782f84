#include <boost/test/unit_test.hpp>

#include "Routing/AdaptiveChoice.h"

BOOST_AUTO_TEST_SUITE(AdaptiveChoices)

namespace {

using Common::Micros;
using Common::Millis;
using namespace Routing;

struct Fixture {
  AdaptiveChoice Choice{7};
  ServerRecords Records;
  std::vector<ServerEntry> Servers;
  std::set<std::string> Excluded;
  std::string Kind = "k";
  Common::SteadyTime Now{Millis(1'000'000)};

  void add(const std::string &Name, const std::string &DataCentre,
           int Slots = 6) {
    Servers.push_back({Name, Name, DataCentre, Slots});
    ServerView View;
    View.ByService["s"] = Servers;
    Records.useServers(View, Now);
  }
  void finishSlowStart() { Now += Millis(20'000); }
  std::string choose() {
    const auto Index =
        Choice.choose({Servers, Records, "here", Excluded, Now, Kind});
    return Index ? Servers[*Index].Server : "";
  }
  void answer(const std::string &Name, Millis Latency, int Status = 200,
              ServerLoad Load = {}) {
    Records.attemptSent(Name, Kind, Now - Latency);
    CallReply Reply;
    Reply.HttpStatus = Status;
    Reply.Load = Load;
    Records.attemptEnded(Name, {Now - Latency, Kind, &Reply}, Now);
  }
  std::map<std::string, int> count(int Choices) {
    std::map<std::string, int> Result;
    for (int Index = 0; Index < Choices; ++Index)
      ++Result[choose()];
    return Result;
  }
  void addFiveServers() {
    for (const char *Name : {"a", "b", "c", "d", "e"})
      add(Name, "here");
    finishSlowStart();
    for (const ServerEntry &Entry : Servers)
      answer(Entry.Server, Millis(5));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SpillsOverOnlyWhenLocalWaitIsLonger, Fixture) {
  add("local", "here");
  add("remote", "there");
  finishSlowStart();
  answer("local", Millis(5));
  for (int Calls = 0; Calls < 12; ++Calls) {
    BOOST_TEST(choose() == "local");
    Records.attemptSent("local", Kind, Now);
  }
  for (int Calls = 0; Calls < 12; ++Calls)
    Records.attemptSent("local", Kind, Now);
  BOOST_TEST(choose() == "remote");
}

BOOST_FIXTURE_TEST_CASE(EjectsAtMostAThirdOfTheServers, Fixture) {
  addFiveServers();
  for (const char *Name : {"a", "b"})
    for (int Count = 0; Count < 5; ++Count)
      answer(Name, Millis(100));
  choose();
  BOOST_TEST(Records.find("a")->OnProbation != Records.find("b")->OnProbation);
}

BOOST_FIXTURE_TEST_CASE(FastErrorsDoNotAttractCalls, Fixture) {
  addFiveServers();
  for (int Count = 0; Count < 3; ++Count)
    answer("a", Millis(0), 500);
  BOOST_TEST(count(1000)["a"] == 0);
  // After the ejection one call at a time probes whether the server has
  // recovered.
  Now += Millis(600);
  BOOST_TEST(count(1000)["a"] > 0);
  // No other call goes there while the probe is in flight, even if all other
  // servers have more load.
  Records.attemptSent("a", Kind, Now);
  for (const char *Name : {"b", "c", "d", "e"})
    for (int Count = 0; Count < 3; ++Count)
      Records.attemptSent(Name, Kind, Now);
  BOOST_TEST(count(1000)["a"] == 0);
}

BOOST_FIXTURE_TEST_CASE(DetectsSlowServerBeforeItsFirstAnswer, Fixture) {
  addFiveServers();
  Records.attemptSent("a", Kind, Now);
  Now += Millis(40);
  for (const char *Name : {"b", "c", "d", "e"})
    Records.attemptSent(Name, Kind, Now);
  BOOST_TEST(count(1000)["a"] == 0);
}

BOOST_FIXTURE_TEST_CASE(LongCallsOfAnotherKindDoNotMakeAServerSlow, Fixture) {
  addFiveServers();
  Records.attemptSent("a", "report", Now);
  Now += Millis(40);
  for (const char *Name : {"b", "c", "d", "e"})
    Records.attemptSent(Name, Kind, Now);
  BOOST_TEST(count(1000)["a"] > 100);
}

BOOST_FIXTURE_TEST_CASE(NoServerIsSlowWithoutABaseline, Fixture) {
  for (const char *Name : {"a", "b", "c"})
    add(Name, "here");
  Records.attemptSent("a", Kind, Now);
  Now += Millis(40);
  choose();
  BOOST_TEST(!Records.find("a")->OnProbation);
}

BOOST_FIXTURE_TEST_CASE(LeastRequestsChoosesTheLowestLoadPerSlot, Fixture) {
  add("small", "here", 2);
  add("large", "here", 8);
  for (int Calls = 0; Calls < 2; ++Calls) {
    Records.attemptSent("small", Kind, Now);
    Records.attemptSent("large", Kind, Now);
  }
  LeastRequests Least(1);
  const auto Chosen =
      Least.choose({Servers, Records, "here", Excluded, Now, Kind});
  BOOST_TEST(*Chosen == 1);
}

BOOST_FIXTURE_TEST_CASE(FalseLoadReportsDoNotAttractAllCalls, Fixture) {
  addFiveServers();
  add("misreporting", "here", 1000);
  finishSlowStart();
  for (const ServerEntry &Entry : Servers)
    answer(Entry.Server, Millis(5), 200, {6, 6, 6});
  answer("misreporting", Millis(5), 200, {0, 0, 1000});
  BOOST_TEST(count(6000)["misreporting"] < 2600);
  for (int Count = 0; Count < 3; ++Count)
    answer("misreporting", Millis(30), 200, {0, 0, 1000});
  BOOST_TEST(count(6000)["misreporting"] == 0);
}

BOOST_FIXTURE_TEST_CASE(NewServersStartSlowly, Fixture) {
  addFiveServers();
  add("new", "here");
  Now += Millis(1'000);
  BOOST_TEST(count(6000)["new"] < 300);
  finishSlowStart();
  BOOST_TEST(count(6000)["new"] > 700);
}

BOOST_AUTO_TEST_SUITE_END()
