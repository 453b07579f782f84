#include "Http/EdgeServer.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
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
// Bytes of pipelined requests that are buffered while no further request may
// be parsed. Beyond this the server stops reading from the connection.
constexpr std::size_t MaxPipelinedBytes = 64 << 10;
// Requests of one connection that may be open at once.
constexpr std::size_t MaxPipelinedRequests = 16;

// The least rate at which a caller has to send a body. It is far below that of
// the slowest links, so it ends only requests that would never be complete.
constexpr std::int64_t MinBodyBytesPerSecond = 1 << 10;

constexpr int HeaderFieldsTooLarge = 431;

enum class Phase { Idle, Reading, Responding, Closing };

// A request that was passed on and whose response was not sent yet.
struct OpenExchange {
  ExchangeId Id = 0;
  bool KeepAlive = true;
  bool OmitBody = false;
  // Whether requests behind it may run before it is answered.
  bool MayOverlap = false;
  // Set when the response waits for those of earlier requests.
  std::optional<Response> Ready;
};

struct Connection {
  std::unique_ptr<Net::ByteStream> Stream;
  Phase State = Phase::Idle;
  std::string Incoming;
  std::unique_ptr<Parser> RequestParser;
  // Bytes of the request that is being read.
  std::int64_t RequestBytes = 0;
  // In the order of the requests, which is that of the responses.
  std::deque<OpenExchange> Open;
  // A complete request that has to wait until the open ones are answered.
  std::optional<std::pair<OpenExchange, Request>> Held;
  // The status with which to reject the connection after the open requests are
  // answered.
  std::optional<int> PendingRejection;
  // When the current phase began.
  SteadyTime PhaseStart;
  bool ContinueSent = false;
};

// Whether a request that follows the open ones may be parsed.
bool mayParse(const Connection &Peer) {
  if (Peer.Held || Peer.PendingRejection || Peer.State == Phase::Closing)
    return false;
  return Peer.Open.empty() ||
         (Peer.Open.back().KeepAlive && Peer.Open.back().MayOverlap &&
          Peer.Open.size() < MaxPipelinedRequests);
}

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
  // Returns true if a request was complete.
  bool parse(ConnectionId Id, Connection &Peer);
  void continueIfExpected(Connection &Peer);
  void dispatch(ConnectionId Id, Connection &Peer);
  void pass(ConnectionId Id, Connection &Peer, OpenExchange Exchange,
            Request Received);
  void sendReady(ConnectionId Id, Connection &Peer);
  void parseLater(ConnectionId Id);
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
  while (mayParse(Peer) && !Peer.Incoming.empty())
    if (!parse(Id, Peer))
      break;
  if (!mayParse(Peer) && Peer.Incoming.size() > MaxPipelinedBytes)
    Peer.Stream->setReading(false);
}

bool EdgeServer::Impl::parse(ConnectionId Id, Connection &Peer) {
  if (!Peer.RequestParser) {
    Peer.RequestParser = std::make_unique<Parser>();
    Peer.RequestParser->eager(true);
    Peer.RequestParser->header_limit(
        static_cast<std::uint32_t>(Limits.HeaderBytes));
    Peer.RequestParser->body_limit(Limits.BodyBytes);
    Peer.RequestParser->get().body().Limit = Limits.BodyBytes;
    Peer.ContinueSent = false;
    Peer.RequestBytes = 0;
    if (Peer.Open.empty())
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
    return false;
  }
  if (Peer.RequestParser->is_done()) {
    dispatch(Id, Peer);
    return true;
  }
  // The parser limits the header section, but neither chunk headers nor
  // trailers.
  if (Peer.Incoming.size() > Limits.HeaderBytes) {
    reject(Peer, HeaderFieldsTooLarge);
    return false;
  }
  continueIfExpected(Peer);
  return false;
}

// Tells a caller that waits for it to send the body. An interim response must
// not come between those to earlier requests.
void EdgeServer::Impl::continueIfExpected(Connection &Peer) {
  if (!Peer.RequestParser || !Peer.RequestParser->is_header_done() ||
      Peer.ContinueSent || !Peer.Open.empty())
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
  OpenExchange Exchange;
  Exchange.KeepAlive = Message.keep_alive();
  Exchange.OmitBody = Message.method() == beast::http::verb::head;
  // Only safe methods may run in another order than they were sent in.
  Exchange.MayOverlap =
      Exchange.OmitBody || Message.method() == beast::http::verb::get;
  if (Exchange.MayOverlap || Peer.Open.empty())
    pass(Id, Peer, std::move(Exchange), std::move(Received));
  else
    Peer.Held.emplace(std::move(Exchange), std::move(Received));
}

void EdgeServer::Impl::pass(ConnectionId Id, Connection &Peer,
                            OpenExchange Exchange, Request Received) {
  Exchange.Id = NextExchange++;
  Exchanges.emplace(Exchange.Id, Id);
  if (Peer.Open.empty())
    enterPhase(Peer, Phase::Responding);
  const ExchangeId Opened = Exchange.Id;
  Peer.Open.push_back(std::move(Exchange));
  OnRequest(Opened, std::move(Received));
}

// Sends the responses that no earlier request delays.
void EdgeServer::Impl::sendReady(ConnectionId Id, Connection &Peer) {
  while (!Peer.Open.empty() && Peer.Open.front().Ready) {
    const OpenExchange Answered = std::move(Peer.Open.front());
    Peer.Open.pop_front();
    // Requests that were received before the stop are answered first.
    const bool KeepAlive =
        Answered.KeepAlive && (!Draining || !Peer.Open.empty() || Peer.Held ||
                               !Peer.Incoming.empty());
    Peer.Stream->write(encode(*Answered.Ready, KeepAlive, !Answered.OmitBody));
    if (!KeepAlive) {
      close(Peer);
      return;
    }
  }
  if (Peer.Open.empty() && Peer.PendingRejection) {
    reject(Peer, *Peer.PendingRejection);
    return;
  }
  if (Peer.Open.empty()) {
    enterPhase(Peer, Peer.RequestParser ? Phase::Reading : Phase::Idle);
    continueIfExpected(Peer);
  }
  if (mayParse(Peer))
    Peer.Stream->setReading(true);
  if (Peer.Held || !Peer.Incoming.empty())
    parseLater(Id);
}

// Requests are passed on from the event loop, so that respond() doesn't call
// OnRequest.
void EdgeServer::Impl::parseLater(ConnectionId Id) {
  Clock.after(Common::Duration::zero(), [this, Id] {
    const auto Found = Connections.find(Id);
    if (Found == Connections.end() || Found->second.State == Phase::Closing)
      return;
    Connection &Peer = Found->second;
    if (Peer.Held && Peer.Open.empty()) {
      auto Next = std::move(*Peer.Held);
      Peer.Held.reset();
      pass(Id, Peer, std::move(Next.first), std::move(Next.second));
    }
    while (mayParse(Peer) && !Peer.Incoming.empty())
      if (!parse(Id, Peer))
        break;
  });
}

void EdgeServer::Impl::reject(Connection &Peer, int Status) {
  if (!Peer.Open.empty()) {
    Peer.PendingRejection = Status;
    return;
  }
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
  if (Entry.empty())
    return;
  for (const OpenExchange &Exchange : Entry.mapped().Open)
    if (Exchanges.erase(Exchange.Id) > 0)
      OnCallerDisconnected(Exchange.Id);
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
  for (OpenExchange &Exchange : Peer.Open)
    if (Exchange.Id == Id)
      Exchange.Ready = Reply;
  Self->sendReady(ConnectionKey, Peer);
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
