#include "Http/EdgeServer.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Common/Memory.h"
#include "Http/BeastConversions.h"
#include "Http/EdgeServerState.h"

namespace Http {

namespace {

namespace beast = boost::beast;
using Common::SteadyTime;
using Edge::Connection;
using Edge::OpenExchange;
using Edge::Phase;

// Bytes of pipelined requests that are buffered while no further request may
// be parsed. Beyond this the server stops reading from the connection.
constexpr std::size_t MaxPipelinedBytes = 64 << 10;
// Requests of one connection that may be open at once.
constexpr std::size_t MaxPipelinedRequests = 16;

// Whether a request that follows the open ones may be parsed.
bool mayParse(const Connection &Peer) {
  if (Peer.Held || Peer.PendingRejection || Peer.State == Phase::Closing)
    return false;
  return Peer.Open.empty() ||
         (Peer.Open.back().KeepAlive && Peer.Open.back().MayOverlap &&
          Peer.Open.size() < MaxPipelinedRequests);
}

// The memory that the connection takes for its caller.
std::size_t heldBytes(const Connection &Peer) {
  std::size_t Result = Peer.Stream->allocatedBytes() +
                       Common::allocatedBytes(Peer.Incoming) + Peer.HeldBytes;
  for (const OpenExchange &Exchange : Peer.Open)
    Result += Exchange.HeldBytes;
  return Result;
}

} // namespace

void EdgeServer::Impl::accept(const Net::Listener::Adopter &Adopt) {
  if (Connections.size() >= Capacity.Connections)
    makeRoom();
  const ConnectionId Id = NextConnection++;
  Net::ByteStream::Events Handlers;
  Handlers.OnBytes = [this, Id](std::string_view Bytes) {
    handleBytes(Id, Bytes);
    continueFinish();
  };
  Handlers.OnClosed = [this, Id](Net::StreamEnd, const std::string &Reason) {
    handleClosed(Id, Reason);
  };
  Handlers.OnAllSent = [this] { continueFinish(); };
  auto Stream = Adopt(std::move(Handlers));
  if (Connections.size() >= Capacity.Connections)
    return; // Closes the new connection.
  Connection &Opened = Connections[Id];
  Opened.Stream = std::move(Stream);
  enterPhase(Opened, Phase::Idle);
}

// Whether the memory that the connection takes now fits. Makes others give way
// for it.
bool EdgeServer::Impl::mayHold(ConnectionId Id, const Connection &Peer) {
  const auto Decision = Budget.request(Id, heldBytes(Peer), now());
  giveWay(Decision.GiveWay);
  return Decision.Granted;
}

// Keeps account of what is left after a response, which the caller may not have
// taken yet.
void EdgeServer::Impl::recordHeld(ConnectionId Id, Connection &Peer) {
  const std::size_t Bytes = heldBytes(Peer);
  const std::size_t Unsent = Peer.Stream->unsentBytes();
  // The memory shrinks in steps, also for a caller that takes less at a time.
  if (const std::size_t Before = std::exchange(Peer.UnsentBytes, Unsent);
      Unsent < Before)
    Budget.progressed(Id, Before - Unsent, now());
  if (Bytes == 0)
    Budget.release(Id);
  else
    giveWay(Budget.record(Id, Bytes, now()));
}

void EdgeServer::Impl::handleBytes(ConnectionId Id, std::string_view Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end() || Found->second.State == Phase::Closing)
    return;
  Connection &Peer = Found->second;
  // Requests that cannot be answered are not run.
  if (Peer.Discarding || !Peer.Stream->isConnected())
    return;
  Peer.LastReceived = now();
  Peer.Incoming.append(Bytes);
  Budget.progressed(Id, Bytes.size(), Peer.LastReceived);
  parseAll(Id, Peer);
  if (Peer.State == Phase::Closing || mayParse(Peer))
    return;
  if (!mayHold(Id, Peer))
    reject(Id, Peer, ServiceUnavailable);
  else if (Peer.Incoming.size() > MaxPipelinedBytes)
    Peer.Stream->setReading(false);
}

void EdgeServer::Impl::parseAll(ConnectionId Id, Connection &Peer) {
  while (mayParse(Peer) && !Peer.Incoming.empty())
    if (!parse(Id, Peer))
      break;
}

bool EdgeServer::Impl::parse(ConnectionId Id, Connection &Peer) {
  if (!Peer.RequestParser) {
    Peer.RequestParser = makeEdgeParser(Limits);
    Peer.ContinueSent = false;
    Peer.RequestBytes = 0;
    Peer.FieldBytes = 0;
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
  Common::releaseSpareMemory(Peer.Incoming);
  Peer.RequestBytes += static_cast<std::int64_t>(Offset);
  if (Error && Error != beast::http::error::need_more) {
    reject(Id, Peer, statusForError(Error));
    return false;
  }
  if (Peer.RequestParser->is_header_done()) {
    if (Peer.FieldBytes == 0)
      Peer.FieldBytes = memoryOfFields(*Peer.RequestParser);
    Peer.HeldBytes = Peer.FieldBytes + memoryOfBody(*Peer.RequestParser);
  }
  if (!mayHold(Id, Peer)) {
    reject(Id, Peer, ServiceUnavailable);
    return false;
  }
  if (Peer.RequestParser->is_done()) {
    dispatch(Id, Peer);
    return true;
  }
  // The parser limits the header section, but neither chunk headers nor
  // trailers.
  if (Peer.Incoming.size() > Limits.HeaderBytes) {
    reject(Id, Peer, HeaderFieldsTooLarge);
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
  const auto Method = Peer.RequestParser->get().method();
  OpenExchange Exchange;
  Exchange.KeepAlive = Peer.RequestParser->keep_alive();
  Exchange.OmitBody = Method == beast::http::verb::head;
  // Only safe methods may run in another order than they were sent in.
  Exchange.MayOverlap = Exchange.OmitBody || Method == beast::http::verb::get;
  Exchange.HeldBytes = std::exchange(Peer.HeldBytes, 0);
  Request Received = takeRequest(*Peer.RequestParser);
  Peer.RequestParser.reset();
  Received.Caller = Peer.Stream->peerAddress();
  if (Exchange.MayOverlap || Peer.Open.empty()) {
    pass(Id, Peer, std::move(Exchange), std::move(Received));
  } else {
    Peer.HeldBytes = Exchange.HeldBytes;
    Peer.Held.emplace(std::move(Exchange), std::move(Received));
  }
}

void EdgeServer::Impl::pass(ConnectionId Id, Connection &Peer,
                            OpenExchange Exchange, Request Received) {
  Exchange.Id = NextExchange++;
  Exchanges.emplace(Exchange.Id, Id);
  Budget.setMayGiveWay(Id, false);
  if (Peer.Open.empty())
    enterPhase(Peer, Phase::Responding);
  const ExchangeId Opened = Exchange.Id;
  Peer.Open.push_back(std::move(Exchange));
  OnRequest(Opened, std::move(Received));
}

// Sends the responses that no earlier request delays.
void EdgeServer::Impl::sendReady(ConnectionId Id, Connection &Peer) {
  while (!Peer.Open.empty() && Peer.Open.front().Ready) {
    OpenExchange Answered = std::move(Peer.Open.front());
    Peer.Open.pop_front();
    Peer.LastAnswered = Answered.Id;
    // Requests that were received before the stop are answered first.
    const bool KeepAlive =
        Answered.KeepAlive && (!Draining || !Peer.Open.empty() || Peer.Held ||
                               Peer.PendingRejection || !Peer.Incoming.empty());
    Peer.Stream->writeOwned(encodeResponseHead(*Answered.Ready, KeepAlive));
    if (!Answered.OmitBody && mayHaveBody(Answered.Ready->Status))
      Peer.Stream->writeOwned(std::move(Answered.Ready->Body));
    if (!KeepAlive) {
      Peer.HeldBytes = 0;
      Budget.release(Id);
      recordHeld(Id, Peer);
      close(Peer);
      return;
    }
  }
  if (!Peer.Open.empty()) {
    recordHeld(Id, Peer);
    if (mayParse(Peer) && !Peer.Incoming.empty()) {
      Peer.Stream->setReading(true);
      parseLater(Id);
    }
    return;
  }
  Budget.release(Id);
  recordHeld(Id, Peer);
  if (Peer.PendingRejection) {
    reject(Id, Peer, *Peer.PendingRejection);
    return;
  }
  enterPhase(Peer, Peer.Held            ? Phase::Responding
                   : Peer.RequestParser ? Phase::Reading
                                        : Phase::Idle);
  continueIfExpected(Peer);
  if (Peer.Incoming.empty())
    std::string().swap(Peer.Incoming);
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
      auto [Exchange, Received] = std::move(*Peer.Held);
      Peer.Held.reset();
      Peer.HeldBytes = 0;
      pass(Id, Peer, std::move(Exchange), std::move(Received));
    }
    parseAll(Id, Peer);
    continueFinish();
  });
}

EdgeServer::EdgeServer(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
EdgeServer::~EdgeServer() = default;

int EdgeServer::port() const { return Self->Port; }

std::size_t EdgeServer::openExchanges() const { return Self->Exchanges.size(); }

std::size_t EdgeServer::bufferedBytes() const {
  return Self->Budget.heldBytes();
}

void EdgeServer::respond(ExchangeId Id, Response Reply) {
  const auto Entry = Self->Exchanges.extract(Id);
  if (Entry.empty())
    return;
  const Impl::ConnectionId ConnectionKey = Entry.mapped();
  Connection &Peer = Self->Connections.at(ConnectionKey);
  const auto Exchange =
      std::find_if(Peer.Open.begin(), Peer.Open.end(),
                   [Id](const OpenExchange &Open) { return Open.Id == Id; });
  if (Exchange != Peer.Open.end()) {
    Exchange->HeldBytes = Reply.Body.size();
    Exchange->Ready = std::move(Reply);
  }
  Self->sendReady(ConnectionKey, Peer);
}

void EdgeServer::useLimits(const EdgeLimits &Limits) { Self->Limits = Limits; }

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
