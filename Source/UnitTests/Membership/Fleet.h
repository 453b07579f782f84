#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "Membership/Prober.h"

namespace UnitTests {

using Common::Millis;

// Runs probers in simulated time, connected by a simulated network that delays
// and loses datagrams.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {}

  // Probability that a datagram is lost.
  double LossRate = 0;
  std::int64_t Datagrams = 0;
  std::int64_t Bytes = 0;
  std::size_t LargestDatagram = 0;
  // Called for each datagram with its sender, receiver and size in bytes.
  std::function<void(const std::string &, const std::string &, std::size_t)>
      OnSend;
  // Paused nodes. Datagrams to them are queued until they resume.
  std::set<std::string> Paused;
  std::set<std::string> Crashed;
  // Returns true if the network between two nodes is partitioned.
  std::function<bool(const std::string &, const std::string &)> IsCut;

  Common::SteadyTime now() const { return Now; }
  Membership::Prober &operator[](const std::string &Name) {
    return *Nodes.at(Name).Instance;
  }

  static std::string name(int Number, const std::string &DataCentre = "d") {
    return DataCentre + "-" + std::to_string(1000 + Number);
  }

  void add(const std::string &Name, const std::string &DataCentre,
           std::vector<Membership::SocketAddress> Seeds) {
    Membership::Member Self;
    Self.Node = Name;
    Self.DataCentre = DataCentre;
    Self.Address = Name;
    Self.MemberPort = 7;
    Self.Incarnation =
        std::chrono::duration_cast<Common::Micros>(Now.time_since_epoch())
            .count();
    Membership::ProberOptions Options;
    Options.TickInterval = TickInterval;
    Options.ProbeInterval = Millis(400);
    Options.ProbeTimeout = Millis(150);
    Options.SuspicionTimeout = Millis(800);
    Options.Seeds = std::move(Seeds);
    Node &Added = Nodes[Name];
    Added.Instance =
        std::make_unique<Membership::Prober>(Self, Options, Random());
    schedule(Now + Common::Micros(Random() % 100'000),
             {Name, ++Added.Generation, std::nullopt});
    Crashed.erase(Name);
  }
  void addMany(int Count, const std::string &DataCentre = "d") {
    for (int I = 0; I < Count; ++I)
      add(name(I, DataCentre), DataCentre,
          {{name(0, DataCentre), 7}, {name(1, DataCentre), 7}});
  }

  // Runs until Done returns true, for at most Limit. Returns the elapsed time.
  Common::Millis run(
      Common::Duration Limit,
      const std::function<bool()> &Done = [] { return false; }) {
    const Common::SteadyTime Start = Now;
    const Common::SteadyTime Deadline = Start + Limit;
    Common::SteadyTime NextCheck = Now;
    while (!Events.empty() && Events.begin()->first <= Deadline) {
      const auto First = Events.extract(Events.begin());
      Now = First.key();
      deliver(First.mapped());
      if (Now < NextCheck)
        continue;
      NextCheck = Now + Millis(20);
      if (Done())
        return std::chrono::duration_cast<Millis>(Now - Start);
    }
    Now = Deadline;
    return std::chrono::duration_cast<Millis>(Limit);
  }

  // Returns true if Matches accepts the state that each running node other than
  // Subject has recorded for Subject.
  bool
  allRecord(const std::string &Subject,
            const std::function<bool(const Membership::Member *)> &Matches) {
    for (const auto &[Name, Observer] : Nodes)
      if (Name != Subject && !Crashed.contains(Name) &&
          !Matches(Observer.Instance->table().find(Subject)))
        return false;
    return true;
  }
  // The number of live members that a node knows, itself included.
  int liveCount(const std::string &Name) {
    int Result = 1;
    for (const Membership::Member *Known :
         Nodes.at(Name).Instance->table().others())
      Result += Membership::isLive(*Known) ? 1 : 0;
    return Result;
  }
  bool allKnow(int Count) {
    for (const auto &[Name, Observer] : Nodes)
      if (!Crashed.contains(Name) && liveCount(Name) != Count)
        return false;
    return true;
  }

private:
  static constexpr Millis TickInterval{100};

  struct Node {
    std::unique_ptr<Membership::Prober> Instance;
    int Generation = 0;
  };
  // A tick of one generation of a node, or the arrival of a datagram.
  struct Event {
    std::string To;
    int Generation = 0;
    std::optional<Membership::Datagram> Content;
  };

  void schedule(Common::SteadyTime At, Event Scheduled) {
    Events.emplace(At, std::move(Scheduled));
  }

  void deliver(const Event &Arrived) {
    Node &To = Nodes.at(Arrived.To);
    const bool IsTick = !Arrived.Content;
    if (Crashed.contains(Arrived.To) ||
        (IsTick && Arrived.Generation != To.Generation))
      return;
    if (Paused.contains(Arrived.To)) {
      schedule(Now + Millis(10), Arrived);
      return;
    }
    if (IsTick)
      schedule(Now + TickInterval, Arrived);
    for (Membership::OutgoingDatagram &Output :
         IsTick ? To.Instance->tick(Now)
                : To.Instance->handleDatagram(*Arrived.Content, Now))
      transmit(Arrived.To, Output);
  }

  void transmit(const std::string &From, Membership::OutgoingDatagram &Sent) {
    std::size_t Size = Membership::maxEncodedHeaderSize(Sent.Content);
    for (const Membership::Member &Update : Sent.Content.Updates)
      Size += Membership::maxEncodedSize(Update);
    if (OnSend)
      OnSend(From, Sent.To.Address, Size);
    ++Datagrams;
    Bytes += static_cast<std::int64_t>(Size);
    LargestDatagram = std::max(LargestDatagram, Size);
    const std::string &To = Sent.To.Address;
    if (std::uniform_real_distribution<double>(0, 1)(Random) < LossRate ||
        !Nodes.contains(To) || (IsCut && IsCut(From, To)))
      return;
    schedule(Now + Millis(1) + Common::Micros(Random() % 3000),
             {To, 0, std::move(Sent.Content)});
  }

  std::mt19937_64 Random;
  Common::SteadyTime Now{Millis(1'000'000)};
  std::map<std::string, Node> Nodes;
  std::multimap<Common::SteadyTime, Event> Events;
};

} // namespace UnitTests
