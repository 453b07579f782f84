#include <functional>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Http/KeepAliveClient.h"
#include "Net/Listener.h"

BOOST_AUTO_TEST_SUITE(KeepAliveClients)

namespace {

using Common::Millis;

constexpr const char *Echo = "x-id";

std::string answer(const std::string &Id, const std::string &Body,
                   const std::string &More = "") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id + "\r\n" + More +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// A client and a server that answers as each test says.
struct Fixture {
  struct Link {
    std::unique_ptr<Net::ByteStream> Stream;
    std::string Incoming;
  };

  Kernel::Task Worker{"t"};
  std::unique_ptr<Net::Listener> Socket;
  std::unique_ptr<Http::KeepAliveClient> Client;
  std::vector<std::unique_ptr<Link>> Links;
  int Requests = 0;
  int Closed = 0;
  std::vector<Http::ClientResult> Results;
  // Called with each request's number, from 1, and its connection.
  std::function<void(int, Net::ByteStream &)> OnRequest;

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Socket = std::make_unique<Net::Listener>(
          Worker, "127.0.0.1", 0,
          [this](const Net::Listener::Adopter &Adopt) { accept(Adopt); });
      Client = std::make_unique<Http::KeepAliveClient>(Worker);
      Client->useServer("127.0.0.1:" + std::to_string(Socket->port()));
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Client.reset();
      Links.clear();
      Socket.reset();
    });
  }

  void accept(const Net::Listener::Adopter &Adopt) {
    Links.push_back(std::make_unique<Link>());
    Link *Made = Links.back().get();
    Net::ByteStream::Events Wired;
    Wired.OnBytes = [this, Made](std::string_view Bytes) {
      Made->Incoming.append(Bytes);
      const std::size_t End = Made->Incoming.find("\r\n\r\n");
      if (End == std::string::npos)
        return;
      Made->Incoming.clear();
      OnRequest(++Requests, *Made->Stream);
    };
    Wired.OnClosed = [this](Net::StreamEnd, const std::string &) { ++Closed; };
    Made->Stream = Adopt(std::move(Wired));
  }

  Http::TransferId send(const std::string &Id, Millis Limit = Millis(3000)) {
    Http::TransferId Sent = 0;
    Worker.runAndWait([&] {
      Http::KeepAliveRequest Asked;
      Asked.Method = "GET";
      Asked.Target = "/";
      Asked.Fields[Echo] = Id;
      Asked.EchoedField = Echo;
      Asked.Limit = Limit;
      Sent = Client->send(std::move(Asked), [this](Http::ClientResult Result) {
        Results.push_back(std::move(Result));
      });
    });
    return Sent;
  }
  bool waitFor(const std::function<bool()> &Happened) {
    const auto End = std::chrono::steady_clock::now() + Millis(5000);
    bool Seen = false;
    while (!Seen && std::chrono::steady_clock::now() < End) {
      Worker.runAndWait([&] { Seen = Happened(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return Seen;
  }
  // The result of the request sent as the given one, from 1.
  const Http::ClientResult &result(std::size_t Number) {
    BOOST_REQUIRE(waitFor([&] { return Results.size() >= Number; }));
    return Results[Number - 1];
  }
  std::uint64_t opened() const { return Client->connectionsOpened(); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KeepsItsConnection, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    To.write(answer(std::to_string(Number), "body"));
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "body");
  send("2");
  BOOST_TEST(result(2).Answered);
  BOOST_TEST(opened() == 1U);
}

BOOST_FIXTURE_TEST_CASE(SkipsTheLateAnswerOfAnotherRequest, Fixture) {
  OnRequest = [](int, Net::ByteStream &To) {
    To.write(answer("old", "not ours") + answer("1", "ours"));
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "ours");
  send("1");
  BOOST_TEST(result(2).Reply.Body == "ours");
  // A connection on which something strange came is not used again.
  BOOST_TEST(opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(GivesUpAConnectionWithBytesAfterTheAnswer, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    To.write(answer(std::to_string(Number), "body") + "garbage");
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "body");
  send("2");
  BOOST_TEST(result(2).Reply.Body == "body");
  BOOST_TEST(opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(GivesUpAnIdleConnectionOnWhichBytesCome, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    To.write(answer(std::to_string(Number), "body"));
  };
  send("1");
  result(1);
  Worker.runAndWait([this] { Links[0]->Stream->write(answer("1", "again")); });
  BOOST_TEST(waitFor([this] { return Closed == 1; }));
  send("2");
  BOOST_TEST(result(2).Reply.Body == "body");
}

BOOST_FIXTURE_TEST_CASE(TakesACutOrMalformedAnswerForNone, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    if (Number == 1) {
      To.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf");
      To.finish();
    } else {
      To.write("no answer at all\r\n\r\n");
    }
  };
  send("1");
  BOOST_TEST(!result(1).Answered);
  BOOST_TEST(result(1).MayHaveRun);
  send("2");
  BOOST_TEST(!result(2).Answered);
}

BOOST_FIXTURE_TEST_CASE(TakesAnAnswerWithoutLengthOnlyFromAnOrderlyEnd,
                        Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    To.write("HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(Number) +
             "\r\nConnection: close\r\n\r\nall of it");
    if (Number == 1)
      To.finish();
    // The other one stays open until its limit.
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "all of it");
  send("2", Millis(200));
  BOOST_TEST(!result(2).Answered);
}

BOOST_FIXTURE_TEST_CASE(NeverSendsTwice, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    if (Number == 1)
      To.write(answer("1", "body"));
    else
      To.abandon("test");
  };
  send("1");
  result(1);
  send("2");
  BOOST_TEST(!result(2).Answered);
  BOOST_TEST(result(2).MayHaveRun);
  BOOST_TEST(Requests == 2);
}

BOOST_FIXTURE_TEST_CASE(LeavesAConnectionBeforeItsStatedIdleTime, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &To) {
    To.write(answer(std::to_string(Number), "", "Keep-Alive: timeout=1\r\n"));
  };
  send("1");
  result(1);
  std::this_thread::sleep_for(Millis(700));
  send("2");
  BOOST_TEST(result(2).Answered);
  BOOST_TEST(opened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ClosesTheConnectionOfACancelledRequest, Fixture) {
  OnRequest = [](int, Net::ByteStream &) {};
  const Http::TransferId Sent = send("1");
  BOOST_TEST(waitFor([this] { return Requests == 1; }));
  Worker.runAndWait([&] { Client->cancel(Sent); });
  BOOST_TEST(waitFor([this] { return Closed == 1; }));
  BOOST_TEST(Results.empty());
}

BOOST_FIXTURE_TEST_CASE(SaysThatARefusedConnectionRanNothing, Fixture) {
  Worker.runAndWait([this] { Socket.reset(); });
  send("1");
  BOOST_TEST(!result(1).Answered);
  BOOST_TEST(!result(1).MayHaveRun);
}

BOOST_AUTO_TEST_SUITE_END()
