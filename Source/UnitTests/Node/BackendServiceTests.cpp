#include <future>

#include <boost/test/unit_test.hpp>

#include "Http/Server.h"
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
