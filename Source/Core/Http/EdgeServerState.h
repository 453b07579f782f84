#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "Http/BufferBudget.h"
#include "Http/EdgeConnection.h"
#include "Http/EdgeServer.h"
#include "Net/Listener.h"

namespace Http {

struct EdgeServer::Impl {
  using ConnectionId = std::uint64_t;

  explicit Impl(const EdgeServerBuilder &Builder)
      : Task(Builder.Task), Clock(Builder.Task), Limits(Builder.Limits),
        Capacity(Builder.Capacity),
        Budget({.Bytes = Builder.Capacity.BufferedBytes}),
        OnRequest(Builder.OnRequest),
        OnCallerDisconnected(Builder.OnCallerDisconnected) {}

  ~Impl() {
    for (const auto &[Id, Open] : Connections)
      reportCut(Open, "the server stops");
  }

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void accept(const Net::Listener::Adopter &Adopt);
  void handleBytes(ConnectionId Id, std::string_view Bytes);
  void parseAll(ConnectionId Id, Edge::Connection &Peer);
  // Returns true if a request was complete.
  bool parse(ConnectionId Id, Edge::Connection &Peer);
  void continueIfExpected(Edge::Connection &Peer);
  void dispatch(ConnectionId Id, Edge::Connection &Peer);
  void pass(ConnectionId Id, Edge::Connection &Peer,
            Edge::OpenExchange Exchange, Request Received);
  void sendReady(ConnectionId Id, Edge::Connection &Peer);
  void parseLater(ConnectionId Id);
  void reject(ConnectionId Id, Edge::Connection &Peer, int Status);
  bool mayHold(ConnectionId Id, const Edge::Connection &Peer);
  void giveWay(const std::vector<ConnectionId> &Ids);
  void makeRoom();
  void recordHeld(ConnectionId Id, Edge::Connection &Peer);
  void close(Edge::Connection &Peer);
  void handleClosed(ConnectionId Id, const std::string &Reason);
  void reportCut(const Edge::Connection &Peer, std::string_view Reason) const;
  void continueFinish();
  void endWaiting();
  bool hasLingered(Edge::Connection &Peer) const;
  void sweep();
  Common::Duration readTimeout(const Edge::Connection &Peer) const;
  void enterPhase(Edge::Connection &Peer, Edge::Phase Next) {
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
  std::function<void()> OnFinished;
  std::optional<Kernel::TimerId> FinishTimer;
  std::unordered_map<ConnectionId, Edge::Connection> Connections;
  std::unordered_map<ExchangeId, ConnectionId> Exchanges;
  ConnectionId NextConnection = 1;
  ExchangeId NextExchange = 1;
};

} // namespace Http
