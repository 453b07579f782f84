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
#include "Once/ClaimClient.h"
#include "Once/PendingCalls.h"

namespace UnitTests {

// Which batcher a node sends its claims to first: one that both nodes share, or
// its own.
enum class Topology { Shared, Own };

// How many faults of each kind may happen in one run.
struct FaultBudget {
  int LostResponses = 0;
  int Freezes = 0;
  int Crashes = 0;
  // Whether the run has a phase in which claims are sent again before their
  // deadline. Otherwise time advances past the deadline in one step.
  bool HasResendPhase = false;
};

// A state of the claim protocol with a log and two nodes, each of which has a
// call under the same key. Every node runs the production ClaimClient,
// ClaimBatcher and PendingCalls. The model delivers messages in any order and
// lists the events that can happen next.
template <Once::ClaimPolicy Policy> class ClaimModel {
public:
  struct Event {
    enum class Kind {
      Begin,
      Deliver,
      Commit,
      Respond,
      LoseResponse,
      ReadRecord,
      ReceiveDecision,
      FinishRun,
      FinishNotRun,
      Timer,
      Freeze,
      Resume,
      Crash,
      AdvanceTime
    };
    Kind Type;
    std::size_t Index = 0;
  };

  ClaimModel(Topology Batchers, FaultBudget Faults)
      : Batchers(Batchers), Faults(Faults) {}

  std::vector<Event> enabled() const {
    std::vector<Event> Result;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      addNodeEvents(I, Result);
    for (std::size_t I = 0; I < Messages.size(); ++I)
      if (Nodes[Messages[I].To].canStep())
        Result.push_back({Event::Kind::Deliver, I});
    for (std::size_t I = 0; I < Appends.size(); ++I)
      addAppendEvents(I, Result);
    if (Phase + 1 < Times.size())
      Result.push_back({Event::Kind::AdvanceTime, 0});
    return Result;
  }

  void apply(const Event &Step) {
    using Kind = typename Event::Kind;
    switch (Step.Type) {
    case Kind::Begin:
      begin(Step.Index);
      break;
    case Kind::Deliver:
      deliver(Step.Index);
      break;
    case Kind::Commit:
      Records.push_back(Appends[Step.Index].Content);
      Appends[Step.Index].IsCommitted = true;
      dropFinishedAppends();
      break;
    case Kind::Respond:
      finishAppend(Step.Index, Common::ResultCode::Ok);
      break;
    case Kind::LoseResponse:
      --Faults.LostResponses;
      finishAppend(Step.Index, Common::ResultCode::LogAnswerLost);
      break;
    case Kind::ReadRecord:
      readRecord(Step.Index);
      break;
    case Kind::ReceiveDecision:
      receiveDecision(Step.Index);
      break;
    case Kind::FinishRun:
      finishCall(Step.Index, Common::ResultCode::Ok);
      break;
    case Kind::FinishNotRun:
      finishCall(Step.Index, Common::ResultCode::NoLiveServer);
      break;
    case Kind::Timer:
      runTimers(Step.Index);
      break;
    case Kind::Freeze:
      --Faults.Freezes;
      Nodes[Step.Index].IsFrozen = true;
      break;
    case Kind::Resume:
      Nodes[Step.Index].IsFrozen = false;
      break;
    case Kind::Crash:
      --Faults.Crashes;
      Nodes[Step.Index].IsAlive = false;
      break;
    case Kind::AdvanceTime:
      Phase = Faults.HasResendPhase ? Phase + 1 : Times.size() - 1;
      break;
    }
  }

  // Describes how at-most-once execution was violated. Empty if it was not.
  const std::string &violation() const { return Violation; }
  int dispatches() const { return Dispatches; }
  bool hasReplayed() const { return HasReplayed; }

  // States with equal signatures are equivalent.
  std::string signature() const {
    std::ostringstream Out;
    Out << Phase << ' ' << Faults.LostResponses << Faults.Freezes
        << Faults.Crashes << Dispatches << HasRun << KeyReportedNotRun;
    for (const Node &Current : Nodes)
      describe(Current, Records.size() - Current.NextRecord, Out);
    // Records that all live nodes have read are already reflected in the states
    // of the nodes.
    std::size_t FirstUnread = Records.size();
    for (const Node &Current : Nodes)
      if (Current.IsAlive)
        FirstUnread = std::min(FirstUnread, Current.NextRecord);
    for (std::size_t I = FirstUnread; I < Records.size(); ++I)
      Out << '|' << Records[I].Id;
    // The order of appends and messages in flight does not matter.
    std::multiset<std::string> InFlight;
    for (const Append &Started : Appends)
      InFlight.insert(Started.Content.Id + (Started.IsCommitted ? "L" : "l") +
                      (Started.IsFinished ? "A" : "a"));
    for (const Message &Sent : Messages)
      InFlight.insert(std::to_string(Sent.To) + Sent.Label);
    for (const std::string &Label : InFlight)
      Out << '|' << Label;
    return Out.str();
  }

private:
  static constexpr Common::Micros CallTimeout{1'000'000};
  static constexpr std::array<Common::Micros, 3> Times = {
      Common::Micros(0), Common::Micros(500'000), Common::Micros(1'500'000)};

  struct Message {
    std::size_t From = 0;
    std::size_t To = 0;
    std::string Label;
    std::variant<Once::SendClaim, Once::ClaimDecision> Content;
  };
  struct Append {
    std::size_t Writer = 0;
    Once::Batch Content;
    bool IsCommitted = false;
    // The writer no longer waits for the response.
    bool IsFinished = false;
  };
  struct Node {
    Once::ClaimClient Client{clientLimits()};
    Once::ClaimBatcher<Policy> Batcher;
    Once::PendingCalls<int> Pending;
    // Whether each claim was won, for decisions that have not reached the
    // ingress.
    std::vector<bool> Decisions;
    std::size_t NextRecord = 0;
    bool HasBegun = false;
    bool IsRunning = false;
    bool HasDispatched = false;
    bool ReportedNotRun = false;
    bool IsAlive = true;
    bool IsFrozen = false;

    explicit Node(const std::string &Name) : Batcher(Name, batcherLimits()) {
      Batcher.markReady();
    }
    bool canStep() const { return IsAlive && !IsFrozen; }
  };

  static Once::ClaimLimits clientLimits() {
    Once::ClaimLimits Result;
    Result.RankCount = 2;
    return Result;
  }
  static Once::BatcherLimits batcherLimits() {
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
    const Node &Current = Nodes[I];
    if (!Current.IsAlive)
      return;
    if (Current.IsFrozen) {
      Result.push_back({Kind::Resume, I});
      return;
    }
    if (!Current.HasBegun && Phase == 0)
      Result.push_back({Kind::Begin, I});
    if (Current.NextRecord < Records.size())
      Result.push_back({Kind::ReadRecord, I});
    if (!Current.Decisions.empty())
      Result.push_back({Kind::ReceiveDecision, I});
    if (Current.IsRunning) {
      Result.push_back({Kind::FinishRun, I});
      Result.push_back({Kind::FinishNotRun, I});
    }
    const auto ClientDue = Current.Client.nextDue();
    const auto BatcherDue = Current.Batcher.nextDue();
    if ((ClientDue && *ClientDue <= now()) ||
        (BatcherDue && *BatcherDue <= now()))
      Result.push_back({Kind::Timer, I});
    if (Faults.Freezes > 0)
      Result.push_back({Kind::Freeze, I});
    if (Faults.Crashes > 0)
      Result.push_back({Kind::Crash, I});
  }

  void addAppendEvents(std::size_t I, std::vector<Event> &Result) const {
    using Kind = typename Event::Kind;
    const Append &Started = Appends[I];
    // An append can reach the log even when its writer is frozen, has crashed
    // or has stopped waiting for it.
    if (!Started.IsCommitted)
      Result.push_back({Kind::Commit, I});
    if (Started.IsFinished || !Nodes[Started.Writer].canStep())
      return;
    if (Started.IsCommitted)
      Result.push_back({Kind::Respond, I});
    if (Faults.LostResponses > 0)
      Result.push_back({Kind::LoseResponse, I});
  }

  void dropFinishedAppends() {
    std::erase_if(Appends, [this](const Append &Started) {
      return Started.IsCommitted &&
             (Started.IsFinished || !Nodes[Started.Writer].IsAlive);
    });
  }

  std::size_t batcherOf(std::size_t I, std::size_t Rank) const {
    return (Batchers == Topology::Shared ? Rank : I + Rank) % Nodes.size();
  }

  static void describe(const Node &Current, std::size_t Unread,
                       std::ostream &Out) {
    Out << '|' << Current.HasBegun << Current.IsRunning << Current.HasDispatched
        << Current.ReportedNotRun << Current.IsAlive << Current.IsFrozen
        << Current.Pending.size() << ' ';
    for (const bool IsWon : Current.Decisions)
      Out << IsWon;
    if (!Current.IsAlive)
      return; // A crashed node never acts again.
    Out << Unread << ' ';
    Current.Client.describe(Out);
    Current.Batcher.describe(Out);
  }

  // Processes due timers before any other input, as a node does after it was
  // frozen.
  void runTimers(std::size_t I) {
    performAll(I, Nodes[I].Client.tick(now()));
    performAll(I, Nodes[I].Batcher.tick(now()));
  }

  void begin(std::size_t I) {
    runTimers(I);
    Nodes[I].HasBegun = true;
    Nodes[I].Pending.hold(1, 0, now() + CallTimeout);
    Once::Claim Requested{"k", "h" + std::to_string(I), 7, issuedAt()};
    performAll(I,
               Nodes[I].Client.begin(1, Requested, now() + CallTimeout, now()));
  }

  void deliver(std::size_t Index) {
    const Message Delivered = Messages[Index];
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    runTimers(Delivered.To);
    if (const auto *Request = std::get_if<Once::SendClaim>(&Delivered.Content))
      submitClaim(Delivered.To, Delivered.From, *Request);
    else
      performAll(Delivered.To,
                 Nodes[Delivered.To].Client.onDecision(
                     std::get<Once::ClaimDecision>(Delivered.Content), now()));
  }

  void submitClaim(std::size_t I, std::size_t From,
                   const Once::SendClaim &Request) {
    performAll(
        I, Nodes[I].Batcher.submitClaim(
               {Request.Requested, now() + Request.Remaining, From}, now()));
  }

  void finishAppend(std::size_t Index, Common::ResultCode Code) {
    const Append Finished = Appends[Index];
    Appends[Index].IsFinished = true;
    dropFinishedAppends();
    runTimers(Finished.Writer);
    performAll(Finished.Writer, Nodes[Finished.Writer].Batcher.onAppendFinished(
                                    Finished.Content.Id, Code, now()));
  }

  void readRecord(std::size_t I) {
    const Once::Batch Record = Records[Nodes[I].NextRecord++];
    // The batcher ignores the response to an append that it has read back.
    for (Append &Started : Appends)
      Started.IsFinished |=
          Started.Content.Id == Record.Id && Started.Writer == I;
    dropFinishedAppends();
    runTimers(I);
    performAll(I, Nodes[I].Batcher.onRecordRead(issuedAt(), Record, now()));
  }

  void receiveDecision(std::size_t I) {
    Node &Current = Nodes[I];
    const bool IsWon = Current.Decisions.front();
    Current.Decisions.erase(Current.Decisions.begin());
    runTimers(I);
    const auto Released = Current.Pending.release(1, IsWon, now());
    if (!Released || !IsWon)
      return;
    if (!Released->MayRun) {
      reportNotRun(I);
      Current.IsRunning = true; // The client waits for the call to end.
      finishCall(I, Common::ResultCode::ClaimUnavailable);
      return;
    }
    if (now() >= Released->Deadline)
      Violation = "dispatched past the deadline";
    Current.IsRunning = Current.HasDispatched = true;
    if (++Dispatches > 1)
      Violation = "dispatched twice";
    if (Current.ReportedNotRun || KeyReportedNotRun)
      Violation = "dispatched after it was reported as not run";
  }

  void finishCall(std::size_t I, Common::ResultCode Code) {
    runTimers(I);
    Nodes[I].IsRunning = false;
    HasRun = HasRun || Code == Common::ResultCode::Ok;
    if (HasRun && KeyReportedNotRun)
      Violation = "ran after its key was reported as not run";
    Once::Outcome Result;
    Result.Result = Code;
    performAll(I, Nodes[I].Client.onCallEnded(1, Result));
  }

  void reportNotRun(std::size_t I) {
    Nodes[I].ReportedNotRun = true;
    if (Nodes[I].HasDispatched)
      Violation = "reported as not run after it was dispatched";
  }

  template <class Actions> void performAll(std::size_t I, const Actions &List) {
    for (const auto &Action : List)
      std::visit([this, I](const auto &Part) { this->perform(I, Part); },
                 Action);
  }

  void perform(std::size_t I, const Once::SendClaim &Part) {
    const std::size_t To = batcherOf(I, Part.Rank);
    if (To == I)
      submitClaim(I, I, Part);
    else
      Messages.push_back({I, To, "ask" + Part.Requested.Holder, Part});
  }
  void perform(std::size_t I, const Once::SendOutcome &Part) {
    performAll(I, Nodes[I].Batcher.submitOutcome(Part.Content, now()));
  }
  void perform(std::size_t I, const Once::AdmitCall &) {
    Nodes[I].Decisions.push_back(true);
  }
  void perform(std::size_t I, const Once::RefuseCall &Part) {
    if (Common::isNotRun(Part.Code))
      reportNotRun(I);
    Nodes[I].Decisions.push_back(false);
  }
  void perform(std::size_t I, const Once::ReplayOutcome &Part) {
    HasReplayed = true;
    if (Common::isNotRun(Part.Recorded.Result)) {
      KeyReportedNotRun = true;
      if (HasRun)
        Violation = "the key was reported as not run after it ran";
    }
    Nodes[I].Decisions.push_back(false);
  }
  void perform(std::size_t I, const Once::AppendBatch &Part) {
    Appends.push_back({I, Part.Content});
  }
  void perform(std::size_t I, const Once::SendDecision &Part) {
    if (Part.Origin == I)
      performAll(I, Nodes[I].Client.onDecision(Part.Decision, now()));
    else
      Messages.push_back(
          {I, Part.Origin,
           "told" + Part.Decision.Holder +
               std::to_string(static_cast<int>(Part.Decision.Kind)) +
               (Part.Decision.Recorded ? Part.Decision.Recorded->Holder : ""),
           Part.Decision});
  }

  Topology Batchers;
  FaultBudget Faults;
  std::vector<Node> Nodes = {Node("b0"), Node("b1")};
  std::vector<Message> Messages;
  std::vector<Append> Appends;
  std::vector<Once::Batch> Records;
  std::size_t Phase = 0;
  int Dispatches = 0;
  bool HasRun = false;
  bool KeyReportedNotRun = false;
  bool HasReplayed = false;
  std::string Violation;
};

struct ExplorationResult {
  std::size_t States = 0;
  std::string Violation;
  // Whether any state with a dispatched call, and any with a replayed outcome,
  // was reached.
  bool HasDispatched = false;
  bool HasReplayed = false;
  bool IsComplete = true;
};

// Visits the reachable states depth first until at-most-once execution is
// violated or MaxStates states have been visited.
template <Once::ClaimPolicy Policy>
ExplorationResult exploreStates(const ClaimModel<Policy> &Start,
                                std::size_t MaxStates) {
  ExplorationResult Result;
  std::unordered_set<std::size_t> Visited;
  std::vector<ClaimModel<Policy>> Stack = {Start};
  while (!Stack.empty()) {
    const ClaimModel<Policy> Current = std::move(Stack.back());
    Stack.pop_back();
    Result.HasDispatched |= Current.dispatches() > 0;
    Result.HasReplayed |= Current.hasReplayed();
    for (const auto &Step : Current.enabled()) {
      ClaimModel<Policy> Next = Current;
      Next.apply(Step);
      if (!Next.violation().empty()) {
        Result.Violation = Next.violation();
        Result.States = Visited.size();
        return Result;
      }
      if (Visited.insert(std::hash<std::string>()(Next.signature())).second)
        Stack.push_back(std::move(Next));
    }
    if (Visited.size() >= MaxStates) {
      Result.IsComplete = false;
      break;
    }
  }
  Result.States = Visited.size();
  return Result;
}

} // namespace UnitTests
