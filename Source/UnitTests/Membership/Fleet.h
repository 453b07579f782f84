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

// Probers in virtual time, joined by a network that delays and loses datagrams.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {}

  double Loss = 0;
  std::int64_t Datagrams = 0;
  std::int64_t Bytes = 0;
  std::size_t Largest = 0;
  // Told of each datagram: from, to, bytes.
  std::function<void(const std::string &, const std::string &, std::size_t)>
      OnSend;
  // Nodes that do not run; their datagrams wait in their socket.
  std::set<std::string> Frozen;
  std::set<std::string> Crashed;
  // True when the link between two nodes is cut.
  std::function<bool(const std::string &, const std::string &)> Cut;

  Common::SteadyTime now() const { return Now; }
  Membership::Prober &operator[](const std::string &Name) {
    return *Nodes.at(Name).Decisions;
  }

  static std::string name(int Number, const std::string &DataCentre = "d") {
    return DataCentre + "-" + std::to_string(1000 + Number);
  }

  void add(const std::string &Name, const std::string &DataCentre,
           std::vector<Membership::Place> Seeds) {
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
    Options.SuspicionLimit = Millis(800);
    Options.Seeds = std::move(Seeds);
    Node &Added = Nodes[Name];
    Added.Decisions =
        std::make_unique<Membership::Prober>(Self, Options, Random());
    schedule(Now + Common::Micros(Random() % 100'000),
             {Name, ++Added.Life, std::nullopt});
    Crashed.erase(Name);
  }
  void addMany(int Count, const std::string &DataCentre = "d") {
    for (int I = 0; I < Count; ++I)
      add(name(I, DataCentre), DataCentre,
          {{name(0, DataCentre), 7}, {name(1, DataCentre), 7}});
  }

  // Runs until Done, at most for Limit. Returns the time it took.
  Common::Millis run(
      Common::Duration Limit,
      const std::function<bool()> &Done = [] { return false; }) {
    const Common::SteadyTime Start = Now;
    const Common::SteadyTime End = Start + Limit;
    Common::SteadyTime NextCheck = Now;
    while (!Events.empty() && Events.begin()->first <= End) {
      const auto First = Events.extract(Events.begin());
      Now = First.key();
      deliver(First.mapped());
      if (Now < NextCheck)
        continue;
      NextCheck = Now + Millis(20);
      if (Done())
        return std::chrono::duration_cast<Millis>(Now - Start);
    }
    Now = End;
    return std::chrono::duration_cast<Millis>(Limit);
  }

  // True when each running node but Subject holds what Holds asks of Subject.
  bool allHold(const std::string &Subject,
               const std::function<bool(const Membership::Member *)> &Holds) {
    for (const auto &[Name, Each] : Nodes)
      if (Name != Subject && !Crashed.contains(Name) &&
          !Holds(Each.Decisions->table().find(Subject)))
        return false;
    return true;
  }
  // The live members that a node knows, itself included.
  int live(const std::string &Name) {
    int Result = 1;
    for (const Membership::Member *Each :
         Nodes.at(Name).Decisions->table().others())
      Result += Membership::isLive(*Each) ? 1 : 0;
    return Result;
  }
  bool allKnow(int Count) {
    for (const auto &[Name, Each] : Nodes)
      if (!Crashed.contains(Name) && live(Name) != Count)
        return false;
    return true;
  }

private:
  static constexpr Millis TickInterval{100};

  struct Node {
    std::unique_ptr<Membership::Prober> Decisions;
    int Life = 0;
  };
  // A tick of one life of a node, or a datagram that arrives.
  struct Event {
    std::string To;
    int Life = 0;
    std::optional<Membership::Datagram> Heard;
  };

  void schedule(Common::SteadyTime At, Event What) {
    Events.emplace(At, std::move(What));
  }

  void deliver(const Event &What) {
    Node &To = Nodes.at(What.To);
    const bool IsTick = !What.Heard;
    if (Crashed.contains(What.To) || (IsTick && What.Life != To.Life))
      return;
    if (Frozen.contains(What.To)) {
      schedule(Now + Millis(10), What);
      return;
    }
    if (IsTick)
      schedule(Now + TickInterval, What);
    for (Membership::Outgoing &Each :
         IsTick ? To.Decisions->tick(Now)
                : To.Decisions->take(*What.Heard, Now))
      carry(What.To, Each);
  }

  void carry(const std::string &From, Membership::Outgoing &Sent) {
    std::size_t Size = Membership::encodedLimitOfHeader(Sent.Content);
    for (const Membership::Member &Each : Sent.Content.Updates)
      Size += Membership::encodedLimit(Each);
    if (OnSend)
      OnSend(From, Sent.To.Address, Size);
    ++Datagrams;
    Bytes += static_cast<std::int64_t>(Size);
    Largest = std::max(Largest, Size);
    const std::string &To = Sent.To.Address;
    if (std::uniform_real_distribution<double>(0, 1)(Random) < Loss ||
        !Nodes.contains(To) || (Cut && Cut(From, To)))
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
