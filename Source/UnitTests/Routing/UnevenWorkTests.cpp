#include <boost/test/unit_test.hpp>

#include "Config/ObjectSetBuilder.h"
#include "Routing/Dispatcher.h"
#include "Routing/ExpectedTimeChoice.h"

// Calls of one kind differ in work, and servers in speed.
BOOST_AUTO_TEST_SUITE(UnevenWorks)

namespace {

using Common::Micros;
using Common::Millis;
using Common::ResultCode;
using namespace Routing;

constexpr MeshRetryLimit RetryLimit{0.2, std::chrono::seconds(10), 40, 1};
constexpr int Slots = 4;

// The same set with and without a tenant.
Config::ObjectSetPtr makeSet(bool HasTenant) {
  Config::ObjectSetBuilder Builder;
  Builder.input("f", "[service s]\n"
                     "[retry r]\nattempts = 2\nredirects = 2\n"
                     "[kind read]\nidempotent = yes\ndeadline = 1s\n"
                     "target-latency = 400ms\nretry = r\n"
                     "[route a]\nprefix = /\nservice = s\nkind = read\n");
  if (HasTenant) {
    Config::Tenant Customer;
    Customer.Name = "customer";
    Customer.Keys = {"key"};
    Builder.add(std::move(Customer));
  }
  return Builder.build();
}

struct Node {
  Dispatcher<ExpectedTimeChoice, ServiceBudgets> Calls{
      "here", ExpectedTimeChoice(1), 1000, ServiceBudgets(RetryLimit)};
  Common::SteadyTime Now{Millis(100'000)};
  CallId NextCall = 1;

  explicit Node(bool HasTenant = true) {
    Calls.useSet(1, makeSet(HasTenant));
    auto View = std::make_shared<ServerView>();
    for (const char *Name : {"here-0", "here-1"})
      View->ByService["s"].push_back({Name, Name, "here", Slots});
    View->ByService["s"].push_back({"there-0", "there-0", "there", Slots});
    Calls.useServers(View, Now);
  }

  DispatchActions startCall() {
    CallStart Start;
    Start.Call = NextCall++;
    Start.Path = "/a";
    return Calls.startCall(std::move(Start), Now);
  }
  DispatchActions reply(const DispatchActions &To, ResultCode Code,
                        const ServerLoad &Load) {
    CallReply Reply;
    Reply.Attempt = std::get<SendAttempt>(To.back()).Request.Attempt;
    Reply.Result = Code;
    Reply.HttpStatus = 200;
    Reply.ServiceTime = Millis(100);
    Reply.Load = Load;
    return Calls.handleReply(Reply, Now);
  }
  // Lets the node learn that calls take 100 ms.
  void learn() {
    for (int Call = 0; Call < 8; ++Call)
      reply(startCall(), ResultCode::Ok, {.Slots = Slots});
  }
  void report(const std::string &Server, int Queued, int BusySlots,
              Micros Backlog, int SlownessPercent = 100) {
    Calls.handleLoadReport(Server,
                           {.Queued = Queued,
                            .BusySlots = BusySlots,
                            .Slots = Slots,
                            .SlotTime = Millis(100),
                            .Backlog = Backlog,
                            .SlownessPercent = SlownessPercent},
                           Now);
  }
  // Whether each of the next calls is sent to the server.
  bool prefers(const std::string &Server, int Count) {
    for (int Call = 0; Call < Count; ++Call) {
      const DispatchActions Sent = startCall();
      if (std::get<SendAttempt>(Sent.back()).Request.Server != Server)
        return false;
      Calls.cancelCall(NextCall - 1, Now);
    }
    return true;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(StatesTheExpectedCost) {
  Node Tested;
  Tested.learn();
  const DispatchActions Sent = Tested.startCall();
  BOOST_TEST(std::get<SendAttempt>(Sent.back()).Request.ExpectedCost.count() ==
             100'000);
}

BOOST_AUTO_TEST_CASE(LeavesOtherSetsAsTheyWere) {
  Node Tested(false);
  Tested.learn();
  const DispatchActions Sent = Tested.startCall();
  const auto &Attempt = std::get<SendAttempt>(Sent.back());
  BOOST_TEST(Attempt.Request.ExpectedCost.count() == 0);
  BOOST_TEST(!Attempt.ConnectLimit);
}

// Load: as many calls wait at both servers, but one has ten times the work.
BOOST_AUTO_TEST_CASE(PrefersTheServerWithLessWorkLeft) {
  Node Tested;
  Tested.learn();
  Tested.report("here-0", 2, Slots, Millis(600));
  Tested.report("here-1", 2, Slots, Millis(60));
  BOOST_TEST(Tested.prefers("here-1", 5));
  Tested.report("here-0", 2, Slots, Millis(60));
  Tested.report("here-1", 2, Slots, Millis(600));
  BOOST_TEST(Tested.prefers("here-0", 5));
}

BOOST_AUTO_TEST_CASE(PrefersTheFasterOfTwoFreeServers) {
  Node Tested;
  Tested.learn();
  Tested.report("here-0", 0, 1, Millis(10), 250);
  Tested.report("here-1", 0, 1, Millis(10), 100);
  BOOST_TEST(Tested.prefers("here-1", 5));
}

// Load: the servers of all data centres are overloaded.
BOOST_AUTO_TEST_CASE(StaysInItsDataCentreUnlessAnotherIsKnownToHaveLessWork) {
  Node Tested;
  Tested.learn();
  const auto ReportFull = [&] {
    Tested.report("here-0", 20, Slots, Millis(600));
    Tested.report("here-1", 20, Slots, Millis(600));
  };
  ReportFull();
  // The first call asks the other data centre for a report.
  DispatchActions Sent = Tested.startCall();
  BOOST_TEST(std::get<SendAttempt>(Sent.back()).Request.Server == "there-0");
  Tested.report("there-0", 12, Slots, Millis(400));
  BOOST_TEST(!Tested.prefers("there-0", 1));
  for (int Call = 0; Call < 20; ++Call)
    BOOST_TEST(!Tested.prefers("there-0", 1));
  Tested.report("there-0", 0, 1, Millis(20));
  BOOST_TEST(Tested.prefers("there-0", 2));
  // The report is out of date.
  Tested.Now += Millis(1'001);
  ReportFull();
  Tested.startCall(); // Asks for a report again.
  Tested.Now += Millis(500);
  ReportFull();
  BOOST_TEST(!Tested.prefers("there-0", 1));
}

// Load: the work that is left takes longer than the time of the call.
BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatCannotEndInTime) {
  Node Tested;
  Tested.learn();
  Tested.report("here-0", 40, Slots, Millis(2'000));
  Tested.report("here-1", 40, Slots, Millis(2'000));
  Tested.report("there-0", 40, Slots, Millis(2'000));
  const DispatchActions First = Tested.startCall();
  const DispatchActions Second = Tested.startCall();
  const auto *Refused = std::get_if<AnswerCaller>(&Second.back());
  BOOST_REQUIRE(Refused);
  BOOST_TEST((Refused->Reply.Result == ResultCode::DeadlineTooClose));
  BOOST_TEST(Refused->Attempts == 0);
  BOOST_TEST((Refused->RetryAfter >= Millis(500)));
}

BOOST_AUTO_TEST_CASE(SpreadsTheCallersThatComeBack) {
  Node Tested;
  Tested.learn();
  std::set<Micros> Waits;
  Tested.report("here-0", 40, Slots, Millis(2'000));
  Tested.report("here-1", 40, Slots, Millis(2'000));
  Tested.report("there-0", 40, Slots, Millis(2'000));
  for (int Call = 0; Call < 20; ++Call) {
    const DispatchActions Actions = Tested.startCall();
    if (const auto *Refused = std::get_if<AnswerCaller>(&Actions.back()))
      Waits.insert(Refused->RetryAfter.value());
  }
  BOOST_TEST(Waits.size() >= 18U);
  BOOST_TEST((*Waits.begin() < Millis(600)));
  BOOST_TEST((*Waits.rbegin() > Millis(900)));
  BOOST_TEST((*Waits.rbegin() <= Millis(1'000)));
}

BOOST_AUTO_TEST_SUITE_END()
