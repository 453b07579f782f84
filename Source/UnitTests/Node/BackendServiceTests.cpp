#include <future>

#include <boost/test/unit_test.hpp>

#include "Http/Server.h"
#include "Net/Listener.h"
#include "Node/BackendService.h"
#include "UnitTests/RecordingSink.h"

BOOST_AUTO_TEST_SUITE(BackendServices)

namespace {

using Sink = UnitTests::RecordingSink<Node::PeersMessage>;

// The service between a mock of the peers and a small HTTP server.
struct Fixture {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::vector<Node::PeersMessage> Sent;
  std::vector<Http::ExchangeId> Held;
  std::unique_ptr<Http::Server> Server;
  std::unique_ptr<Node::BackendService<Sink>> Tested;

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Server = Http::ServerBuilder(Worker)
                   .onRequest([this](Http::ExchangeId Id, const auto &) {
                     Held.push_back(Id);
                   })
                   .build();
      Tested = std::make_unique<Node::BackendService<Sink>>(
          Kernel::Context{Worker, Names}, Node::NodeSettings(),
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
               Common::Millis Remaining = Common::Millis(5000)) {
    Worker.runAndWait([&] {
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
  // Waits for an event on the task, at most ten seconds.
  void waitFor(const std::function<bool()> &Happened) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool Seen = false;
    while (!Seen && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Seen = Happened(); });
      std::this_thread::sleep_for(Common::Millis(1));
    }
    BOOST_REQUIRE(Seen);
  }
  // The replies among what was sent; the rest tells of load.
  std::vector<Routing::CallReply> replies() const {
    std::vector<Routing::CallReply> Result;
    for (const Node::PeersMessage &Each : Sent)
      if (const auto *Part = std::get_if<Node::SendReply>(&Each))
        Result.push_back(Part->Reply);
    return Result;
  }
  Routing::CallReply reply(std::size_t Index) {
    waitFor([&] { return replies().size() > Index; });
    return replies()[Index];
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RefusesAnotherServicesCallAsNotRun, Fixture) {
  request(1, true, "other");
  BOOST_TEST((reply(0).Result == Common::ResultCode::ServiceUnknown));
  BOOST_TEST(Held.empty());
}

BOOST_FIXTURE_TEST_CASE(AnswersWithTheServersLoad, Fixture) {
  request(1, true);
  request(2, true);
  waitFor([&] { return Held.size() == 1; });
  Worker.runAndWait([&] { Server->answer(Held[0], {200, {}, "one"}); });
  const Routing::CallReply First = reply(0);
  BOOST_TEST(First.Attempt == 1);
  BOOST_TEST(First.Body == "one");
  BOOST_TEST(First.Load.BusySlots == 1);
  BOOST_TEST(First.Load.Slots == 1);
}

BOOST_FIXTURE_TEST_CASE(AServerThatShedsDidNotRunTheCall, Fixture) {
  request(1, false);
  waitFor([&] { return Held.size() == 1; });
  Worker.runAndWait([&] {
    Server->answer(Held[0], {503, {{"x-not-run", "1"}}, ""});
  });
  BOOST_TEST((reply(0).Result == Common::ResultCode::ServerShed));
}

BOOST_FIXTURE_TEST_CASE(ACancelledCallFreesItsSlot, Fixture) {
  request(1, true);
  waitFor([&] { return Held.size() == 1; });
  request(2, true);
  Worker.runAndWait([&] { Tested->handle(Node::CancelArrived{3, 1}); });
  waitFor([&] { return Held.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(ACancelledNonIdempotentCallKeepsItsSlot, Fixture) {
  request(1, false);
  waitFor([&] { return Held.size() == 1; });
  request(2, true);
  Worker.runAndWait([&] { Tested->handle(Node::CancelArrived{3, 1}); });
  request(3, true, "s", Common::Millis(50));
  // The third is refused at its deadline, and the second has not begun.
  BOOST_TEST(reply(0).Attempt == 3);
  BOOST_TEST(Held.size() == 1);
  Worker.runAndWait([&] { Server->answer(Held[0], {200, {}, "whole"}); });
  BOOST_TEST(reply(1).Body == "whole");
  waitFor([&] { return Held.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(ASlotComesBackAtTheDeadline, Fixture) {
  request(1, false, "s", Common::Millis(100));
  waitFor([&] { return Held.size() == 1; });
  request(2, true);
  BOOST_TEST((reply(0).Result == Common::ResultCode::OutcomeUnknown));
  waitFor([&] { return Held.size() == 2; });
}

BOOST_FIXTURE_TEST_CASE(WhatWaitedThroughAPauseIsNotDispatched, Fixture) {
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
  BOOST_TEST(Held.empty());
}

namespace {

// Answers the first request; later ones end with their connection.
struct BreakingServer {
  explicit BreakingServer(Kernel::Task &Home)
      : Socket(Home, "127.0.0.1", 0,
               [this](const Net::Listener::Adopter &Adopt) { accept(Adopt); }) {
  }

  void accept(const Net::Listener::Adopter &Adopt) {
    const std::size_t Index = Links.size();
    Net::ByteStream::Events Wired;
    Wired.OnBytes = [this, Index](std::string_view) {
      if (++Requests == 1)
        Links[Index]->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      else
        Links[Index]->abandon("test");
    };
    Wired.OnClosed = [](Net::StreamEnd, const std::string &) {};
    Links.push_back(Adopt(std::move(Wired)));
  }

  int Requests = 0;
  std::vector<std::unique_ptr<Net::ByteStream>> Links;
  Net::Listener Socket;
};

} // namespace

// Second sends of servers that broke off answers were in nobody's budget.
BOOST_FIXTURE_TEST_CASE(ABrokenAnswerIsLeftToTheNodeWithTheBudget, Fixture) {
  std::unique_ptr<BreakingServer> Breaking;
  Worker.runAndWait([&] {
    Breaking = std::make_unique<BreakingServer>(Worker);
    Tested->handle(Node::ServerAnnounced{
        {"s", "s2", 1, false},
        "127.0.0.1:" + std::to_string(Breaking->Socket.port())});
  });
  request(1, true);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Ok));
  request(2, true);
  BOOST_TEST((reply(1).Result == Common::ResultCode::OutcomeUnknown));
  Worker.runAndWait([&] {
    BOOST_TEST(Breaking->Requests == 2);
    Breaking.reset();
  });
}

BOOST_FIXTURE_TEST_CASE(DrainEndsAfterTheRunningCall, Fixture) {
  request(1, false);
  waitFor([&] { return Held.size() == 1; });
  bool Drained = false;
  Worker.runAndWait([&] { Tested->drain([&] { Drained = true; }); });
  request(2, false);
  BOOST_TEST((reply(0).Result == Common::ResultCode::Draining));
  BOOST_TEST(!Drained);
  Worker.runAndWait([&] { Server->answer(Held[0], {200, {}, "whole"}); });
  BOOST_TEST(reply(1).Body == "whole");
  waitFor([&] { return Drained; });
}

BOOST_AUTO_TEST_SUITE_END()
