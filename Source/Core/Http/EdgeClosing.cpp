#include <algorithm>
#include <utility>
#include <vector>

#include <spdlog/spdlog.h>

#include "Http/EdgeServerState.h"

namespace Http {

namespace {

using Common::SteadyTime;
using Edge::Connection;
using Edge::OpenExchange;
using Edge::Phase;

constexpr Common::Millis SweepInterval{250};
// How long a caller may take to close a connection after it has taken the last
// response.
constexpr Common::Millis LingerTimeout{2'000};
// How long a caller may take nothing of the last response.
constexpr Common::Millis StallTimeout{5'000};

// The least rate at which a caller has to send a body. It is far below that of
// the slowest links, so it ends only requests that would never be complete.
constexpr std::int64_t MinBodyBytesPerSecond = 1 << 10;

// How long the last callers may take to close their connections before a server
// that has sent all responses ends.
constexpr Common::Millis FinalLinger{200};

// How soon a caller that was refused for lack of memory may try again.
constexpr const char *RetryAfterSeconds = "1";

// Whether nothing has come from the caller since its last response.
bool isIdle(const Connection &Peer) {
  return Peer.State == Phase::Idle && Peer.Incoming.empty() &&
         Peer.Stream->unreadBytes() == 0;
}

} // namespace

// Closes the connection that is least likely to be missed: one that waits for
// its caller to close it, then the one that has been idle for longest, then the
// one that has been sending its request for longest, then one that still
// receives a response. None if all of them have a request open.
void EdgeServer::Impl::makeRoom() {
  const auto Rank = [](const Connection &Candidate) {
    return Candidate.Stream->unsentBytes() > 0 ? 3
           : Candidate.State == Phase::Closing ? 0
           : Candidate.State == Phase::Idle    ? 1
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
  reportCut(Selected->second, "too many connections");
  Budget.release(Selected->first);
  Connections.erase(Selected);
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

// Responds with Status after the responses to the open requests, and closes the
// connection. What came behind the open requests is discarded.
void EdgeServer::Impl::reject(ConnectionId Id, Connection &Peer, int Status) {
  if (!Peer.Open.empty()) {
    // Earlier requests are answered first.
    Peer.RequestParser.reset();
    Peer.HeldBytes = 0;
    Peer.Held.reset();
    std::string().swap(Peer.Incoming);
    Peer.Discarding = true;
    Peer.PendingRejection = Status;
    return;
  }
  Response Reply;
  Reply.Status = Status;
  if (Status == ServiceUnavailable)
    Reply.Fields["retry-after"] = RetryAfterSeconds;
  Peer.Stream->write(encodeResponseHead(Reply, false));
  close(Peer);
  Peer.Rejected = true;
  Peer.RequestParser.reset();
  Peer.HeldBytes = 0;
  Peer.Held.reset();
  std::string().swap(Peer.Incoming);
  Budget.release(Id);
}

void EdgeServer::Impl::close(Connection &Peer) {
  enterPhase(Peer, Phase::Closing);
  Peer.LastTaken = Peer.PhaseStart;
  Peer.Stream->closeGracefully();
}

// Logs what a connection that this side ends leaves unanswered or unsent.
void EdgeServer::Impl::reportCut(const Connection &Peer,
                                 std::string_view Reason) const {
  const std::size_t Unsent = Peer.Stream->unsentBytes();
  if (Unsent == 0 && Peer.Open.empty() && !Peer.Held &&
      Peer.State != Phase::Reading)
    return;
  spdlog::warn("event=connection-cut port={} last-answered={} unsent-bytes={} "
               "open-requests={} first-open={} incomplete-request={} "
               "reason=\"{}\"",
               Port, Peer.LastAnswered, Unsent,
               Peer.Open.size() + (Peer.Held ? 1 : 0),
               Peer.Open.empty() ? 0 : Peer.Open.front().Id,
               Peer.RequestParser != nullptr, Reason);
}

void EdgeServer::Impl::handleClosed(ConnectionId Id,
                                    const std::string &Reason) {
  Budget.release(Id);
  const auto Entry = Connections.extract(Id);
  if (Entry.empty())
    return;
  const std::size_t Unsent = Entry.mapped().Stream->unsentBytes();
  if (Unsent > 0)
    spdlog::info("event=response-not-taken port={} last-answered={} "
                 "unsent-bytes={} reason=\"{}\"",
                 Port, Entry.mapped().LastAnswered, Unsent, Reason);
  for (const OpenExchange &Exchange : Entry.mapped().Open)
    if (Exchanges.erase(Exchange.Id) > 0)
      OnCallerDisconnected(Exchange.Id);
  continueFinish();
}

// How long a request may take to arrive, given the bytes received so far.
Common::Duration EdgeServer::Impl::readTimeout(const Connection &Peer) const {
  if (!Peer.RequestParser->is_header_done())
    return Limits.HeaderTimeout;
  return Limits.HeaderTimeout +
         std::chrono::seconds(1) * Peer.RequestBytes / MinBodyBytesPerSecond;
}

// Whether a closing connection has waited for its caller for too long.
bool EdgeServer::Impl::hasLingered(Connection &Peer) const {
  const std::size_t Undelivered = Peer.Stream->undeliveredBytes();
  if (Undelivered != std::exchange(Peer.UndeliveredBytes, Undelivered))
    Peer.LastTaken = now();
  return now() - Peer.LastTaken >
         (Undelivered == 0 ? LingerTimeout : StallTimeout);
}

// Applies the timeout of the current phase to each connection. One timer serves
// all connections.
void EdgeServer::Impl::sweep() {
  Clock.after(SweepInterval, [this] { sweep(); });
  const SteadyTime Now = now();
  std::vector<ConnectionId> Lingering;
  for (auto &[Id, Open] : Connections) {
    const Common::Duration Age = Now - Open.PhaseStart;
    if (Age > Limits.IdleTimeout && isIdle(Open))
      close(Open);
    else if (Open.State == Phase::Reading &&
             (Age > readTimeout(Open) ||
              Now - Open.LastReceived > Limits.IdleTimeout) &&
             Open.Stream->unreadBytes() == 0)
      reject(Id, Open, RequestTimeout);
    else if (Open.State == Phase::Closing && hasLingered(Open))
      Lingering.push_back(Id);
    if (Open.State == Phase::Idle || Open.State == Phase::Closing)
      recordHeld(Id, Open);
  }
  for (const ConnectionId Id : Lingering) {
    reportCut(Connections.at(Id), "the caller did not close in time");
    Budget.release(Id);
    Connections.erase(Id);
  }
  continueFinish();
}

// Ends the connections that no request keeps open.
void EdgeServer::Impl::endWaiting() {
  for (auto &[Id, Open] : Connections)
    if (isIdle(Open))
      close(Open);
    else if (Open.State == Phase::Reading)
      reject(Id, Open, ServiceUnavailable);
}

// Ends what no request keeps open any more. Reports that the server has
// finished when all responses are sent.
void EdgeServer::Impl::continueFinish() {
  if (!OnFinished)
    return;
  endWaiting();
  const bool MustWait = std::any_of(
      Connections.begin(), Connections.end(), [](const auto &Entry) {
        const Connection &Peer = Entry.second;
        return Peer.State != Phase::Closing || Peer.Rejected ||
               Peer.Stream->unsentBytes() > 0;
      });
  if (MustWait || (FinishTimer && !Connections.empty()))
    return;
  if (FinishTimer)
    Clock.cancel(*FinishTimer);
  FinishTimer = Clock.after(
      Connections.empty() ? Common::Duration::zero() : FinalLinger, [this] {
        FinishTimer.reset();
        if (OnFinished)
          std::exchange(OnFinished, nullptr)();
      });
}

void EdgeServer::drainConnections() { Self->Draining = true; }

void EdgeServer::stopListening() {
  if (Self->Listener)
    Self->Listener->acceptWaiting();
  Self->Listener.reset();
  Self->endWaiting();
}

void EdgeServer::finish(std::function<void()> OnFinished) {
  drainConnections();
  stopListening();
  Self->OnFinished = std::move(OnFinished);
  Self->continueFinish();
}

} // namespace Http
