#include "Http/EdgeServer.h"

#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

#include "Http/BeastConversions.h"
#include "Http/BoundedBody.h"
#include "Net/Listener.h"

namespace Http {

namespace {

namespace beast = boost::beast;
using Common::SteadyTime;
using Parser = beast::http::request_parser<BoundedBody>;

constexpr Common::Millis SweepInterval{250};
// How long a finished connection may take to be closed by its caller.
constexpr Common::Millis LingerLimit{2'000};
// Bytes of later requests that are kept while one is open.
constexpr std::size_t MaxPipelinedBytes = 64 << 10;

constexpr int FieldsTooLarge = 431;

enum class Phase { Idle, Reading, Answering, Closing };

struct Connection {
  std::unique_ptr<Net::ByteStream> Stream;
  Phase State = Phase::Idle;
  std::string Incoming;
  std::unique_ptr<Parser> Request;
  ExchangeId Exchange = 0;
  // When the present phase began.
  SteadyTime Since;
  bool KeepAlive = true;
  bool AnswerWithoutBody = false;
  bool ContinueSent = false;
};

int statusOfFault(const beast::error_code &Fault) {
  constexpr int BadRequest = 400;
  constexpr int TooLarge = 413;
  if (Fault == beast::http::error::body_limit)
    return TooLarge;
  if (Fault == beast::http::error::header_limit)
    return FieldsTooLarge;
  return BadRequest;
}

bool mayHaveBody(int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status != NoContent && Status != NotModified;
}

std::string encode(const Response &Reply, bool KeepAlive, bool WithBody) {
  std::string Out = "HTTP/1.1 " + std::to_string(Reply.Status) + " ";
  Out.append(toView(beast::http::obsolete_reason(
      static_cast<beast::http::status>(Reply.Status))));
  Out.append("\r\n");
  for (const auto &[Name, Value] : Reply.Fields)
    if (Name != "content-length" && Name != "connection")
      appendField(Out, Name, Value);
  if (mayHaveBody(Reply.Status))
    appendField(Out, "content-length", std::to_string(Reply.Body.size()));
  if (!KeepAlive)
    appendField(Out, "connection", "close");
  Out.append("\r\n");
  if (WithBody && mayHaveBody(Reply.Status))
    Out.append(Reply.Body);
  return Out;
}

} // namespace

struct EdgeServer::Impl {
  using ConnectionId = std::uint64_t;

  explicit Impl(const EdgeServerBuilder &From)
      : Home(From.Home), Clock(From.Home), Limits(From.Limits),
        OnRequest(From.OnRequest), OnCallerGone(From.OnCallerGone) {}

  static SteadyTime now() { return std::chrono::steady_clock::now(); }

  void accept(const Net::Listener::Adopter &Adopt);
  void takeBytes(ConnectionId Id, std::string_view Bytes);
  void parse(ConnectionId Id, Connection &From);
  void deliver(ConnectionId Id, Connection &From);
  void refuse(Connection &From, int Status);
  void close(Connection &From);
  void lose(ConnectionId Id);
  void sweep();
  void enter(Connection &From, Phase Next) {
    From.State = Next;
    From.Since = now();
  }

  Kernel::Task &Home;
  Kernel::Timers Clock;
  EdgeLimits Limits;
  std::function<void(ExchangeId, Request)> OnRequest;
  std::function<void(ExchangeId)> OnCallerGone;
  std::unique_ptr<Net::Listener> Socket;
  int Port = 0;
  bool Retiring = false;
  std::unordered_map<ConnectionId, Connection> Connections;
  std::unordered_map<ExchangeId, ConnectionId> Exchanges;
  ConnectionId NextConnection = 1;
  ExchangeId NextExchange = 1;
};

void EdgeServer::Impl::accept(const Net::Listener::Adopter &Adopt) {
  const ConnectionId Id = NextConnection++;
  Net::ByteStream::Events Wired;
  Wired.OnBytes = [this, Id](std::string_view Bytes) { takeBytes(Id, Bytes); };
  Wired.OnClosed = [this, Id](Net::StreamEnd, const std::string &) {
    lose(Id);
  };
  Connection &Opened = Connections[Id];
  Opened.Stream = Adopt(std::move(Wired));
  enter(Opened, Phase::Idle);
}

void EdgeServer::Impl::takeBytes(ConnectionId Id, std::string_view Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end() || Found->second.State == Phase::Closing)
    return;
  Connection &From = Found->second;
  From.Incoming.append(Bytes);
  if (From.State != Phase::Answering)
    parse(Id, From);
  else if (From.Incoming.size() > MaxPipelinedBytes)
    From.Stream->setReading(false);
}

void EdgeServer::Impl::parse(ConnectionId Id, Connection &From) {
  if (From.Incoming.empty())
    return;
  if (!From.Request) {
    From.Request = std::make_unique<Parser>();
    From.Request->eager(true);
    From.Request->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
    From.Request->body_limit(Limits.BodyBytes);
    From.Request->get().body().Limit = Limits.BodyBytes;
    From.ContinueSent = false;
    enter(From, Phase::Reading);
  }
  beast::error_code Fault;
  std::size_t Used = 0;
  while (Used < From.Incoming.size() && !From.Request->is_done()) {
    const std::size_t Taken =
        From.Request->put(boost::asio::buffer(From.Incoming.data() + Used,
                                              From.Incoming.size() - Used),
                          Fault);
    Used += Taken;
    if (Fault || Taken == 0)
      break;
  }
  From.Incoming.erase(0, Used);
  if (Fault && Fault != beast::http::error::need_more) {
    refuse(From, statusOfFault(Fault));
    return;
  }
  if (From.Request->is_done()) {
    deliver(Id, From);
    return;
  }
  // The parser bounds the head, but no line of a chunk or a trailer.
  if (From.Incoming.size() > Limits.HeaderBytes) {
    refuse(From, FieldsTooLarge);
    return;
  }
  if (!From.Request->is_header_done() || From.ContinueSent)
    return;
  if (toLower(toView(From.Request->get()[beast::http::field::expect])) ==
      "100-continue") {
    From.ContinueSent = true;
    From.Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void EdgeServer::Impl::deliver(ConnectionId Id, Connection &From) {
  auto Message = From.Request->release();
  From.Request.reset();
  Request Asked;
  Asked.Method = std::string(toView(Message.method_string()));
  Asked.Target = std::string(toView(Message.target()));
  Asked.Path = Asked.Target.substr(0, Asked.Target.find('?'));
  Asked.Fields = toHeaders(Message);
  Asked.Body = std::move(Message.body().Text);
  Asked.Caller = From.Stream->peerAddress();
  From.KeepAlive = Message.keep_alive();
  From.AnswerWithoutBody = Message.method() == beast::http::verb::head;
  From.Exchange = NextExchange++;
  Exchanges.emplace(From.Exchange, Id);
  enter(From, Phase::Answering);
  OnRequest(From.Exchange, std::move(Asked));
}

void EdgeServer::Impl::refuse(Connection &From, int Status) {
  Response Reply;
  Reply.Status = Status;
  From.Stream->write(encode(Reply, false, false));
  close(From);
}

void EdgeServer::Impl::close(Connection &From) {
  enter(From, Phase::Closing);
  From.Stream->finish();
}

void EdgeServer::Impl::lose(ConnectionId Id) {
  const auto Node = Connections.extract(Id);
  if (Node.empty() || Node.mapped().State != Phase::Answering)
    return;
  const ExchangeId Exchange = Node.mapped().Exchange;
  if (Exchanges.erase(Exchange) > 0)
    OnCallerGone(Exchange);
}

// One timer for all connections: each has a limit for its phase.
void EdgeServer::Impl::sweep() {
  Clock.after(SweepInterval, [this] { sweep(); });
  constexpr int RequestTimeout = 408;
  const SteadyTime Now = now();
  std::vector<ConnectionId> Ended;
  for (auto &[Id, Each] : Connections) {
    const Common::Duration Age = Now - Each.Since;
    if (Each.State == Phase::Idle && Age > Limits.IdleTime)
      close(Each);
    else if (Each.State == Phase::Reading && Age > Limits.HeaderTime &&
             !Each.Request->is_header_done())
      refuse(Each, RequestTimeout);
    else if (Each.State == Phase::Closing && Age > LingerLimit)
      Ended.push_back(Id);
  }
  for (const ConnectionId Id : Ended)
    Connections.erase(Id);
}

EdgeServer::EdgeServer(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
EdgeServer::~EdgeServer() = default;

int EdgeServer::port() const { return Self->Port; }

std::size_t EdgeServer::openExchanges() const { return Self->Exchanges.size(); }

void EdgeServer::answer(ExchangeId Exchange, const Response &Reply) {
  const auto Known = Self->Exchanges.extract(Exchange);
  if (Known.empty())
    return;
  const Impl::ConnectionId Id = Known.mapped();
  Connection &To = Self->Connections.at(Id);
  const bool KeepAlive = To.KeepAlive && !Self->Retiring;
  To.Stream->write(encode(Reply, KeepAlive, !To.AnswerWithoutBody));
  if (!KeepAlive) {
    Self->close(To);
    return;
  }
  Self->enter(To, Phase::Idle);
  To.Stream->setReading(true);
  if (To.Incoming.empty())
    return;
  // What the caller sent ahead is taken from the loop, not from inside an
  // answer.
  Self->Clock.after(Common::Duration::zero(), [State = Self.get(), Id] {
    const auto Found = State->Connections.find(Id);
    if (Found != State->Connections.end() && Found->second.State == Phase::Idle)
      State->parse(Id, Found->second);
  });
}

void EdgeServer::useLimits(const EdgeLimits &Limits) { Self->Limits = Limits; }

void EdgeServer::retireConnections() { Self->Retiring = true; }

void EdgeServer::stopListening() {
  Self->Socket.reset();
  for (auto &[Id, Each] : Self->Connections)
    if (Each.State == Phase::Idle)
      Self->close(Each);
}

EdgeServerBuilder &EdgeServerBuilder::address(std::string Value) {
  Address = std::move(Value);
  return *this;
}

EdgeServerBuilder &EdgeServerBuilder::port(int Value) {
  Port = Value;
  return *this;
}

EdgeServerBuilder &EdgeServerBuilder::limits(const EdgeLimits &Value) {
  Limits = Value;
  return *this;
}

EdgeServerBuilder &
EdgeServerBuilder::onRequest(std::function<void(ExchangeId, Request)> Value) {
  OnRequest = std::move(Value);
  return *this;
}

EdgeServerBuilder &
EdgeServerBuilder::onCallerGone(std::function<void(ExchangeId)> Value) {
  OnCallerGone = std::move(Value);
  return *this;
}

std::unique_ptr<EdgeServer> EdgeServerBuilder::build() {
  auto State = std::make_unique<EdgeServer::Impl>(*this);
  EdgeServer::Impl *Running = State.get();
  State->Socket = std::make_unique<Net::Listener>(
      Home, Address, Port, [Running](const Net::Listener::Adopter &Adopt) {
        Running->accept(Adopt);
      });
  State->Port = State->Socket->port();
  Running->sweep();
  return std::unique_ptr<EdgeServer>(new EdgeServer(std::move(State)));
}

} // namespace Http
