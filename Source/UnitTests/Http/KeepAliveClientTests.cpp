#include <functional>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Http/KeepAliveClient.h"
#include "Net/Listener.h"

BOOST_AUTO_TEST_SUITE(KeepAliveClients)

namespace {

using Common::Millis;

constexpr const char *EchoFieldName = "x-id";

std::string response(const std::string &Id, const std::string &Body,
                     const std::string &ExtraFields = "") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id + "\r\n" + ExtraFields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// A client and a server whose responses each test defines.
struct Fixture {
  struct Connection {
    std::unique_ptr<Net::ByteStream> Stream;
    std::string Incoming;
  };

  Kernel::Task Worker{"t"};
  std::unique_ptr<Net::Listener> Listener;
  std::unique_ptr<Http::KeepAliveClient> Client;
  std::vector<std::unique_ptr<Connection>> Connections;
  int Requests = 0;
  int Closed = 0;
  std::vector<Http::ClientResult> Results;
  // Called with the number of each request, starting at 1, and its connection.
  std::function<void(int, Net::ByteStream &)> OnRequest;

  Fixture() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Listener = std::make_unique<Net::Listener>(
          Worker, "127.0.0.1", 0,
          [this](const Net::Listener::Adopter &Adopt) { accept(Adopt); });
      Client = std::make_unique<Http::KeepAliveClient>(Worker);
      Client->useServer("127.0.0.1:" + std::to_string(Listener->port()));
    });
  }
  ~Fixture() {
    Worker.runAndWait([this] {
      Client.reset();
      Connections.clear();
      Listener.reset();
    });
  }

  void accept(const Net::Listener::Adopter &Adopt) {
    Connections.push_back(std::make_unique<Connection>());
    Connection *Accepted = Connections.back().get();
    Net::ByteStream::Events Handlers;
    Handlers.OnBytes = [this, Accepted](std::string_view Bytes) {
      Accepted->Incoming.append(Bytes);
      const std::size_t End = Accepted->Incoming.find("\r\n\r\n");
      if (End == std::string::npos)
        return;
      Accepted->Incoming.clear();
      OnRequest(++Requests, *Accepted->Stream);
    };
    Handlers.OnClosed = [this](Net::StreamEnd, const std::string &) {
      ++Closed;
    };
    Accepted->Stream = Adopt(std::move(Handlers));
  }

  Http::TransferId send(const std::string &Id, Millis Timeout = Millis(3000)) {
    Http::TransferId Transfer = 0;
    Worker.runAndWait([&] {
      Http::KeepAliveRequest Request;
      Request.Method = "GET";
      Request.Target = "/";
      Request.Fields[EchoFieldName] = Id;
      Request.EchoedField = EchoFieldName;
      Request.Timeout = Timeout;
      Transfer =
          Client->send(std::move(Request), [this](Http::ClientResult Result) {
            Results.push_back(std::move(Result));
          });
    });
    return Transfer;
  }
  bool waitFor(const std::function<bool()> &Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + Millis(5000);
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < Deadline) {
      Worker.runAndWait([&] { IsMet = Condition(); });
      std::this_thread::sleep_for(Millis(2));
    }
    return IsMet;
  }
  // Waits for a result by its position, starting at 1.
  const Http::ClientResult &result(std::size_t Position) {
    BOOST_REQUIRE(waitFor([&] { return Results.size() >= Position; }));
    return Results[Position - 1];
  }
  std::uint64_t connectionsOpened() const {
    return Client->connectionsOpened();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ReusesTheConnection, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    Peer.write(response(std::to_string(Number), "body"));
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "body");
  send("2");
  BOOST_TEST(result(2).Answered);
  BOOST_TEST(connectionsOpened() == 1U);
}

BOOST_FIXTURE_TEST_CASE(SkipsTheLateResponseToAnotherRequest, Fixture) {
  OnRequest = [](int, Net::ByteStream &Peer) {
    Peer.write(response("old", "not ours") + response("1", "ours"));
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "ours");
  send("1");
  BOOST_TEST(result(2).Reply.Body == "ours");
  // A connection that received an unexpected response isn't reused.
  BOOST_TEST(connectionsOpened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ClosesAConnectionWithBytesAfterTheResponse, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    Peer.write(response(std::to_string(Number), "body") + "garbage");
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "body");
  send("2");
  BOOST_TEST(result(2).Reply.Body == "body");
  BOOST_TEST(connectionsOpened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ClosesAnIdleConnectionThatReceivesBytes, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    Peer.write(response(std::to_string(Number), "body"));
  };
  send("1");
  result(1);
  Worker.runAndWait(
      [this] { Connections[0]->Stream->write(response("1", "again")); });
  BOOST_TEST(waitFor([this] { return Closed == 1; }));
  send("2");
  BOOST_TEST(result(2).Reply.Body == "body");
}

// A task that is late has not read yet that the server has closed the
// connection.
BOOST_FIXTURE_TEST_CASE(RequestIsNotSentOnAConnectionThatTheServerHasClosed,
                        Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    Peer.write(response(std::to_string(Number), "body"));
  };
  send("1");
  result(1);
  Worker.runAndWait([this] {
    Connections[0]->Stream.reset();
    Http::KeepAliveRequest Request;
    Request.Method = "POST";
    Request.Target = "/";
    Request.Fields[EchoFieldName] = "2";
    Request.EchoedField = EchoFieldName;
    Request.Timeout = Millis(3000);
    Client->send(std::move(Request), [this](Http::ClientResult Result) {
      Results.push_back(std::move(Result));
    });
  });
  BOOST_TEST(result(2).Answered);
  BOOST_TEST(connectionsOpened() == 2U);
}

// Guards against a body that is completed with bytes of another response: the
// server breaks off a response on a kept connection and sends the one before it
// once more. Here 1, 30 or 200 bytes of the body are missing.
BOOST_FIXTURE_TEST_CASE(FailsOnABodyThatAnotherResponseCompletes, Fixture) {
  const std::string Earlier = response("first", std::string(300, 'a'));
  std::size_t Missing = 0;
  OnRequest = [&](int Number, Net::ByteStream &Peer) {
    const std::string Whole = response("second", std::string(300, 'b'));
    Peer.write(Number % 2 == 1
                   ? Earlier
                   : Whole.substr(0, Whole.size() - Missing) + Earlier);
  };
  std::size_t Position = 0;
  for (const std::size_t Bytes : {1, 30, 200}) {
    Missing = Bytes;
    send("first");
    BOOST_TEST(result(++Position).Answered);
    send("second");
    BOOST_TEST(!result(++Position).Answered);
    BOOST_TEST(result(Position).MayHaveRun);
  }
}

// A server may show a request or a response that it logged.
BOOST_FIXTURE_TEST_CASE(AcceptsABodyThatShowsOtherMessages, Fixture) {
  const std::string Logged = "GET / HTTP/1.1\r\nX-Id: 2\r\n\r\n" +
                             response("other", "a body that was logged");
  OnRequest = [&](int Number, Net::ByteStream &Peer) {
    Peer.write(response(std::to_string(Number), Logged));
  };
  for (std::size_t Number = 1; Number <= 3; ++Number) {
    send(std::to_string(Number));
    BOOST_TEST(result(Number).Reply.Body == Logged);
  }
}

// A server in trouble answered with status 000. It was taken for an interim
// response, so that its caller waited for the deadline; 600 reached the caller.
BOOST_FIXTURE_TEST_CASE(FailsAtOnceOnAStatusOutsideOfHttp, Fixture) {
  const std::vector<std::string> Lines = {
      "HTTP/1.1 000 Unknown", "HTTP/1.0 000 Unknown", "HTTP/1.1 000",
      "HTTP/1.1 001 Unknown", "HTTP/1.1 099 Unknown", "HTTP/1.1 600 Unknown",
      "HTTP/1.1 999 Unknown", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
      "HTTP/1.1 abc OK", "HTTP/1.1 -01 OK", "HTTP/3.1 200 OK",
      // Interim responses have no body, so its bytes are no response.
      "HTTP/1.1 100 Continue", "HTTP/1.1 199 Odd"};
  OnRequest = [&](int Number, Net::ByteStream &Peer) {
    const std::string Id = std::to_string(Number);
    Peer.write(Lines.at(Number - 1) + "\r\nX-Id: " + Id +
               "\r\nContent-Length: 2\r\n\r\nok");
  };
  for (std::size_t Number = 1; Number <= Lines.size(); ++Number) {
    send(std::to_string(Number), Millis(60'000));
    const Http::ClientResult &Result = result(Number);
    BOOST_TEST(!Result.Answered, Lines[Number - 1]);
    BOOST_TEST(Result.MayHaveRun, Lines[Number - 1]);
    BOOST_TEST(Result.Failure.find("malformed") != std::string::npos);
  }
}

// Interim responses and the last one arrive in two pieces, cut at each byte.
BOOST_FIXTURE_TEST_CASE(AcceptsResponsesInPieces, Fixture) {
  const auto Whole = [](int Number) {
    return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
           response(std::to_string(Number), "body");
  };
  OnRequest = [&](int Number, Net::ByteStream &Peer) {
    const std::string Text = Whole(Number);
    const auto Cut = static_cast<std::size_t>(Number);
    Peer.write(Text.substr(0, Cut));
    Peer.flush();
    Worker.post([&Peer, Rest = Text.substr(Cut)] { Peer.write(Rest); });
  };
  for (std::size_t Number = 1; Number < Whole(10).size(); ++Number) {
    send(std::to_string(Number));
    BOOST_TEST(result(Number).Reply.Body == "body", "cut at " << Number);
  }
}

BOOST_FIXTURE_TEST_CASE(FailsOnATruncatedOrMalformedResponse, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    if (Number == 1) {
      Peer.write(
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf");
      Peer.closeGracefully();
    } else {
      Peer.write("no answer at all\r\n\r\n");
    }
  };
  send("1");
  BOOST_TEST(!result(1).Answered);
  BOOST_TEST(result(1).MayHaveRun);
  send("2");
  BOOST_TEST(!result(2).Answered);
}

// Guards against a success with an empty or short body: the server stops in the
// middle of the head of its response, at any byte, and closes in order.
BOOST_FIXTURE_TEST_CASE(AResponseThatEndsWithinItsHeadIsNoAnswer, Fixture) {
  const std::string Start = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  std::size_t Sent = 0;
  for (const std::string &Head :
       {Start + "Content-Length: 4\r\n\r\n",
        Start + "Transfer-Encoding: chunked\r\n\r\n",
        Start + "Connection: close\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n" + std::string(),
        "HTTP/1.1 100 Continue\r\n\r\n" + Start + "\r\n"})
    for (std::size_t Length = 0; Length < Head.size(); ++Length) {
      OnRequest = [&](int, Net::ByteStream &Peer) {
        Peer.write(Head.substr(0, Length));
        Peer.closeGracefully();
      };
      send("1");
      const Http::ClientResult &Result = result(++Sent);
      BOOST_TEST(!Result.Answered, "answered after " << Head.substr(0, Length));
      BOOST_TEST(Result.MayHaveRun);
    }
}

// The same in the body of a response whose length is known.
BOOST_FIXTURE_TEST_CASE(AResponseThatEndsWithinItsBodyIsNoAnswer, Fixture) {
  const std::string Start = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  const std::string Chunked =
      Start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::string WithLength = Start + "Content-Length: 4\r\n\r\nbody";
  std::size_t Sent = 0;
  for (const std::string &Whole : {Chunked, WithLength})
    for (std::size_t Length = Whole.find("\r\n\r\n") + 4; Length < Whole.size();
         ++Length) {
      OnRequest = [&](int, Net::ByteStream &Peer) {
        Peer.write(Whole.substr(0, Length));
        Peer.closeGracefully();
      };
      send("1");
      BOOST_TEST(!result(++Sent).Answered,
                 "answered after " << Whole.substr(0, Length));
    }
}

BOOST_FIXTURE_TEST_CASE(AcceptsAResponseWithoutLengthOnlyAfterAnOrderlyClose,
                        Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    Peer.write("HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(Number) +
               "\r\nConnection: close\r\n\r\nall of it");
    if (Number == 1)
      Peer.closeGracefully();
    // The second connection stays open until the request times out.
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "all of it");
  send("2", Millis(200));
  BOOST_TEST(!result(2).Answered);
}

BOOST_FIXTURE_TEST_CASE(NeverResendsARequest, Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    if (Number == 1)
      Peer.write(response("1", "body"));
    else
      Peer.closeNow("test");
  };
  send("1");
  result(1);
  send("2");
  BOOST_TEST(!result(2).Answered);
  BOOST_TEST(result(2).MayHaveRun);
  BOOST_TEST(Requests == 2);
}

BOOST_FIXTURE_TEST_CASE(StopsReusingAConnectionBeforeItsAnnouncedIdleTimeout,
                        Fixture) {
  OnRequest = [](int Number, Net::ByteStream &Peer) {
    Peer.write(
        response(std::to_string(Number), "", "Keep-Alive: timeout=1\r\n"));
  };
  send("1");
  result(1);
  std::this_thread::sleep_for(Millis(700));
  send("2");
  BOOST_TEST(result(2).Answered);
  BOOST_TEST(connectionsOpened() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ClosesTheConnectionOfACancelledRequest, Fixture) {
  OnRequest = [](int, Net::ByteStream &) {};
  const Http::TransferId Transfer = send("1");
  BOOST_TEST(waitFor([this] { return Requests == 1; }));
  Worker.runAndWait([&] { Client->cancel(Transfer); });
  BOOST_TEST(waitFor([this] { return Closed == 1; }));
  BOOST_TEST(Results.empty());
}

BOOST_FIXTURE_TEST_CASE(ARefusedConnectionReportsThatNothingRan, Fixture) {
  Worker.runAndWait([this] { Listener.reset(); });
  send("1");
  BOOST_TEST(!result(1).Answered);
  BOOST_TEST(!result(1).MayHaveRun);
}

BOOST_FIXTURE_TEST_CASE(NamesATruncatedResponseAsSuch, Fixture) {
  OnRequest = [](int, Net::ByteStream &Peer) {
    Peer.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nab");
    Peer.closeGracefully();
  };
  send("1");
  BOOST_TEST(!result(1).Answered);
  BOOST_TEST(result(1).MayHaveRun);
  BOOST_TEST(result(1).Failure.find("malformed response") != std::string::npos);
}

// A server repeats an earlier refusal on a connection that carries the next
// request by now. That request may be running, so it must not count as not run.
BOOST_FIXTURE_TEST_CASE(RepeatedRefusalDoesNotAnswerTheNextRequest, Fixture) {
  const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\n"
                              "X-Refused: 1\r\nContent-Length: 0\r\n\r\n";
  OnRequest = [&](int Number, Net::ByteStream &Peer) {
    Peer.write(Refusal);
    if (Number == 2)
      Peer.closeGracefully();
  };
  send("1");
  BOOST_TEST(result(1).Reply.Status == 503);
  send("2");
  BOOST_TEST(!result(2).Answered);
  BOOST_TEST(result(2).MayHaveRun);
}

// The same, but the repeated refusal carries no request identifier.
BOOST_FIXTURE_TEST_CASE(RefusalWithoutIdDoesNotAnswerTheNextRequest, Fixture) {
  OnRequest = [&](int Number, Net::ByteStream &Peer) {
    Peer.write("HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\n"
               "Content-Length: 0\r\n\r\n");
    Peer.write(response(std::to_string(Number), "own"));
  };
  send("1");
  BOOST_TEST(result(1).Reply.Body == "own");
  send("2");
  BOOST_TEST(result(2).Reply.Body == "own");
  BOOST_TEST(connectionsOpened() == 2U);
}

// Due timers run between two socket events, so a task that is late may find
// that a request has timed out although its response has arrived in time.
BOOST_FIXTURE_TEST_CASE(ResponseThatWaitsInTheKernelIsNotTimedOut, Fixture) {
  Kernel::Task Other("other");
  std::unique_ptr<Net::Listener> OtherListener;
  std::unique_ptr<Net::ByteStream> Peer;
  bool Asked = false;
  Other.spawn();
  Other.runAndWait([&] {
    OtherListener = std::make_unique<Net::Listener>(
        Other, "127.0.0.1", 0, [&](const Net::Listener::Adopter &Adopt) {
          Net::ByteStream::Events Handlers;
          Handlers.OnBytes = [&](std::string_view) { Asked = true; };
          Handlers.OnClosed = [](Net::StreamEnd, const std::string &) {};
          Peer = Adopt(std::move(Handlers));
        });
  });
  Worker.runAndWait([&] {
    Client->useServer("127.0.0.1:" + std::to_string(OtherListener->port()));
  });
  Kernel::Timers Clock(Worker);
  const auto Begin = std::chrono::steady_clock::now();
  send("1", Millis(800));
  for (bool IsAsked = false; !IsAsked;) {
    Other.runAndWait([&] { IsAsked = Asked; });
    std::this_thread::sleep_for(Millis(1));
  }
  // Ready before the response is.
  Worker.runAndWait([&] { Clock.after(Millis(200), [] {}); });
  Worker.post([&] { std::this_thread::sleep_until(Begin + Millis(1000)); });
  std::this_thread::sleep_until(Begin + Millis(500));
  Other.runAndWait([&] { Peer->write(response("1", "in time")); });
  BOOST_TEST(result(1).Answered);
  BOOST_TEST(result(1).Reply.Body == "in time");
  Worker.runAndWait([&] { Client.reset(); });
  Other.runAndWait([&] {
    Peer.reset();
    OtherListener.reset();
  });
}

BOOST_AUTO_TEST_SUITE_END()
