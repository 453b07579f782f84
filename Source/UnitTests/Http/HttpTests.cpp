#include <future>

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/UniqueFd.h"
#include "Http/Client.h"
#include "Http/Server.h"

BOOST_AUTO_TEST_SUITE(HttpOnATask)

namespace {

// A server and a client on one task.
struct Loopback {
  Kernel::Task Worker{"t"};
  std::unique_ptr<Http::Server> Listener;
  std::unique_ptr<Http::Client> Transport;
  std::function<void(Http::ExchangeId, Http::Request)> OnRequest;

  Loopback() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Transport = std::make_unique<Http::Client>(Worker);
      Listener = Http::ServerBuilder(Worker)
                     .bodyLimit(1000)
                     .onRequest([this](auto Id, auto Asked) {
                       OnRequest(Id, std::move(Asked));
                     })
                     .build();
    });
  }
  ~Loopback() {
    Worker.runAndWait([this] {
      Transport.reset();
      Listener.reset();
    });
  }

  std::future<Http::ClientResult> send(Http::ClientRequest Asked) {
    auto Answer = std::make_shared<std::promise<Http::ClientResult>>();
    Asked.Url =
        "http://127.0.0.1:" + std::to_string(Listener->port()) + Asked.Url;
    Worker.post([this, Asked, Answer] {
      Transport->send(Asked, [Answer](Http::ClientResult Result) {
        Answer->set_value(std::move(Result));
      });
    });
    return Answer->get_future();
  }
};

Http::ClientRequest request(const std::string &Method, const std::string &Url,
                            const std::string &Body = "") {
  Http::ClientRequest Asked;
  Asked.Method = Method;
  Asked.Url = Url;
  Asked.Body = Body;
  return Asked;
}

} // namespace

BOOST_AUTO_TEST_CASE(PassesMethodTargetFieldsAndBody) {
  Loopback Both;
  Both.OnRequest = [&](Http::ExchangeId Id, const Http::Request &Asked) {
    Both.Listener->answer(Id, {201,
                               {{"x-seen", Asked.Fields.at("x-sent")}},
                               Asked.Method + Asked.Target + Asked.Body});
  };
  auto Asked = request("POST", "/a/b?c=d", "body");
  Asked.Fields["X-Sent"] = "value";
  const Http::ClientResult Got = Both.send(Asked).get();
  BOOST_TEST(Got.Answered);
  BOOST_TEST(Got.Reply.Status == 201);
  BOOST_TEST(Got.Reply.Fields.at("x-seen") == "value");
  BOOST_TEST(Got.Reply.Body == "POST/a/b?c=dbody");
}

BOOST_AUTO_TEST_CASE(AnswersLateAndOutOfOrder) {
  Loopback Both;
  std::vector<std::pair<Http::ExchangeId, std::string>> Held;
  Both.OnRequest = [&](Http::ExchangeId Id, const Http::Request &Asked) {
    Held.emplace_back(Id, Asked.Target);
    if (Held.size() < 3)
      return;
    for (auto Each = Held.rbegin(); Each != Held.rend(); ++Each)
      Both.Listener->answer(Each->first, {200, {}, Each->second});
  };
  auto First = Both.send(request("GET", "/1"));
  auto Second = Both.send(request("GET", "/2"));
  auto Third = Both.send(request("GET", "/3"));
  BOOST_TEST(First.get().Reply.Body == "/1");
  BOOST_TEST(Second.get().Reply.Body == "/2");
  BOOST_TEST(Third.get().Reply.Body == "/3");
}

BOOST_AUTO_TEST_CASE(StopsWhileARequestArrives) {
  Loopback Around;
  std::vector<Http::ExchangeId> Asked;
  Around.OnRequest = [&](Http::ExchangeId Id, const auto &) {
    Asked.push_back(Id);
    if (Asked.size() == 1)
      Around.Listener->answer(Id, {200, {}, "first"});
  };
  const Common::UniqueFd Caller(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Where.sin_port = htons(static_cast<std::uint16_t>(Around.Listener->port()));
  BOOST_REQUIRE(::connect(Caller.value(), reinterpret_cast<sockaddr *>(&Where),
                          sizeof Where) == 0);
  const std::string Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  char Answer[512];
  BOOST_REQUIRE(::send(Caller.value(), Text.data(), Text.size(), 0) > 0);
  BOOST_REQUIRE(::recv(Caller.value(), Answer, sizeof Answer, 0) > 0);
  // The second request waits in the socket when the server ends.
  Around.Worker.runAndWait([&] {
    BOOST_REQUIRE(::send(Caller.value(), Text.data(), Text.size(), 0) > 0);
    Around.Listener.reset();
  });
  BOOST_TEST(Asked.size() == 1);
}

BOOST_AUTO_TEST_CASE(RefusesABodyOverTheLimit) {
  Loopback Both;
  bool Reached = false;
  Both.OnRequest = [&](auto, const auto &) { Reached = true; };
  const auto Got =
      Both.send(request("POST", "/", std::string(5000, 'x'))).get();
  BOOST_TEST(Got.Reply.Status == 413);
  BOOST_TEST(Got.Reply.Fields.at("x-zinnia-result") == "109");
  BOOST_TEST(!Reached);
}

BOOST_AUTO_TEST_CASE(GivesUpAtTheLimit) {
  Loopback Both;
  Both.OnRequest = [](auto, const auto &) {};
  auto Asked = request("GET", "/");
  Asked.Limit = Common::Millis(50);
  const auto Got = Both.send(Asked).get();
  BOOST_TEST(!Got.Answered);
  BOOST_TEST(Got.MayHaveRun);
}

// A cancelled transfer may still be connecting, and the next socket may get the
// number of its socket.
BOOST_AUTO_TEST_CASE(CancelsWhileConnecting) {
  Loopback Both;
  Both.OnRequest = [&](Http::ExchangeId Id, const auto &) {
    Both.Listener->answer(Id, {200, {}, "x"});
  };
  for (int Round = 0; Round < 20; ++Round) {
    std::promise<void> Cancelled;
    Both.Worker.runAndWait([&] {
      auto Asked = request("GET", "/");
      Asked.Url = "http://127.0.0.1:" + std::to_string(Both.Listener->port()) +
                  Asked.Url;
      Asked.NeverResend = true;
      const auto Id = Both.Transport->send(Asked, [](const auto &) {});
      // The library starts to connect in a job of its own, posted before.
      Both.Worker.post([&, Id] {
        Both.Transport->cancel(Id);
        Cancelled.set_value();
      });
    });
    Cancelled.get_future().wait();
    BOOST_TEST(Both.send(request("GET", "/")).get().Reply.Body == "x");
  }
}

BOOST_AUTO_TEST_CASE(TellsThatNothingWasSent) {
  Loopback Both;
  auto Asked = request("GET", "/");
  std::promise<Http::ClientResult> Answer;
  Both.Worker.runAndWait([&] {
    Asked.Url = "http://127.0.0.1:1/";
    Both.Transport->send(Asked,
                         [&](const auto &Result) { Answer.set_value(Result); });
  });
  const auto Got = Answer.get_future().get();
  BOOST_TEST(!Got.Answered);
  BOOST_TEST(!Got.MayHaveRun);
}

// The library aborts the process when a server ends with a suspended request. A
// request that is read while the server ends must not be taken any more.
BOOST_AUTO_TEST_CASE(EndsWhileARequestArrives) {
  Loopback Both;
  std::vector<Http::ExchangeId> Held;
  Both.OnRequest = [&](Http::ExchangeId Id, const auto &) {
    Held.push_back(Id);
    if (Held.size() == 1)
      Both.Listener->answer(Id, {200, {}, ""});
  };
  const Common::UniqueFd Caller(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Where = {};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Where.sin_port = htons(static_cast<std::uint16_t>(Both.Listener->port()));
  BOOST_REQUIRE(::connect(Caller.value(), reinterpret_cast<sockaddr *>(&Where),
                          sizeof Where) == 0);
  const std::string Asked = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
  const auto Send = [&] {
    return ::write(Caller.value(), Asked.data(), Asked.size()) > 0;
  };
  BOOST_REQUIRE(Send());
  char Byte = 0;
  BOOST_REQUIRE(::read(Caller.value(), &Byte, 1) == 1);
  // The loop can't see the second request before the server ends.
  Both.Worker.runAndWait([&] {
    BOOST_REQUIRE(Send());
    Both.Listener.reset();
  });
  BOOST_TEST(Held.size() == 1);
}

namespace {

// Answers the first request of each connection and then, on the next request,
// closes without an answer: the request has been taken.
class ClosingServer {
public:
  ClosingServer() : Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Where = {};
    Where.sin_family = AF_INET;
    Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Where;
    (void)::bind(Listener.value(), reinterpret_cast<sockaddr *>(&Where), Size);
    ::listen(Listener.value(), 8);
    ::getsockname(Listener.value(), reinterpret_cast<sockaddr *>(&Where),
                  &Size);
    Port = ntohs(Where.sin_port);
    Server = std::thread([this] { serve(); });
  }
  ~ClosingServer() {
    ::shutdown(Listener.value(), SHUT_RDWR);
    Server.join();
  }

  int Port = 0;
  std::atomic<int> Requests = 0;

private:
  void serve() {
    for (;;) {
      Common::UniqueFd Peer(::accept(Listener.value(), nullptr, nullptr));
      if (!Peer.isOpen())
        return;
      Connections.emplace_back(
          [this, Taken = std::move(Peer)] { serveOne(Taken); });
    }
  }
  void serveOne(const Common::UniqueFd &Peer) {
    if (!takeRequest(Peer))
      return;
    const std::string Answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    if (::write(Peer.value(), Answer.data(), Answer.size()) > 0)
      takeRequest(Peer);
    ::shutdown(Peer.value(), SHUT_RDWR);
  }
  bool takeRequest(const Common::UniqueFd &Peer) {
    std::string Text;
    char Byte = 0;
    while (Text.find("\r\n\r\n") == std::string::npos) {
      if (::read(Peer.value(), &Byte, 1) != 1)
        return false;
      Text += Byte;
    }
    ++Requests;
    return true;
  }

  Common::UniqueFd Listener;
  std::thread Server;
  std::vector<std::jthread> Connections;
};

} // namespace

// The library resends on its own when a kept connection closes without an
// answer, although the server may have run the request.
BOOST_AUTO_TEST_CASE(NeverResendsWhatMustNotRunTwice) {
  for (const bool NeverResend : {false, true}) {
    ClosingServer Server;
    Loopback Both;
    const auto Send = [&] {
      Http::ClientRequest Asked;
      Asked.Method = "POST";
      Asked.Url = "http://127.0.0.1:" + std::to_string(Server.Port) + "/";
      Asked.NeverResend = NeverResend;
      auto Answer = std::make_shared<std::promise<Http::ClientResult>>();
      Both.Worker.post([&Both, Asked, Answer] {
        Both.Transport->send(
            Asked, [Answer](const auto &Got) { Answer->set_value(Got); });
      });
      return Answer->get_future().get();
    };
    BOOST_TEST(Send().Answered);
    BOOST_TEST(Send().Answered);
    // Two calls are two requests, unless the library may resend: then the
    // second call is sent twice.
    BOOST_TEST(Server.Requests == (NeverResend ? 2 : 3));
  }
}

BOOST_AUTO_TEST_CASE(AConnectThatTimesOutLeavesNothingBehind) {
  // A listener whose backlog is full drops further connections silently.
  const Common::UniqueFd Deaf(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto *Raw = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Size = sizeof(Address);
  BOOST_REQUIRE(::bind(Deaf.value(), Raw, Size) == 0);
  BOOST_REQUIRE(::listen(Deaf.value(), 0) == 0);
  BOOST_REQUIRE(::getsockname(Deaf.value(), Raw, &Size) == 0);
  std::vector<Common::UniqueFd> Fill;
  for (int Each = 0; Each < 3; ++Each) {
    Fill.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    (void)::connect(Fill.back().value(), Raw, Size);
  }
  Loopback Both;
  Both.OnRequest = [&](Http::ExchangeId Id, const Http::Request &) {
    Both.Listener->answer(Id, {200, {}, ""});
  };
  for (int Round = 0; Round < 3; ++Round) {
    std::promise<Http::ClientResult> Late;
    Both.Worker.post([&] {
      Http::ClientRequest Asked;
      Asked.Url =
          "http://127.0.0.1:" + std::to_string(ntohs(Address.sin_port)) + "/";
      Asked.Limit = Common::Millis(50);
      Both.Transport->send(Asked, [&](Http::ClientResult Result) {
        Late.set_value(std::move(Result));
      });
    });
    const Http::ClientResult Missed = Late.get_future().get();
    BOOST_TEST(!Missed.Answered);
    BOOST_TEST(!Missed.MayHaveRun);
    // The next socket has the number of the one that timed out.
    auto Fresh = request("GET", "/");
    Fresh.NeverResend = true;
    BOOST_TEST(Both.send(Fresh).get().Answered);
  }
}

BOOST_AUTO_TEST_SUITE_END()
