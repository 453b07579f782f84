#include <future>

#include <boost/test/unit_test.hpp>

#include "Http/Server.h"
#include "Net/Listener.h"
#include "Node/BackendService.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(BackendServices)

namespace {

using Sink = UnitTests::RecordingSink<Node::PeersMessage>;

// The service under test between a recording sink for peers and an HTTP server.
struct Fixture {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::vector<Node::PeersMessage> Sent;
  std::vector<Http::ExchangeId> OpenExchanges;
  std::vector<Http::Request> ServerRequests;
  std::vector<Common::SteadyTime> ServerRequestTimes;
  std::unique_ptr<Http::Server> Server;
  std::unique_ptr<Node::BackendService<Sink>> Tested;

  explicit Fixture(const Node::NodeSettings &Settings = {}) {
    Worker.spawn();
    Worker.runAndWait([&] {
      Server =
          Http::ServerBuilder(Worker)
              .onRequest([this](Http::ExchangeId Id, const auto &Request) {
                OpenExchanges.push_back(Id);
                ServerRequests.push_back(Request);
                ServerRequestTimes.push_back(std::chrono::steady_clock::now());
              })
              .build();
      Tested = std::make_unique<Node::BackendService<Sink>>(
          Kernel::Context{Worker, Names}, Settings,
          [this] { return Sink(Sent); });
      Tested->start();
      Tested->handle(
          Node::ServerAnnounced{{"s", "s1", 1, false},
                                "127.0.0.1:" + std::to_string(Server->port())});
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Tested->stop();
      Tested.reset();
      Server.reset();
    });
  }

  void request(Routing::AttemptId Id, bool Idempotent,
               const std::string &Service = "s",
               Common::Millis Remaining = Common::Millis(5000),
               Common::Millis Pause = Common::Millis(0)) {
    Worker.runAndWait([&] {
      std::this_thread::sleep_for(Pause);
      Routing::CallRequest Request;
      Request.Attempt = Id;
      Request.Service = Service;
      Request.Method = "POST";
      Request.Target = "/";
      Request.Remaining = Remaining;
      Request.Idempotent = Idempotent;
      Tested->handle(Node::RequestArrived{3, Request});
    });
  }
  // Evaluates the condition on the task until it holds, for at most ten
  // seconds.
  void waitFor(const std::function<bool()> &Condition) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Common::Millis(1));
    }
    BOOST_REQUIRE(IsMet);
  }
  // The replies among the sent messages; the others report the load.
  std::vector<Routing::CallReply> replies() const {
    std::vector<Routing::CallReply> Result;
    for (const Node::PeersMessage &Message : Sent)
      if (const auto *Reply = std::get_if<Node::SendReply>(&Message))
        Result.push_back(Reply->Reply);
    return Result;
  }
  Routing::CallReply reply(std::size_t Index) {
    waitFor([&] { return replies().size() > Index; });
    return replies()[Index];
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RefusesCallForOtherServiceAsNotRun, Fixture) {
  request(1, true, "other");
  BOOST_TEST((reply(0).Result == Common::ResultCode::ServiceUnknown));
  BOOST_TEST(OpenExchanges.empty());
}

BOOST_FIXTURE_TEST_CASE(RepliesCarryTheServerLoad, Fixture) {
  request(1, true);
  request(2, true);
  waitFor([&] { return OpenExchanges.size() == 1; });
  Worker.runAndWait([&] {
    Server->respond(OpenExchanges[0], {200, {}, "one"});
  });
  const Routing::CallReply First = reply(0);
  BOOST_TEST(First.Attempt == 1);
  BOOST_TEST(First.Body == "one");
  BOOST_TEST(First.Load.BusySlots == 1);
  BOOST_TEST(First.Load.Slots == 1);
}

BOOST_FIXTURE_TEST_CASE(CallShedByTheServerCountsAsNotRun, Fixture) {
  request(1, false);
  waitFor([&] { return OpenExchanges.size() == 1; });
  Worker.runAndWait([&] {
    Server->respond(OpenExchanges[0], {503, {{"x-not-run", "1"}}, ""});
  });
  BOOST_TEST((reply(0).Result == Common::ResultCode::ServerShed));
}

BOOST_FIXTURE_TEST_CASE(CancelledIdempotentCallFreesItsSlot, Fixture) {
  request(1, true);
  waitFor([&] { return OpenExchanges.size() == 1; });
  request(2, true);
  Worker.runAndWait([&] { Tested->handle(Node::CancelArrived{3, 1}); });
  waitFor([&] { return OpenExchanges.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(CancelledNonIdempotentCallKeepsItsSlot, Fixture) {
  request(1, false);
  waitFor([&] { return OpenExchanges.size() == 1; });
  request(2, true);
  Worker.runAndWait([&] { Tested->handle(Node::CancelArrived{3, 1}); });
  request(3, true, "s", Common::Millis(50));
  // The third call is refused at its deadline while the second is still queued.
  BOOST_TEST(reply(0).Attempt == 3);
  BOOST_TEST(OpenExchanges.size() == 1);
  Worker.runAndWait([&] {
    Server->respond(OpenExchanges[0], {200, {}, "whole"});
  });
  BOOST_TEST(reply(1).Body == "whole");
  waitFor([&] { return OpenExchanges.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(SlotIsFreedAtTheDeadline, Fixture) {
  request(1, false, "s", Common::Millis(100));
  waitFor([&] { return OpenExchanges.size() == 1; });
  request(2, true);
  BOOST_TEST((reply(0).Result == Common::ResultCode::OutcomeUnknown));
  waitFor([&] { return OpenExchanges.size() == 2; });
}

// Guards against a server's answer that is given up on while the caller-side
// node still waits for it.
BOOST_FIXTURE_TEST_CASE(ServerIsAwaitedAsLongAsTheCallerSideNodeWaits,
                        Fixture) {
  const Common::Millis Remaining(100);
  request(1, false, "s", Remaining);
  const Routing::CallReply GivenUp = reply(0);
  BOOST_TEST((GivenUp.Result == Common::ResultCode::OutcomeUnknown));
  BOOST_TEST(
      (GivenUp.QueueTime + GivenUp.ServiceTime >=
       Common::Micros(Remaining) + Common::Micros(Config::DefaultAnswerSlack)));
}

// Guards against a server that answers nothing and is not seen to fail, since
// the caller-side nodes cancel its calls first.
BOOST_FIXTURE_TEST_CASE(CallCancelledAfterItsDeadlineCountsAsFailed, Fixture) {
  const Common::Millis Remaining(100);
  request(1, true, "s", Remaining);
  waitFor([&] { return OpenExchanges.size() == 1; });
  std::this_thread::sleep_for(Remaining);
  Worker.runAndWait([&] { Tested->handle(Node::CancelArrived{3, 1}); });
  request(2, true);
  waitFor([&] { return OpenExchanges.size() == 2; });
  Worker.runAndWait([&] {
    Server->respond(OpenExchanges[1], {200, {}, "whole"});
  });
  waitFor([&] { return !replies().empty() && replies().back().Attempt == 2; });
  BOOST_TEST(replies().back().Load.FailurePercent > 0);
}

BOOST_FIXTURE_TEST_CASE(RequestDelayedByAPauseIsNotDispatched, Fixture) {
  const Common::Millis Pause(400);
  Worker.runAndWait([&] {
    std::this_thread::sleep_for(Pause);
    Routing::CallRequest Request;
    Request.Attempt = 1;
    Request.Service = "s";
    Request.Remaining = Pause / 2;
    Tested->handle(Node::RequestArrived{3, Request});
  });
  BOOST_TEST((reply(0).Result == Common::ResultCode::DeadlineTooClose));
  BOOST_TEST(OpenExchanges.empty());
}

// Guards against calls that are given up while the server runs them: the pause
// is charged in full against a request that was sent at its end.
BOOST_FIXTURE_TEST_CASE(RunningCallIsNotGivenUpEarlyAfterAPause, Fixture) {
  const Common::Millis Remaining(1500);
  const Common::Millis Pause(600);
  const auto Begin = std::chrono::steady_clock::now();
  request(1, false, "s", Remaining, Pause);
  request(2, true);
  const Routing::CallReply GivenUp = reply(0);
  BOOST_TEST((GivenUp.Result == Common::ResultCode::OutcomeUnknown));
  BOOST_TEST(
      (GivenUp.QueueTime + GivenUp.ServiceTime >= Common::Micros(Remaining)));
  // Its slot is not given to the next call before.
  waitFor([&] { return ServerRequests.size() == 2; });
  Worker.runAndWait([&] {
    BOOST_TEST((ServerRequestTimes[1] - Begin >= Pause + Remaining));
    // The server is never handed more time than is left.
    const Common::Millis Handed(
        std::stoi(ServerRequests[0].Fields.at("x-deadline-ms")));
    BOOST_TEST((Handed <= Remaining - Pause));
  });
}

// The same when the server itself ends the call somewhat after the time that it
// was handed.
BOOST_FIXTURE_TEST_CASE(LateDeadlineResponseIsPassedOnAfterAPause, Fixture) {
  request(1, false, "s", Common::Millis(1500), Common::Millis(600));
  const auto Sent = std::chrono::steady_clock::now();
  waitFor([&] { return OpenExchanges.size() == 1; });
  const Common::Millis Handed(
      std::stoi(ServerRequests[0].Fields.at("x-deadline-ms")));
  std::this_thread::sleep_until(Sent + Handed + Common::Millis(60));
  Worker.runAndWait([&] { Server->respond(OpenExchanges[0], {504, {}, ""}); });
  BOOST_TEST((reply(0).Result == Common::ResultCode::Ok));
  BOOST_TEST(reply(0).HttpStatus == 504);
}

// Guards against a planned stop that takes a call for its shortest possible
// time, while the call may last for its full time.
BOOST_FIXTURE_TEST_CASE(PlannedStopCountsTheFullTimeOfACallAfterAPause,
                        Fixture) {
  Worker.runAndWait([&] {
    Tested->prepareStop(std::chrono::steady_clock::now() +
                        Common::Millis(2000));
  });
  request(1, false, "s", Common::Millis(1500), Common::Millis(600));
  BOOST_TEST((reply(0).Result == Common::ResultCode::Draining));
}

namespace {

// Answers the first request and closes the connection on any later one.
struct DisconnectingServer {
  explicit DisconnectingServer(Kernel::Task &Task)
      : Socket(Task, "127.0.0.1", 0,
               [this](const Net::Listener::Adopter &Adopt) { accept(Adopt); }) {
  }

  void accept(const Net::Listener::Adopter &Adopt) {
    const std::size_t Index = Connections.size();
    Net::ByteStream::Events Events;
    Events.OnBytes = [this, Index](std::string_view) {
      if (++Requests == 1)
        Connections[Index]->write(
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      else
        Connections[Index]->closeNow("test");
    };
    Events.OnClosed = [](Net::StreamEnd, const std::string &) {};
    Connections.push_back(Adopt(std::move(Events)));
  }

  int Requests = 0;
  std::vector<std::unique_ptr<Net::ByteStream>> Connections;
  Net::Listener Socket;
};

} // namespace

// Guards against resends that no retry budget accounts for. When the connection
// to the server breaks before the reply, this service must not send the request
// again: the caller-side node, which holds the budget, decides on a retry.
BOOST_FIXTURE_TEST_CASE(CallIsNotResentWhenTheConnectionBreaks, Fixture) {
  std::unique_ptr<DisconnectingServer> Disconnecting;
  Worker.runAndWait([&] {
    Disconnecting = std::make_unique<DisconnectingServer>(Worker);
    Tested->handle(Node::ServerAnnounced{
        {"s", "s2", 1, false},
        "127.0.0.1:" + std::to_string(Disconnecting->Socket.port())});
  });
  request(1, true);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Ok));
  request(2, true);
  BOOST_TEST((reply(1).Result == Common::ResultCode::OutcomeUnknown));
  Worker.runAndWait([&] {
    BOOST_TEST(Disconnecting->Requests == 2);
    Disconnecting.reset();
  });
}

// Guards against calls that are run by another service: they wait for a server
// which fell silent, and a server of another service takes over its address.
BOOST_FIXTURE_TEST_CASE(WaitingCallsAreNotRunByAServerOfAnotherService,
                        Fixture) {
  request(1, false);
  request(2, false);
  waitFor([&] { return OpenExchanges.size() == 1; });
  Worker.runAndWait([&] {
    Tested->handle(
        Node::ServerAnnounced{{"other", "s2", 2, false},
                              "127.0.0.1:" + std::to_string(Server->port())});
  });
  BOOST_TEST(reply(0).Attempt == 2);
  BOOST_TEST((reply(0).Result == Common::ResultCode::NoLiveServer));
  BOOST_TEST(OpenExchanges.size() == 1U);
}

// A restart of the server under another name keeps them.
BOOST_FIXTURE_TEST_CASE(WaitingCallsAreRunByTheNextServerOfTheirService,
                        Fixture) {
  request(1, false);
  request(2, false);
  waitFor([&] { return OpenExchanges.size() == 1; });
  Worker.runAndWait([&] {
    Tested->handle(Node::ServerAnnounced{
        {"s", "s2", 2, false}, "127.0.0.1:" + std::to_string(Server->port())});
  });
  waitFor([&] { return OpenExchanges.size() == 2; });
}

// Guards against a planned stop that cuts a call of another node, which this
// node took although the call could outlast it.
BOOST_FIXTURE_TEST_CASE(PlannedStopTakesOnlyCallsOfOtherNodesThatCanEnd,
                        Fixture) {
  Worker.runAndWait([&] {
    Tested->prepareStop(std::chrono::steady_clock::now() +
                        Common::Millis(3000));
  });
  request(1, false, "s", Common::Millis(3000));
  BOOST_TEST(reply(0).Attempt == 1);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Draining));
  request(2, false, "s", Common::Millis(1000));
  waitFor([&] { return OpenExchanges.size() == 1; });
}

// The same for calls that wait for a slot when the node begins to stop.
BOOST_FIXTURE_TEST_CASE(PlannedStopSendsBackWaitingCallsThatMayOutlastIt,
                        Fixture) {
  request(1, false, "s", Common::Millis(5000));
  waitFor([&] { return OpenExchanges.size() == 1; });
  request(2, false, "s", Common::Millis(5000));
  request(3, false, "s", Common::Millis(1000));
  Worker.runAndWait([&] {
    Tested->prepareStop(std::chrono::steady_clock::now() +
                        Common::Millis(3000));
  });
  BOOST_TEST(reply(0).Attempt == 2);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Draining));
  Worker.runAndWait([&] {
    Server->respond(OpenExchanges[0], {200, {}, "whole"});
  });
  BOOST_TEST(reply(1).Body == "whole");
  waitFor([&] { return OpenExchanges.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(DrainWaitsForRunningCalls, Fixture) {
  request(1, false);
  waitFor([&] { return OpenExchanges.size() == 1; });
  bool Drained = false;
  Worker.runAndWait([&] { Tested->drain([&] { Drained = true; }); });
  request(2, false);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Draining));
  BOOST_TEST(!Drained);
  Worker.runAndWait([&] {
    Server->respond(OpenExchanges[0], {200, {}, "whole"});
  });
  BOOST_TEST(reply(1).Body == "whole");
  waitFor([&] { return Drained; });
}

namespace {

struct ServeOnFixture : Fixture {
  static constexpr Common::Millis ServeOnLimit{300};

  ServeOnFixture() : Fixture(settings()) {}

  static Node::NodeSettings settings() {
    Node::NodeSettings Result;
    Result.ServeOnLimit = ServeOnLimit;
    return Result;
  }
};

} // namespace

// Guards against a server-side node that keeps admitting calls for as long as
// its own callers have some: admission ends after a fixed time.
BOOST_FIXTURE_TEST_CASE(DrainAdmitsCallsForServeOnLimitOnly, ServeOnFixture) {
  std::optional<Common::SteadyTime> DrainedAt;
  const Common::SteadyTime Start = std::chrono::steady_clock::now();
  Worker.runAndWait([&] {
    Tested->drain([&] { DrainedAt = std::chrono::steady_clock::now(); });
  });
  request(1, false);
  waitFor([&] { return OpenExchanges.size() == 1; });
  std::this_thread::sleep_until(Start + ServeOnLimit + Common::Millis(100));
  request(2, false);
  BOOST_TEST(reply(0).Attempt == 2);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Draining));
  Worker.runAndWait([&] {
    BOOST_TEST(!DrainedAt.has_value());
    Server->respond(OpenExchanges[0], {200, {}, "whole"});
  });
  BOOST_TEST(reply(1).Body == "whole");
  waitFor([&] { return DrainedAt.has_value(); });
}

BOOST_FIXTURE_TEST_CASE(IdleDrainLastsForServeOnLimit, ServeOnFixture) {
  std::optional<Common::SteadyTime> DrainedAt;
  const Common::SteadyTime Start = std::chrono::steady_clock::now();
  Worker.runAndWait([&] {
    Tested->drain([&] { DrainedAt = std::chrono::steady_clock::now(); });
  });
  waitFor([&] { return DrainedAt.has_value(); });
  BOOST_TEST((*DrainedAt - Start >= ServeOnLimit));
}

// Guards against a call that began before the stop and outlasts it: it must not
// take the time in which the other services send their last responses.
BOOST_FIXTURE_TEST_CASE(DrainLeavesTheOtherServicesTime, Fixture) {
  request(1, false, "s", Common::Millis(5000));
  waitFor([&] { return OpenExchanges.size() == 1; });
  std::optional<Common::SteadyTime> DrainedAt;
  const Common::SteadyTime Deadline =
      std::chrono::steady_clock::now() + Common::Millis(700);
  Worker.runAndWait([&] {
    Tested->prepareStop(Deadline);
    Tested->drain([&] { DrainedAt = std::chrono::steady_clock::now(); });
    BOOST_TEST(!DrainedAt.has_value());
  });
  std::this_thread::sleep_until(Deadline);
  Worker.runAndWait([&] {
    BOOST_REQUIRE(DrainedAt.has_value());
    BOOST_TEST((*DrainedAt <= Deadline - Common::Millis(200)));
    Server->respond(OpenExchanges[0], {200, {}, "whole"});
  });
  BOOST_TEST(reply(0).Body == "whole");
}

BOOST_AUTO_TEST_SUITE_END()
