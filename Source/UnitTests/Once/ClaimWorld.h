#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <unordered_set>
#include <vector>

#include "Once/ClaimBatcher.h"
#include "Once/ClaimGate.h"
#include "Once/PendingCalls.h"

namespace UnitTests {

// Which batcher a node asks first: the same for both, or its own.
enum class Topology { Shared, Own };

// How many faults of each kind may happen in one run.
struct FaultBudget {
  int LostAnswers = 0;
  int Freezes = 0;
  int Deaths = 0;
  // Whether time can stop between sending a claim again and the deadline.
  bool Resends = false;
};

// Two nodes, each with a call under the same key, and the log. Every node has
// the real gate, batcher and front decision; the world carries messages between
// them in any order and tells which events can happen next.
template <Once::WinRule Rule> class ClaimWorld {
public:
  struct Event {
    enum class Kind {
      Begin,
      Deliver,
      Land,
      Answer,
      LoseAnswer,
      Read,
      Front,
      EndRan,
      EndNotRun,
      Timer,
      Freeze,
      Wake,
      Kill,
      PassTime
    };
    Kind What;
    std::size_t Index = 0;
  };

  ClaimWorld(Topology Places, FaultBudget Faults)
      : Places(Places), Faults(Faults) {}

  std::vector<Event> enabled() const {
    std::vector<Event> Result;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      addNodeEvents(I, Result);
    for (std::size_t I = 0; I < Messages.size(); ++I)
      if (Nodes[Messages[I].To].steps())
        Result.push_back({Event::Kind::Deliver, I});
    for (std::size_t I = 0; I < Appends.size(); ++I)
      addAppendEvents(I, Result);
    if (Phase + 1 < Times.size())
      Result.push_back({Event::Kind::PassTime, 0});
    return Result;
  }

  void apply(const Event &Each) {
    using Kind = typename Event::Kind;
    switch (Each.What) {
    case Kind::Begin:
      begin(Each.Index);
      break;
    case Kind::Deliver:
      deliver(Each.Index);
      break;
    case Kind::Land:
      Records.push_back(Appends[Each.Index].Content);
      Appends[Each.Index].IsLanded = true;
      dropDone();
      break;
    case Kind::Answer:
      answer(Each.Index, Common::ResultCode::Ok);
      break;
    case Kind::LoseAnswer:
      --Faults.LostAnswers;
      answer(Each.Index, Common::ResultCode::LogAnswerLost);
      break;
    case Kind::Read:
      read(Each.Index);
      break;
    case Kind::Front:
      decideFront(Each.Index);
      break;
    case Kind::EndRan:
      end(Each.Index, Common::ResultCode::Ok);
      break;
    case Kind::EndNotRun:
      end(Each.Index, Common::ResultCode::NoLiveServer);
      break;
    case Kind::Timer:
      wakeUp(Each.Index);
      break;
    case Kind::Freeze:
      --Faults.Freezes;
      Nodes[Each.Index].IsFrozen = true;
      break;
    case Kind::Wake:
      Nodes[Each.Index].IsFrozen = false;
      break;
    case Kind::Kill:
      --Faults.Deaths;
      Nodes[Each.Index].IsAlive = false;
      break;
    case Kind::PassTime:
      Phase = Faults.Resends ? Phase + 1 : Times.size() - 1;
      break;
    }
  }

  // Empty while the promise holds.
  const std::string &violation() const { return Violation; }
  int dispatches() const { return Dispatches; }
  bool hasReplayed() const { return HasReplayed; }

  // Equal signatures mean equal worlds.
  std::string signature() const {
    std::ostringstream Out;
    Out << Phase << ' ' << Faults.LostAnswers << Faults.Freezes << Faults.Deaths
        << Dispatches << HasRun << KeyToldNotRun;
    for (const Node &Each : Nodes)
      describe(Each, Records.size() - Each.NextRecord, Out);
    // What everyone alive has read is part of their states.
    std::size_t FirstUnread = Records.size();
    for (const Node &Each : Nodes)
      if (Each.IsAlive)
        FirstUnread = std::min(FirstUnread, Each.NextRecord);
    for (std::size_t I = FirstUnread; I < Records.size(); ++I)
      Out << '|' << Records[I].Id;
    // The order of what is under way does not matter.
    std::multiset<std::string> UnderWay;
    for (const Append &Each : Appends)
      UnderWay.insert(Each.Content.Id + (Each.IsLanded ? "L" : "l") +
                      (Each.IsAnswered ? "A" : "a"));
    for (const Message &Each : Messages)
      UnderWay.insert(std::to_string(Each.To) + Each.Label);
    for (const std::string &Each : UnderWay)
      Out << '|' << Each;
    return Out.str();
  }

private:
  static constexpr Common::Micros Limit{1'000'000};
  static constexpr std::array<Common::Micros, 3> Times = {
      Common::Micros(0), Common::Micros(500'000), Common::Micros(1'500'000)};

  struct Message {
    std::size_t From = 0;
    std::size_t To = 0;
    std::string Label;
    std::variant<Once::SendClaim, Once::Verdict> Content;
  };
  struct Append {
    std::size_t Writer = 0;
    Once::Batch Content;
    bool IsLanded = false;
    bool IsAnswered = false;
  };
  struct Node {
    Once::ClaimGate Gate{gateLimits()};
    Once::ClaimBatcher<Rule> Batcher;
    Once::PendingCalls<int> Pending;
    std::vector<bool> ToFront; // Whether each claim was won.
    std::size_t NextRecord = 0;
    bool HasBegun = false;
    bool IsRunning = false;
    bool HasDispatched = false;
    bool ToldNotRun = false;
    bool IsAlive = true;
    bool IsFrozen = false;

    explicit Node(const std::string &Name) : Batcher(Name, limits()) {
      Batcher.caughtUp();
    }
    bool steps() const { return IsAlive && !IsFrozen; }
  };

  static Once::GateLimits gateLimits() {
    Once::GateLimits Result;
    Result.Ranks = 2;
    return Result;
  }
  static Once::BatcherLimits limits() {
    Once::BatcherLimits Result;
    Result.AppendInterval = Common::Micros(0);
    Result.RetryDelay = Common::Micros(0);
    Result.OutcomeDelay = Common::Micros(0);
    return Result;
  }
  static Common::WallTime issuedAt() {
    return Common::WallTime(std::chrono::hours(1));
  }

  Common::SteadyTime now() const { return Common::SteadyTime(Times[Phase]); }

  void addNodeEvents(std::size_t I, std::vector<Event> &Result) const {
    using Kind = typename Event::Kind;
    const Node &Own = Nodes[I];
    if (!Own.IsAlive)
      return;
    if (Own.IsFrozen) {
      Result.push_back({Kind::Wake, I});
      return;
    }
    if (!Own.HasBegun && Phase == 0)
      Result.push_back({Kind::Begin, I});
    if (Own.NextRecord < Records.size())
      Result.push_back({Kind::Read, I});
    if (!Own.ToFront.empty())
      Result.push_back({Kind::Front, I});
    if (Own.IsRunning) {
      Result.push_back({Kind::EndRan, I});
      Result.push_back({Kind::EndNotRun, I});
    }
    const auto GateDue = Own.Gate.nextDue();
    const auto BatcherDue = Own.Batcher.nextDue();
    if ((GateDue && *GateDue <= now()) || (BatcherDue && *BatcherDue <= now()))
      Result.push_back({Kind::Timer, I});
    if (Faults.Freezes > 0)
      Result.push_back({Kind::Freeze, I});
    if (Faults.Deaths > 0)
      Result.push_back({Kind::Kill, I});
  }

  void addAppendEvents(std::size_t I, std::vector<Event> &Result) const {
    using Kind = typename Event::Kind;
    const Append &Each = Appends[I];
    // It lands even when its writer is frozen, dead or has given up.
    if (!Each.IsLanded)
      Result.push_back({Kind::Land, I});
    if (Each.IsAnswered || !Nodes[Each.Writer].steps())
      return;
    if (Each.IsLanded)
      Result.push_back({Kind::Answer, I});
    if (Faults.LostAnswers > 0)
      Result.push_back({Kind::LoseAnswer, I});
  }

  void dropDone() {
    std::erase_if(Appends, [this](const Append &Each) {
      return Each.IsLanded && (Each.IsAnswered || !Nodes[Each.Writer].IsAlive);
    });
  }

  std::size_t batcherOf(std::size_t I, std::size_t Rank) const {
    return (Places == Topology::Shared ? Rank : I + Rank) % Nodes.size();
  }

  static void describe(const Node &Own, std::size_t Unread, std::ostream &Out) {
    Out << '|' << Own.HasBegun << Own.IsRunning << Own.HasDispatched
        << Own.ToldNotRun << Own.IsAlive << Own.IsFrozen << Own.Pending.size()
        << ' ';
    for (const bool Each : Own.ToFront)
      Out << Each;
    if (!Own.IsAlive)
      return; // The dead do nothing any more.
    Out << Unread << ' ';
    Own.Gate.describe(Out);
    Own.Batcher.describe(Out);
  }

  // Time that passed while the node stood still comes first.
  void wakeUp(std::size_t I) {
    act(I, Nodes[I].Gate.tick(now()));
    act(I, Nodes[I].Batcher.tick(now()));
  }

  void begin(std::size_t I) {
    wakeUp(I);
    Nodes[I].HasBegun = true;
    Nodes[I].Pending.hold(1, 0, now() + Limit);
    Once::Claim Wanted{"k", "h" + std::to_string(I), 7, issuedAt()};
    act(I, Nodes[I].Gate.begin(1, Wanted, now() + Limit, now()));
  }

  void deliver(std::size_t Index) {
    const Message Taken = Messages[Index];
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    wakeUp(Taken.To);
    if (const auto *Asked = std::get_if<Once::SendClaim>(&Taken.Content))
      ask(Taken.To, Taken.From, *Asked);
    else
      act(Taken.To, Nodes[Taken.To].Gate.decided(
                        std::get<Once::Verdict>(Taken.Content), now()));
  }

  void ask(std::size_t I, std::size_t From, const Once::SendClaim &Asked) {
    act(I, Nodes[I].Batcher.ask({Asked.Wanted, now() + Asked.Remaining, From},
                                now()));
  }

  void answer(std::size_t Index, Common::ResultCode Code) {
    const Append Taken = Appends[Index];
    Appends[Index].IsAnswered = true;
    dropDone();
    wakeUp(Taken.Writer);
    act(Taken.Writer,
        Nodes[Taken.Writer].Batcher.appendEnded(Taken.Content.Id, Code, now()));
  }

  void read(std::size_t I) {
    const Once::Batch Taken = Records[Nodes[I].NextRecord++];
    // The batcher pays no heed to the answer from now on.
    for (Append &Each : Appends)
      Each.IsAnswered |= Each.Content.Id == Taken.Id && Each.Writer == I;
    dropDone();
    wakeUp(I);
    act(I, Nodes[I].Batcher.recordRead(issuedAt(), Taken, now()));
  }

  void decideFront(std::size_t I) {
    Node &Own = Nodes[I];
    const bool IsWon = Own.ToFront.front();
    Own.ToFront.erase(Own.ToFront.begin());
    wakeUp(I);
    const auto Released = Own.Pending.release(1, IsWon, now());
    if (!Released || !IsWon)
      return;
    if (!Released->MayRun) {
      toldNotRun(I);
      Own.IsRunning = true; // The gate waits for its end.
      end(I, Common::ResultCode::ClaimUnavailable);
      return;
    }
    if (now() >= Released->Deadline)
      Violation = "dispatched past the deadline";
    Own.IsRunning = Own.HasDispatched = true;
    if (++Dispatches > 1)
      Violation = "dispatched twice";
    if (Own.ToldNotRun || KeyToldNotRun)
      Violation = "ran after it was told as not run";
  }

  void end(std::size_t I, Common::ResultCode Code) {
    wakeUp(I);
    Nodes[I].IsRunning = false;
    HasRun = HasRun || Code == Common::ResultCode::Ok;
    if (HasRun && KeyToldNotRun)
      Violation = "ran after its key was told as not run";
    Once::Outcome Ended;
    Ended.Result = Code;
    act(I, Nodes[I].Gate.ended(1, Ended));
  }

  void toldNotRun(std::size_t I) {
    Nodes[I].ToldNotRun = true;
    if (Nodes[I].HasDispatched)
      Violation = "told as not run after it was dispatched";
  }

  template <class Actions> void act(std::size_t I, const Actions &Wanted) {
    for (const auto &Each : Wanted)
      std::visit([this, I](const auto &Part) { this->perform(I, Part); }, Each);
  }

  void perform(std::size_t I, const Once::SendClaim &Part) {
    const std::size_t To = batcherOf(I, Part.Rank);
    if (To == I)
      ask(I, I, Part);
    else
      Messages.push_back({I, To, "ask" + Part.Wanted.Holder, Part});
  }
  void perform(std::size_t I, const Once::SendOutcome &Part) {
    act(I, Nodes[I].Batcher.record(Part.Ended, now()));
  }
  void perform(std::size_t I, const Once::LetRun &) {
    Nodes[I].ToFront.push_back(true);
  }
  void perform(std::size_t I, const Once::RefuseClaimed &Part) {
    if (Common::isNotRun(Part.Code))
      toldNotRun(I);
    Nodes[I].ToFront.push_back(false);
  }
  void perform(std::size_t I, const Once::GiveRecorded &Part) {
    HasReplayed = true;
    if (Common::isNotRun(Part.Ended.Result)) {
      KeyToldNotRun = true;
      if (HasRun)
        Violation = "the key was told as not run after it ran";
    }
    Nodes[I].ToFront.push_back(false);
  }
  void perform(std::size_t I, const Once::AppendBatch &Part) {
    Appends.push_back({I, Part.Content});
  }
  void perform(std::size_t I, const Once::TellVerdict &Part) {
    if (Part.Origin == I)
      act(I, Nodes[I].Gate.decided(Part.Told, now()));
    else
      Messages.push_back({I, Part.Origin,
                          "told" + Part.Told.Holder +
                              std::to_string(static_cast<int>(Part.Told.Kind)) +
                              (Part.Told.Ended ? Part.Told.Ended->Holder : ""),
                          Part.Told});
  }

  Topology Places;
  FaultBudget Faults;
  std::vector<Node> Nodes = {Node("b0"), Node("b1")};
  std::vector<Message> Messages;
  std::vector<Append> Appends;
  std::vector<Once::Batch> Records;
  std::size_t Phase = 0;
  int Dispatches = 0;
  bool HasRun = false;
  bool KeyToldNotRun = false;
  bool HasReplayed = false;
  std::string Violation;
};

struct CheckResult {
  std::size_t States = 0;
  std::string Violation;
  // Whether some run came to a dispatch and to a recorded answer.
  bool HasDispatched = false;
  bool HasReplayed = false;
  bool IsComplete = true;
};

// Visits every reachable state, depth first, until a promise is broken.
template <Once::WinRule Rule>
CheckResult checkAll(const ClaimWorld<Rule> &Start, std::size_t MaxStates) {
  CheckResult Result;
  std::unordered_set<std::size_t> Seen;
  std::vector<ClaimWorld<Rule>> Stack = {Start};
  while (!Stack.empty()) {
    const ClaimWorld<Rule> Current = std::move(Stack.back());
    Stack.pop_back();
    Result.HasDispatched |= Current.dispatches() > 0;
    Result.HasReplayed |= Current.hasReplayed();
    for (const auto &Each : Current.enabled()) {
      ClaimWorld<Rule> Next = Current;
      Next.apply(Each);
      if (!Next.violation().empty()) {
        Result.Violation = Next.violation();
        Result.States = Seen.size();
        return Result;
      }
      if (Seen.insert(std::hash<std::string>()(Next.signature())).second)
        Stack.push_back(std::move(Next));
    }
    if (Seen.size() >= MaxStates) {
      Result.IsComplete = false;
      break;
    }
  }
  Result.States = Seen.size();
  return Result;
}

} // namespace UnitTests
