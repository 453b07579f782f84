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
// How long a caller may take to close a connection that the server has shut
// down.
constexpr Common::Millis LingerTimeout{2'000};
// Bytes of pipelined requests that are buffered while a request is open. Beyond
// this the server stops reading from the connection.
constexpr std::size_t MaxPipelinedBytes = 64 << 10;

// The least rate at which a caller has to send a body. It is far below that of
// the slowest links, so it ends only requests that would never be complete.
constexpr std::int64_t MinBodyBytesPerSecond = 1 << 10;

constexpr int HeaderFieldsTooLarge = 431;

enum class Phase { Idle, Reading, Responding, Closing };

struct Connection {
  std::unique_ptr<Net::ByteStream> Stream;
  Phase State = Phase::Idle;
  std::string Incoming;
  std::unique_ptr<Parser> RequestParser;
  // Bytes of the request that is being read.
  std::int64_t RequestBytes = 0;
  ExchangeId Exchange = 0;
  // When the current phase began.
  SteadyTime PhaseStart;
  bool KeepAlive = true;
  bool OmitBody = false;
  bool ContinueSent = false;
};

int statusForError(const beast::error_code &Error) {
  constexpr int BadRequest = 400;
  constexpr int ContentTooLarge = 413;
  if (Error == beast::http::error::body_limit)
    return ContentTooLarge;
  if (Error == beast::http::error::header_limit)
    return HeaderFieldsTooLarge;
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

  explicit Impl(const EdgeServerBuilder &Builder)
      : Task(Builder.Task), Clock(Builder.Task), Limits(Builder.Limits),
        OnRequest(Builder.OnRequest),
        OnCallerDisconnected(Builder.OnCallerDisconnected) {}

  static SteadyTime now() { return std::chrono::steady_clock::now(); }

  void accept(const Net::Listener::Adopter &Adopt);
  void handleBytes(ConnectionId Id, std::string_view Bytes);
  void parse(ConnectionId Id, Connection &Peer);
  void dispatch(ConnectionId Id, Connection &Peer);
  void reject(Connection &Peer, int Status);
  void close(Connection &Peer);
  void handleClosed(ConnectionId Id);
  void sweep();
  Common::Duration readTimeout(const Connection &Peer) const;
  void enterPhase(Connection &Peer, Phase Next) {
    Peer.State = Next;
    Peer.PhaseStart = now();
  }

  Kernel::Task &Task;
  Kernel::Timers Clock;
  EdgeLimits Limits;
  std::function<void(ExchangeId, Request)> OnRequest;
  std::function<void(ExchangeId)> OnCallerDisconnected;
  std::unique_ptr<Net::Listener> Listener;
  int Port = 0;
  bool Draining = false;
  std::unordered_map<ConnectionId, Connection> Connections;
  std::unordered_map<ExchangeId, ConnectionId> Exchanges;
  ConnectionId NextConnection = 1;
  ExchangeId NextExchange = 1;
};

void EdgeServer::Impl::accept(const Net::Listener::Adopter &Adopt) {
  const ConnectionId Id = NextConnection++;
  Net::ByteStream::Events Handlers;
  Handlers.OnBytes = [this, Id](std::string_view Bytes) {
    handleBytes(Id, Bytes);
  };
  Handlers.OnClosed = [this, Id](Net::StreamEnd, const std::string &) {
    handleClosed(Id);
  };
  Connection &Opened = Connections[Id];
  Opened.Stream = Adopt(std::move(Handlers));
  enterPhase(Opened, Phase::Idle);
}

void EdgeServer::Impl::handleBytes(ConnectionId Id, std::string_view Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end() || Found->second.State == Phase::Closing)
    return;
  Connection &Peer = Found->second;
  Peer.Incoming.append(Bytes);
  if (Peer.State != Phase::Responding)
    parse(Id, Peer);
  else if (Peer.Incoming.size() > MaxPipelinedBytes)
    Peer.Stream->setReading(false);
}

void EdgeServer::Impl::parse(ConnectionId Id, Connection &Peer) {
  if (Peer.Incoming.empty())
    return;
  if (!Peer.RequestParser) {
    Peer.RequestParser = std::make_unique<Parser>();
    Peer.RequestParser->eager(true);
    Peer.RequestParser->header_limit(
        static_cast<std::uint32_t>(Limits.HeaderBytes));
    Peer.RequestParser->body_limit(Limits.BodyBytes);
    Peer.RequestParser->get().body().Limit = Limits.BodyBytes;
    Peer.ContinueSent = false;
    Peer.RequestBytes = 0;
    enterPhase(Peer, Phase::Reading);
  }
  beast::error_code Error;
  std::size_t Offset = 0;
  while (Offset < Peer.Incoming.size() && !Peer.RequestParser->is_done()) {
    const std::size_t Consumed = Peer.RequestParser->put(
        boost::asio::buffer(Peer.Incoming.data() + Offset,
                            Peer.Incoming.size() - Offset),
        Error);
    Offset += Consumed;
    if (Error || Consumed == 0)
      break;
  }
  Peer.Incoming.erase(0, Offset);
  Peer.RequestBytes += static_cast<std::int64_t>(Offset);
  if (Error && Error != beast::http::error::need_more) {
    reject(Peer, statusForError(Error));
    return;
  }
  if (Peer.RequestParser->is_done()) {
    dispatch(Id, Peer);
    return;
  }
  // The parser limits the header section, but neither chunk headers nor
  // trailers.
  if (Peer.Incoming.size() > Limits.HeaderBytes) {
    reject(Peer, HeaderFieldsTooLarge);
    return;
  }
  if (!Peer.RequestParser->is_header_done() || Peer.ContinueSent)
    return;
  if (toLower(toView(Peer.RequestParser->get()[beast::http::field::expect])) ==
      "100-continue") {
    Peer.ContinueSent = true;
    Peer.Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void EdgeServer::Impl::dispatch(ConnectionId Id, Connection &Peer) {
  auto Message = Peer.RequestParser->release();
  Peer.RequestParser.reset();
  Request Received;
  Received.Method = std::string(toView(Message.method_string()));
  Received.Target = std::string(toView(Message.target()));
  Received.Path = Received.Target.substr(0, Received.Target.find('?'));
  Received.Fields = toHeaders(Message);
  Received.Body = std::move(Message.body().Text);
  Received.Caller = Peer.Stream->peerAddress();
  Peer.KeepAlive = Message.keep_alive();
  Peer.OmitBody = Message.method() == beast::http::verb::head;
  Peer.Exchange = NextExchange++;
  Exchanges.emplace(Peer.Exchange, Id);
  enterPhase(Peer, Phase::Responding);
  OnRequest(Peer.Exchange, std::move(Received));
}

void EdgeServer::Impl::reject(Connection &Peer, int Status) {
  Response Reply;
  Reply.Status = Status;
  Peer.Stream->write(encode(Reply, false, false));
  close(Peer);
}

void EdgeServer::Impl::close(Connection &Peer) {
  enterPhase(Peer, Phase::Closing);
  Peer.Stream->closeGracefully();
}

void EdgeServer::Impl::handleClosed(ConnectionId Id) {
  const auto Entry = Connections.extract(Id);
  if (Entry.empty() || Entry.mapped().State != Phase::Responding)
    return;
  const ExchangeId Exchange = Entry.mapped().Exchange;
  if (Exchanges.erase(Exchange) > 0)
    OnCallerDisconnected(Exchange);
}

// How long a request may take to arrive, given the bytes received so far.
Common::Duration EdgeServer::Impl::readTimeout(const Connection &Peer) const {
  if (!Peer.RequestParser->is_header_done())
    return Limits.HeaderTimeout;
  return Limits.HeaderTimeout +
         std::chrono::seconds(1) * Peer.RequestBytes / MinBodyBytesPerSecond;
}

// Applies the timeout of the current phase to each connection. One timer serves
// all connections.
void EdgeServer::Impl::sweep() {
  Clock.after(SweepInterval, [this] { sweep(); });
  constexpr int RequestTimeout = 408;
  const SteadyTime Now = now();
  std::vector<ConnectionId> Lingering;
  for (auto &[Id, Open] : Connections) {
    const Common::Duration Age = Now - Open.PhaseStart;
    if (Open.State == Phase::Idle && Age > Limits.IdleTimeout)
      close(Open);
    else if (Open.State == Phase::Reading && Age > readTimeout(Open))
      reject(Open, RequestTimeout);
    else if (Open.State == Phase::Closing && Age > LingerTimeout)
      Lingering.push_back(Id);
  }
  for (const ConnectionId Id : Lingering)
    Connections.erase(Id);
}

EdgeServer::EdgeServer(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
EdgeServer::~EdgeServer() = default;

int EdgeServer::port() const { return Self->Port; }

std::size_t EdgeServer::openExchanges() const { return Self->Exchanges.size(); }

void EdgeServer::respond(ExchangeId Id, const Response &Reply) {
  const auto Entry = Self->Exchanges.extract(Id);
  if (Entry.empty())
    return;
  const Impl::ConnectionId ConnectionKey = Entry.mapped();
  Connection &Peer = Self->Connections.at(ConnectionKey);
  // Requests that were received before the stop are answered first.
  const bool KeepAlive =
      Peer.KeepAlive && (!Self->Draining || !Peer.Incoming.empty());
  Peer.Stream->write(encode(Reply, KeepAlive, !Peer.OmitBody));
  if (!KeepAlive) {
    Self->close(Peer);
    return;
  }
  Self->enterPhase(Peer, Phase::Idle);
  Peer.Stream->setReading(true);
  if (Peer.Incoming.empty())
    return;
  // Pipelined requests are parsed from the event loop, so that respond()
  // doesn't call OnRequest.
  Self->Clock.after(Common::Duration::zero(), [State = Self.get(),
                                               ConnectionKey] {
    const auto Found = State->Connections.find(ConnectionKey);
    if (Found != State->Connections.end() && Found->second.State == Phase::Idle)
      State->parse(ConnectionKey, Found->second);
  });
}

void EdgeServer::useLimits(const EdgeLimits &Limits) { Self->Limits = Limits; }

void EdgeServer::drainConnections() { Self->Draining = true; }

void EdgeServer::stopListening() {
  Self->Listener.reset();
  for (auto &[Id, Open] : Self->Connections)
    if (Open.State == Phase::Idle)
      Self->close(Open);
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
EdgeServerBuilder::onCallerDisconnected(std::function<void(ExchangeId)> Value) {
  OnCallerDisconnected = std::move(Value);
  return *this;
}

std::unique_ptr<EdgeServer> EdgeServerBuilder::build() {
  auto State = std::make_unique<EdgeServer::Impl>(*this);
  EdgeServer::Impl *Instance = State.get();
  State->Listener = std::make_unique<Net::Listener>(
      Task, Address, Port, [Instance](const Net::Listener::Adopter &Adopt) {
        Instance->accept(Adopt);
      });
  State->Port = State->Listener->port();
  Instance->sweep();
  return std::unique_ptr<EdgeServer>(new EdgeServer(std::move(State)));
}

} // namespace Http
