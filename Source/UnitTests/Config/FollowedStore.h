#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Config/ConfigFollower.h"

namespace UnitTests {

using Common::Millis;

// The nodes of some data centres that follow a store in virtual time, and a
// store that comes back from older copies. The nodes run the decisions of the
// product; answering each other is what Node::SourceConfigService does.
class FollowedStore {
public:
  struct Write {
    Config::Version Number = 0;
    Common::SteadyTime At;
  };

  FollowedStore(int DataCentres, int NodesPerDataCentre, std::uint64_t Seed)
      : Random(Seed) {
    for (int Index = 0; Index < DataCentres * NodesPerDataCentre; ++Index)
      start("n" + std::to_string(Index),
            "d" + std::to_string(Index % DataCentres));
  }

  Common::SteadyTime now() const { return Now; }
  std::size_t calls() const { return Calls; }
  std::size_t nodeCount() const { return Nodes.size(); }

  // The operator writes a version, or writes a lost one again.
  void write(Config::Version Number) {
    Log.push_back(Number);
    Newest = Write{Number, Now};
    answerReads();
  }
  const std::optional<Write> &newest() const { return Newest; }

  using Copy = std::vector<Config::Version>;
  Copy copy() const { return Log; }
  // The store is away, and refuses calls or holds them back.
  void leave(bool RefusesCalls) {
    IsAway = true;
    IsRefusing = RefusesCalls;
    if (RefusesCalls)
      for (auto &[Name, Entry] : Nodes)
        if (Entry.Read)
          sendSourceAnswer(
              Name, {Common::ResultCode::LogUnavailable, "", 0, "", Era});
  }
  void comeBack(Copy Older) {
    Log = std::move(Older);
    ++Era;
    IsAway = false;
    for (auto &[Name, Entry] : Nodes)
      if (Entry.Read && Entry.Read->IsHeld) {
        Entry.Read->IsHeld = false;
        answerRead(Name);
      }
  }

  void crash(const std::string &Name) { Nodes.erase(Name); }
  void start(const std::string &Name, const std::string &DataCentre) {
    Config::FollowOptions Options;
    Options.Node = Name;
    Options.DataCentre = DataCentre;
    Nodes.erase(Name);
    Node &Added =
        Nodes
            .emplace(Name, Node{Config::ConfigFollower(Options, Random()),
                                DataCentre})
            .first->second;
    act(Name, Added.Follower.start(Now));
  }
  std::vector<std::string> names() const {
    std::vector<std::string> Result;
    for (const auto &[Name, Entry] : Nodes)
      Result.push_back(Name);
    return Result;
  }
  Config::Version held(const std::string &Name) const {
    return Nodes.at(Name).Follower.held();
  }
  std::optional<Recovery::StoreEra> era(const std::string &Name) const {
    return Nodes.at(Name).Follower.sourceEra();
  }
  Recovery::StoreEra storeEra() const { return Era; }

  void run(Common::Duration Length, const std::function<void()> &Check) {
    for (const auto End = Now + Length; Now < End; Now += Step) {
      deliver();
      expireReads();
      if (Now >= NextGossip) {
        NextGossip = Now + GossipInterval;
        gossip();
      }
      if (Now >= NextTick) {
        NextTick = Now + TickInterval;
        for (const std::string &Name : names()) {
          act(Name, Nodes.at(Name).Follower.tick(Now));
          expireWaiters(Name);
        }
      }
      Check();
    }
  }

private:
  static constexpr Millis Step{5};
  static constexpr Millis TickInterval{100};
  // How long members take to agree on who is alive and on what they hold.
  static constexpr Millis GossipInterval{700};
  static constexpr Millis MaxLatency{15};

  struct SourceRead {
    std::optional<Config::SourcePosition> From;
    Common::SteadyTime Deadline;
    // The call waits until the store is back.
    bool IsHeld = false;
    std::uint64_t Id = 0;
  };
  struct Waiter {
    Config::Version Held = 0;
    Common::SteadyTime Deadline;
  };
  struct Node {
    Config::ConfigFollower Follower;
    std::string DataCentre;
    std::optional<SourceRead> Read = {};
    std::uint64_t ReadCount = 0;
    // The nodes that long-poll this one.
    std::map<std::string, Waiter> Waiters = {};
  };

  void later(std::function<void()> Work) {
    Messages.emplace(Now + Common::Micros(1'000 + Random() % 14'000),
                     std::move(Work));
  }
  void deliver() {
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      const auto Due = Messages.extract(Messages.begin());
      Due.mapped()();
    }
  }

  void act(const std::string &Name, const Config::FollowActions &Actions) {
    for (const Config::FollowAction &Entry : Actions)
      std::visit([&](const auto &Action) { perform(Name, Action); }, Entry);
    Node &Actor = Nodes.at(Name);
    if (!Actor.Follower.isConnectedToSource(Now) &&
        !Actor.Follower.isTakingOver())
      answerWaiters(Name);
  }
  void perform(const std::string &Name, const Config::ReadNewestSet &) {
    read(Name, std::nullopt, Millis(0));
  }
  void perform(const std::string &Name, const Config::ReadFrom &Action) {
    read(Name, Action.From, Action.Wait);
  }
  void perform(const std::string &Name, const Config::CancelRead &) {
    Nodes.at(Name).Read.reset();
  }
  void perform(const std::string &Name, const Config::RequestFromPeer &Action) {
    request(Name, Action.Address, Millis(0));
  }
  void perform(const std::string &Name, const Config::LongPollReader &Action) {
    request(Name, Action.Address, Action.Wait);
  }

  void read(const std::string &Name, std::optional<Config::SourcePosition> From,
            Common::Micros Wait) {
    ++Calls;
    Node &Reader = Nodes.at(Name);
    Reader.Read = SourceRead{From, Now + Wait, false, ++Reader.ReadCount};
    const std::uint64_t Id = Reader.Read->Id;
    later([this, Name, Id] {
      Node *Found = find(Name);
      if (!Found || !Found->Read || Found->Read->Id != Id)
        return;
      if (!IsAway)
        answerRead(Name);
      else if (IsRefusing)
        sendSourceAnswer(Name,
                         {Common::ResultCode::LogUnavailable, "", 0, "", Era});
      else
        Found->Read->IsHeld = true;
    });
  }

  // Answers the read unless it has to wait for a record.
  void answerRead(const std::string &Name) {
    const SourceRead &Asked = *Nodes.at(Name).Read;
    const auto End = static_cast<Config::SourcePosition>(Log.size());
    if (!Asked.From || *Asked.From < End)
      sendSourceAnswer(Name, {Common::ResultCode::Ok,
                              Log.empty() ? "" : std::to_string(Log.back()),
                              End, "", Era});
    else if (Now < Asked.Deadline)
      return;
    else if (*Asked.From > End)
      sendSourceAnswer(Name,
                       {Common::ResultCode::LogOffsetExpired, "", 0, "", Era});
    else
      sendSourceAnswer(Name,
                       {Common::ResultCode::Ok, "", *Asked.From, "", Era});
  }
  void answerReads() {
    for (const std::string &Name : names())
      if (isWaitingAtStore(Name))
        answerRead(Name);
  }
  void expireReads() {
    for (const std::string &Name : names())
      if (isWaitingAtStore(Name) && Now >= Nodes.at(Name).Read->Deadline)
        answerRead(Name);
  }
  bool isWaitingAtStore(const std::string &Name) const {
    const Node &Reader = Nodes.at(Name);
    return !IsAway && Reader.Read && !Reader.Read->IsHeld &&
           Reader.Read->From &&
           *Reader.Read->From >=
               static_cast<Config::SourcePosition>(Log.size());
  }
  void sendSourceAnswer(const std::string &Name, Config::SourceAnswer Answer) {
    const std::uint64_t Id = Nodes.at(Name).Read->Id;
    later([this, Name, Id, Answer = std::move(Answer)] {
      Node *Found = find(Name);
      if (!Found || !Found->Read || Found->Read->Id != Id)
        return;
      Found->Read.reset();
      const bool IsUsable = Found->Follower.isUsable(Answer);
      if (IsUsable && !Answer.Content.empty())
        install(Name, std::stoll(Answer.Content));
      act(Name, Found->Follower.handleSourceAnswer(Answer, Now));
      if (IsUsable && Answer.Code == Common::ResultCode::Ok)
        answerWaiters(Name);
    });
  }

  void install(const std::string &Name, Config::Version Number) {
    if (Nodes.at(Name).Follower.adoptVersion(Number))
      answerWaiters(Name);
  }

  void request(const std::string &From, const std::string &To,
               Common::Micros Wait) {
    const Config::Version Held = held(From);
    later([this, From, To, Held, Wait] {
      Node *Asked = find(To);
      if (!Asked)
        return;
      if (Wait.count() > 0)
        act(To, Asked->Follower.handleLongPoll(Now));
      const bool MayWait = Asked->Follower.isConnectedToSource(Now) ||
                           Asked->Follower.isTakingOver();
      if (Held >= Asked->Follower.held() && Wait.count() > 0 && MayWait)
        Asked->Waiters[From] = {Held, Now + Wait};
      else
        reply(To, From);
    });
  }
  void reply(const std::string &From, const std::string &To) {
    const Node &Sender = Nodes.at(From);
    later([this, From, To, Held = Sender.Follower.held(),
           ReadsSource = Sender.Follower.isConnectedToSource(Now),
           SourceEra = Sender.Follower.sourceEra()] {
      Node *Receiver = find(To);
      if (!Receiver)
        return;
      act(To, Receiver->Follower.handleEra(SourceEra, Now));
      const bool IsSnapshot = Held > Receiver->Follower.held();
      install(To, Held);
      act(To, Receiver->Follower.handlePeerAnswer(
                  From, IsSnapshot || ReadsSource, Now));
    });
  }
  void answerWaiters(const std::string &Name) {
    for (const auto &[Peer, Waiting] :
         std::exchange(Nodes.at(Name).Waiters, {}))
      reply(Name, Peer);
  }
  void expireWaiters(const std::string &Name) {
    auto &Waiters = Nodes.at(Name).Waiters;
    for (auto Entry = Waiters.begin(); Entry != Waiters.end();) {
      if (Now < Entry->second.Deadline) {
        ++Entry;
        continue;
      }
      reply(Name, Entry->first);
      Entry = Waiters.erase(Entry);
    }
  }

  void gossip() {
    for (auto &[Name, Entry] : Nodes) {
      std::vector<Config::FollowPeer> Peers;
      for (const auto &[Other, Known] : Nodes)
        if (Other != Name)
          Peers.push_back(
              {Other, Known.DataCentre, Other, Known.Follower.held()});
      Entry.Follower.setPeers(std::move(Peers));
    }
  }

  Node *find(const std::string &Name) {
    const auto Found = Nodes.find(Name);
    return Found == Nodes.end() ? nullptr : &Found->second;
  }

  std::mt19937_64 Random;
  Common::SteadyTime Now{Millis(1'000'000)};
  Common::SteadyTime NextTick;
  Common::SteadyTime NextGossip;
  std::map<std::string, Node> Nodes;
  std::multimap<Common::SteadyTime, std::function<void()>> Messages;
  // The versions by offset.
  std::vector<Config::Version> Log;
  std::optional<Write> Newest;
  Recovery::StoreEra Era = 1;
  bool IsAway = false;
  bool IsRefusing = false;
  std::size_t Calls = 0;
};

} // namespace UnitTests
