#include "Http/EdgeServer.h"

#include <optional>
#include <unordered_map>
#include <vector>

#include "Http/BeastConversions.h"
#include "Http/BufferBudget.h"
#include "Http/EdgeConnection.h"
#include "Net/Listener.h"

namespace Http {

namespace {

namespace beast = boost::beast;
using Common::SteadyTime;
using Edge::Connection;
using Edge::Phase;

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

// How soon a caller that was refused for lack of memory may try again.
constexpr const char *RetryAfterSeconds = "1";

constexpr int RequestTimeout = 408;
constexpr int ServiceUnavailable = 503;

} // namespace

struct EdgeServer::Impl {
  using ConnectionId = std::uint64_t;

  explicit Impl(const EdgeServerBuilder &Builder)
      : Task(Builder.Task), Clock(Builder.Task), Limits(Builder.Limits),
        Capacity(Builder.Capacity),
        Budget({.Bytes = Builder.Capacity.BufferedBytes}),
        OnRequest(Builder.OnRequest),
        OnCallerDisconnected(Builder.OnCallerDisconnected) {}

  static SteadyTime now() { return std::chrono::steady_clock::now(); }

  void accept(const Net::Listener::Adopter &Adopt);
  void handleBytes(ConnectionId Id, std::string_view Bytes);
  void parse(ConnectionId Id, Connection &Peer);
  void dispatch(ConnectionId Id, Connection &Peer);
  void reject(ConnectionId Id, Connection &Peer, int Status);
  bool mayHold(ConnectionId Id, const Connection &Peer);
  void giveWay(const std::vector<ConnectionId> &Ids);
  void makeRoom();
  void recordUnsent(ConnectionId Id, const Connection &Peer);
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
  EdgeCapacity Capacity;
  BufferBudget Budget;
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
  if (Connections.size() >= Capacity.Connections)
    makeRoom();
  const ConnectionId Id = NextConnection++;
  Net::ByteStream::Events Handlers;
  Handlers.OnBytes = [this, Id](std::string_view Bytes) {
    handleBytes(Id, Bytes);
  };
  Handlers.OnClosed = [this, Id](Net::StreamEnd, const std::string &) {
    handleClosed(Id);
  };
  auto Stream = Adopt(std::move(Handlers));
  if (Connections.size() >= Capacity.Connections)
    return; // Closes the new connection.
  Connection &Opened = Connections[Id];
  Opened.Stream = std::move(Stream);
  enterPhase(Opened, Phase::Idle);
}

// Closes the connection that is least likely to be missed: one that waits for
// its caller to close it, then the one that has been idle for longest, then the
// one that has been sending its request for longest. None if all of them have
// a request open.
void EdgeServer::Impl::makeRoom() {
  const auto Rank = [](const Connection &Candidate) {
    return Candidate.State == Phase::Closing ? 0
           : Candidate.State == Phase::Idle  ? 1
                                             : 2;
  };
  auto Selected = Connections.end();
  for (auto Next = Connections.begin(); Next != Connections.end(); ++Next)
    if (Next->second.State != Phase::Responding &&
        (Selected == Connections.end() ||
         std::pair(Rank(Next->second), Next->second.PhaseStart) <
             std::pair(Rank(Selected->second), Selected->second.PhaseStart)))
      Selected = Next;
  if (Selected == Connections.end())
    return;
  Budget.release(Selected->first);
  Connections.erase(Selected);
}

// Whether the memory that the connection takes now fits. Makes others give way
// for it.
bool EdgeServer::Impl::mayHold(ConnectionId Id, const Connection &Peer) {
  const auto Decision = Budget.request(
      Id, Peer.Stream->unsentBytes() + Peer.Incoming.size() + Peer.HeldBytes,
      now());
  giveWay(Decision.GiveWay);
  return Decision.Granted;
}

void EdgeServer::Impl::giveWay(const std::vector<ConnectionId> &Ids) {
  for (const ConnectionId Id : Ids) {
    Connection &Peer = Connections.at(Id);
    if (Peer.State == Phase::Reading)
      reject(Id, Peer, ServiceUnavailable);
    else
      Peer.Stream->closeNow("too many bytes held for callers");
  }
}

// Keeps account of a response that the caller has not taken yet.
void EdgeServer::Impl::recordUnsent(ConnectionId Id, const Connection &Peer) {
  const std::size_t Unsent = Peer.Stream->unsentBytes();
  if (Unsent + Peer.Incoming.size() == 0)
    Budget.release(Id);
  else
    giveWay(Budget.record(Id, Unsent + Peer.Incoming.size(), now()));
}

void EdgeServer::Impl::handleBytes(ConnectionId Id, std::string_view Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end() || Found->second.State == Phase::Closing)
    return;
  Connection &Peer = Found->second;
  if (Peer.Discarding)
    return;
  Peer.LastReceived = now();
  Peer.Incoming.append(Bytes);
  if (Peer.State != Phase::Responding) {
    Budget.progressed(Id, Bytes.size(), Peer.LastReceived);
    parse(Id, Peer);
    return;
  }
  if (!mayHold(Id, Peer)) {
    // The connection is closed after the current response, and the requests
    // behind it have not been read.
    Peer.KeepAlive = false;
    Peer.Discarding = true;
    std::string().swap(Peer.Incoming);
  } else if (Peer.Incoming.size() > MaxPipelinedBytes) {
    Peer.Stream->setReading(false);
  }
}

void EdgeServer::Impl::parse(ConnectionId Id, Connection &Peer) {
  if (Peer.Incoming.empty())
    return;
  if (!Peer.RequestParser) {
    Peer.RequestParser = makeEdgeParser(Limits);
    Peer.ContinueSent = false;
    Peer.RequestBytes = 0;
    Peer.FieldBytes = 0;
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
    reject(Id, Peer, statusForError(Error));
    return;
  }
  if (Peer.RequestParser->is_header_done()) {
    if (Peer.FieldBytes == 0)
      Peer.FieldBytes = memoryOfFields(*Peer.RequestParser);
    Peer.HeldBytes = Peer.FieldBytes + memoryOfBody(*Peer.RequestParser);
  }
  if (!mayHold(Id, Peer)) {
    reject(Id, Peer, ServiceUnavailable);
    return;
  }
  if (Peer.RequestParser->is_done()) {
    dispatch(Id, Peer);
    return;
  }
  // The parser limits the header section, but neither chunk headers nor
  // trailers.
  if (Peer.Incoming.size() > Limits.HeaderBytes) {
    reject(Id, Peer, HeaderFieldsTooLarge);
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
  Peer.KeepAlive = Peer.RequestParser->keep_alive();
  Peer.OmitBody = Peer.RequestParser->get().method() == beast::http::verb::head;
  Request Received = takeRequest(*Peer.RequestParser);
  Peer.RequestParser.reset();
  Received.Caller = Peer.Stream->peerAddress();
  Peer.Exchange = NextExchange++;
  Exchanges.emplace(Peer.Exchange, Id);
  Budget.setMayGiveWay(Id, false);
  enterPhase(Peer, Phase::Responding);
  OnRequest(Peer.Exchange, std::move(Received));
}

void EdgeServer::Impl::reject(ConnectionId Id, Connection &Peer, int Status) {
  Response Reply;
  Reply.Status = Status;
  if (Status == ServiceUnavailable)
    Reply.Fields["retry-after"] = RetryAfterSeconds;
  Peer.Stream->write(encodeResponse(Reply, false, false));
  close(Peer);
  Peer.RequestParser.reset();
  std::string().swap(Peer.Incoming);
  Budget.release(Id);
}

void EdgeServer::Impl::close(Connection &Peer) {
  enterPhase(Peer, Phase::Closing);
  Peer.Stream->closeGracefully();
}

void EdgeServer::Impl::handleClosed(ConnectionId Id) {
  Budget.release(Id);
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
  const SteadyTime Now = now();
  std::vector<ConnectionId> Lingering;
  for (auto &[Id, Open] : Connections) {
    const Common::Duration Age = Now - Open.PhaseStart;
    if (Open.State == Phase::Idle && Age > Limits.IdleTimeout)
      close(Open);
    else if (Open.State == Phase::Reading &&
             (Age > readTimeout(Open) ||
              Now - Open.LastReceived > Limits.IdleTimeout))
      reject(Id, Open, RequestTimeout);
    else if (Open.State == Phase::Closing && Age > LingerTimeout)
      Lingering.push_back(Id);
    if (Open.State == Phase::Idle || Open.State == Phase::Closing)
      recordUnsent(Id, Open);
  }
  for (const ConnectionId Id : Lingering) {
    Budget.release(Id);
    Connections.erase(Id);
  }
}

EdgeServer::EdgeServer(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
EdgeServer::~EdgeServer() = default;

int EdgeServer::port() const { return Self->Port; }

std::size_t EdgeServer::openExchanges() const { return Self->Exchanges.size(); }

std::size_t EdgeServer::bufferedBytes() const {
  return Self->Budget.heldBytes();
}

void EdgeServer::respond(ExchangeId Id, const Response &Reply) {
  const auto Entry = Self->Exchanges.extract(Id);
  if (Entry.empty())
    return;
  const Impl::ConnectionId ConnectionKey = Entry.mapped();
  Connection &Peer = Self->Connections.at(ConnectionKey);
  // Requests that were received before the stop are answered first.
  const bool KeepAlive =
      Peer.KeepAlive && (!Self->Draining || !Peer.Incoming.empty());
  Peer.Stream->writeOwned(encodeResponse(Reply, KeepAlive, !Peer.OmitBody));
  Peer.HeldBytes = 0;
  Self->Budget.release(ConnectionKey);
  Self->recordUnsent(ConnectionKey, Peer);
  if (!KeepAlive) {
    Self->close(Peer);
    return;
  }
  Self->enterPhase(Peer, Phase::Idle);
  if (Peer.Incoming.empty())
    std::string().swap(Peer.Incoming);
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

EdgeServerBuilder &EdgeServerBuilder::capacity(const EdgeCapacity &Value) {
  Capacity = Value;
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
