#include <future>

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/UniqueFd.h"
#include "Http/Client.h"
#include "Http/Server.h"

BOOST_AUTO_TEST_SUITE(ClientAndServer)

namespace {

// A server and a client that run on one task.
struct Loopback {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::Server> Server;
  std::unique_ptr<Http::Client> Client;
  std::function<void(Http::ExchangeId, Http::Request)> OnRequest;

  Loopback() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Client = std::make_unique<Http::Client>(Worker);
      Server = Http::ServerBuilder(Worker)
                   .bodyLimit(1000)
                   .onRequest([this](auto Id, auto Request) {
                     OnRequest(Id, std::move(Request));
                   })
                   .build();
    });
  }
  ~Loopback() {
    Worker.runAndWait([this] {
      Client.reset();
      Server.reset();
    });
  }

  std::future<Http::ClientResult> send(Http::ClientRequest Request) {
    auto Promise = std::make_shared<std::promise<Http::ClientResult>>();
    Request.Url =
        "http://127.0.0.1:" + std::to_string(Server->port()) + Request.Url;
    Worker.post([this, Request, Promise] {
      Client->send(Request, [Promise](Http::ClientResult Result) {
        Promise->set_value(std::move(Result));
      });
    });
    return Promise->get_future();
  }
};

Http::ClientRequest request(const std::string &Method, const std::string &Url,
                            const std::string &Body = "") {
  Http::ClientRequest Request;
  Request.Method = Method;
  Request.Url = Url;
  Request.Body = Body;
  return Request;
}

} // namespace

BOOST_AUTO_TEST_CASE(PassesMethodTargetFieldsAndBody) {
  Loopback Pair;
  Pair.OnRequest = [&](Http::ExchangeId Id, const Http::Request &Request) {
    Pair.Server->respond(Id, {201,
                              {{"x-seen", Request.Fields.at("x-sent")}},
                              Request.Method + Request.Target + Request.Body});
  };
  auto Request = request("POST", "/a/b?c=d", "body");
  Request.Fields["X-Sent"] = "value";
  const Http::ClientResult Result = Pair.send(Request).get();
  BOOST_TEST(Result.Answered);
  BOOST_TEST(Result.Reply.Status == 201);
  BOOST_TEST(Result.Reply.Fields.at("x-seen") == "value");
  BOOST_TEST(Result.Reply.Body == "POST/a/b?c=dbody");
}

BOOST_AUTO_TEST_CASE(RespondsLateAndOutOfOrder) {
  Loopback Pair;
  std::vector<std::pair<Http::ExchangeId, std::string>> OpenExchanges;
  Pair.OnRequest = [&](Http::ExchangeId Id, const Http::Request &Request) {
    OpenExchanges.emplace_back(Id, Request.Target);
    if (OpenExchanges.size() < 3)
      return;
    for (auto Exchange = OpenExchanges.rbegin();
         Exchange != OpenExchanges.rend(); ++Exchange)
      Pair.Server->respond(Exchange->first, {200, {}, Exchange->second});
  };
  auto First = Pair.send(request("GET", "/1"));
  auto Second = Pair.send(request("GET", "/2"));
  auto Third = Pair.send(request("GET", "/3"));
  BOOST_TEST(First.get().Reply.Body == "/1");
  BOOST_TEST(Second.get().Reply.Body == "/2");
  BOOST_TEST(Third.get().Reply.Body == "/3");
}

BOOST_AUTO_TEST_CASE(IsDestroyedWithAnUnreadRequest) {
  Loopback Pair;
  std::vector<Http::ExchangeId> Received;
  Pair.OnRequest = [&](Http::ExchangeId Id, const auto &) {
    Received.push_back(Id);
    if (Received.size() == 1)
      Pair.Server->respond(Id, {200, {}, "first"});
  };
  const Common::UniqueFd Caller(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Pair.Server->port()));
  BOOST_REQUIRE(::connect(Caller.value(),
                          reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) == 0);
  const std::string Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  char Buffer[512];
  BOOST_REQUIRE(::send(Caller.value(), Text.data(), Text.size(), 0) > 0);
  BOOST_REQUIRE(::recv(Caller.value(), Buffer, sizeof Buffer, 0) > 0);
  // The second request is still in the socket buffer when the server is
  // destroyed.
  Pair.Worker.runAndWait([&] {
    BOOST_REQUIRE(::send(Caller.value(), Text.data(), Text.size(), 0) > 0);
    Pair.Server.reset();
  });
  BOOST_TEST(Received.size() == 1);
}

BOOST_AUTO_TEST_CASE(RejectsABodyOverTheLimit) {
  Loopback Pair;
  bool Reached = false;
  Pair.OnRequest = [&](auto, const auto &) { Reached = true; };
  const auto Result =
      Pair.send(request("POST", "/", std::string(5000, 'x'))).get();
  BOOST_TEST(Result.Reply.Status == 413);
  BOOST_TEST(Result.Reply.Fields.at("x-zinnia-result") == "109");
  BOOST_TEST(!Reached);
}

BOOST_AUTO_TEST_CASE(TimesOutWithoutAResponse) {
  Loopback Pair;
  Pair.OnRequest = [](auto, const auto &) {};
  auto Request = request("GET", "/");
  Request.Timeout = Common::Millis(50);
  const auto Result = Pair.send(Request).get();
  BOOST_TEST(!Result.Answered);
  BOOST_TEST(Result.MayHaveRun);
}

// A transfer may be cancelled while it is still connecting. The next socket may
// then reuse its descriptor number.
BOOST_AUTO_TEST_CASE(CancelsWhileConnecting) {
  Loopback Pair;
  Pair.OnRequest = [&](Http::ExchangeId Id, const auto &) {
    Pair.Server->respond(Id, {200, {}, "x"});
  };
  for (int Round = 0; Round < 20; ++Round) {
    std::promise<void> Cancelled;
    Pair.Worker.runAndWait([&] {
      auto Request = request("GET", "/");
      Request.Url = "http://127.0.0.1:" + std::to_string(Pair.Server->port()) +
                    Request.Url;
      Request.NeverResend = true;
      const auto Id = Pair.Client->send(Request, [](const auto &) {});
      // libcurl starts to connect in a job that was posted before this one.
      Pair.Worker.post([&, Id] {
        Pair.Client->cancel(Id);
        Cancelled.set_value();
      });
    });
    Cancelled.get_future().wait();
    BOOST_TEST(Pair.send(request("GET", "/")).get().Reply.Body == "x");
  }
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionReportsThatNothingWasSent) {
  Loopback Pair;
  auto Request = request("GET", "/");
  std::promise<Http::ClientResult> Promise;
  Pair.Worker.runAndWait([&] {
    Request.Url = "http://127.0.0.1:1/";
    Pair.Client->send(Request,
                      [&](const auto &Result) { Promise.set_value(Result); });
  });
  const auto Result = Promise.get_future().get();
  BOOST_TEST(!Result.Answered);
  BOOST_TEST(!Result.MayHaveRun);
}

// libmicrohttpd aborts the process if a server is destroyed while a request is
// suspended, so a request that is read during destruction must not be handled.
BOOST_AUTO_TEST_CASE(DoesNotHandleARequestReadDuringDestruction) {
  Loopback Pair;
  std::vector<Http::ExchangeId> OpenExchanges;
  Pair.OnRequest = [&](Http::ExchangeId Id, const auto &) {
    OpenExchanges.push_back(Id);
    if (OpenExchanges.size() == 1)
      Pair.Server->respond(Id, {200, {}, ""});
  };
  const Common::UniqueFd Caller(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Pair.Server->port()));
  BOOST_REQUIRE(::connect(Caller.value(),
                          reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) == 0);
  const std::string Request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
  const auto Send = [&] {
    return ::write(Caller.value(), Request.data(), Request.size()) > 0;
  };
  BOOST_REQUIRE(Send());
  char Byte = 0;
  BOOST_REQUIRE(::read(Caller.value(), &Byte, 1) == 1);
  // The task is busy here, so it can't read the second request before the
  // server is destroyed.
  Pair.Worker.runAndWait([&] {
    BOOST_REQUIRE(Send());
    Pair.Server.reset();
  });
  BOOST_TEST(OpenExchanges.size() == 1);
}

namespace {

// Responds to the first request of each connection. On the second request it
// closes the connection without a response, although it has read the request.
class ClosingServer {
public:
  ClosingServer() : ListeningSocket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    (void)::bind(ListeningSocket.value(),
                 reinterpret_cast<sockaddr *>(&Address), Size);
    ::listen(ListeningSocket.value(), 8);
    ::getsockname(ListeningSocket.value(),
                  reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    AcceptThread = std::thread([this] { serve(); });
  }
  ~ClosingServer() {
    ::shutdown(ListeningSocket.value(), SHUT_RDWR);
    AcceptThread.join();
  }

  int Port = 0;
  std::atomic<int> Requests = 0;

private:
  void serve() {
    for (;;) {
      Common::UniqueFd Peer(
          ::accept(ListeningSocket.value(), nullptr, nullptr));
      if (!Peer.isOpen())
        return;
      Connections.emplace_back(
          [this, Accepted = std::move(Peer)] { serveConnection(Accepted); });
    }
  }
  void serveConnection(const Common::UniqueFd &Peer) {
    if (!readRequest(Peer))
      return;
    const std::string Response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    if (::write(Peer.value(), Response.data(), Response.size()) > 0)
      readRequest(Peer);
    ::shutdown(Peer.value(), SHUT_RDWR);
  }
  bool readRequest(const Common::UniqueFd &Peer) {
    std::string Header;
    char Byte = 0;
    while (Header.find("\r\n\r\n") == std::string::npos) {
      if (::read(Peer.value(), &Byte, 1) != 1)
        return false;
      Header += Byte;
    }
    ++Requests;
    return true;
  }

  Common::UniqueFd ListeningSocket;
  std::thread AcceptThread;
  std::vector<std::jthread> Connections;
};

} // namespace

// libcurl resends a request by itself when a reused connection closes without a
// response, although the server may have run the request.
BOOST_AUTO_TEST_CASE(NeverResendsWhenForbidden) {
  for (const bool NeverResend : {false, true}) {
    ClosingServer Server;
    Loopback Pair;
    const auto Send = [&] {
      Http::ClientRequest Request;
      Request.Method = "POST";
      Request.Url = "http://127.0.0.1:" + std::to_string(Server.Port) + "/";
      Request.NeverResend = NeverResend;
      auto Promise = std::make_shared<std::promise<Http::ClientResult>>();
      Pair.Worker.post([&Pair, Request, Promise] {
        Pair.Client->send(Request, [Promise](const auto &Result) {
          Promise->set_value(Result);
        });
      });
      return Promise->get_future().get();
    };
    BOOST_TEST(Send().Answered);
    BOOST_TEST(Send().Answered);
    // The two calls result in two requests, or in three if libcurl may resend
    // the second one.
    BOOST_TEST(Server.Requests == (NeverResend ? 2 : 3));
  }
}

BOOST_AUTO_TEST_CASE(AConnectTimeoutLeavesNoSocketWatchBehind) {
  // A listener drops further connections silently when its backlog is full.
  const Common::UniqueFd FullListener(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto *RawAddress = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Size = sizeof(Address);
  BOOST_REQUIRE(::bind(FullListener.value(), RawAddress, Size) == 0);
  BOOST_REQUIRE(::listen(FullListener.value(), 0) == 0);
  BOOST_REQUIRE(::getsockname(FullListener.value(), RawAddress, &Size) == 0);
  std::vector<Common::UniqueFd> PendingConnects;
  for (int Index = 0; Index < 3; ++Index) {
    PendingConnects.emplace_back(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    (void)::connect(PendingConnects.back().value(), RawAddress, Size);
  }
  Loopback Pair;
  Pair.OnRequest = [&](Http::ExchangeId Id, const Http::Request &) {
    Pair.Server->respond(Id, {200, {}, ""});
  };
  for (int Round = 0; Round < 3; ++Round) {
    std::promise<Http::ClientResult> Outcome;
    Pair.Worker.post([&] {
      Http::ClientRequest Request;
      Request.Url =
          "http://127.0.0.1:" + std::to_string(ntohs(Address.sin_port)) + "/";
      Request.Timeout = Common::Millis(50);
      Pair.Client->send(Request, [&](Http::ClientResult Result) {
        Outcome.set_value(std::move(Result));
      });
    });
    const Http::ClientResult TimedOut = Outcome.get_future().get();
    BOOST_TEST(!TimedOut.Answered);
    BOOST_TEST(!TimedOut.MayHaveRun);
    // The next socket reuses the descriptor number of the one that timed out.
    auto Next = request("GET", "/");
    Next.NeverResend = true;
    BOOST_TEST(Pair.send(Next).get().Answered);
  }
}

BOOST_AUTO_TEST_SUITE_END()
