#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "Rollout/Coordinator.h"
#include "Rollout/ServerWatch.h"
#include "Rollout/VersionPlanner.h"
#include "Routing/VersionedServers.h"

namespace UnitTests {

using Common::Micros;
using Common::Millis;
using Common::SteadyTime;

// How a call of the target version ends.
struct ModelCall {
  std::string Kind;
  // Since the order.
  Common::Duration At{0};
  // The share of all calls that went to the target version in the last ticks.
  double TargetShare = 0;
};
struct ModelEnd {
  Rollout::Outcome End = Rollout::Outcome::Answered;
  Micros Time{10'000};
};

// Replays the load of a service in virtual time: several nodes divide its calls
// and a coordinator decides on late reports of how they ended.
struct RolloutModel {
  static constexpr int CallsPerSecond = 400;
  static constexpr int NodeCount = 20;
  static constexpr int OldServers = 12;
  static constexpr int NewServers = 5;
  static constexpr Millis Tick{50};
  static constexpr Millis ReportDelay{500};

  RolloutModel() {
    for (int Index = 0; Index < NodeCount; ++Index) {
      Planners.emplace_back("node" + std::to_string(Index),
                            Rollout::Bounds{0.1});
      Nodes.emplace_back();
    }
    for (int Index = 0; Index < OldServers + NewServers; ++Index)
      View.ByService["s"].push_back({"i" + std::to_string(Index), "10.0.0.1:1",
                                     "here", 6,
                                     Index < OldServers ? "v1" : "v2"});
    Counts["s"] = {{"v1", OldServers}, {"v2", NewServers}};
    Deciders.emplace_back();
    Deciders.back().setDataCentres({"here"});
    Rollout::Progress Ordered;
    Ordered.Ordered = {"s", "v2", Duration, 7};
    Ordered.KnownSince = Start;
    Table.merge(Ordered);
  }

  Rollout::Stage stage() const { return Table.find("s")->Reached; }
  Common::Duration elapsed() const { return Now - Start; }

  // Runs until a final stage or the deadline.
  void run() {
    while (elapsed() < Duration && !Rollout::isFinal(stage()))
      step();
  }
  void runFor(Common::Duration Length) {
    for (const SteadyTime End = Now + Length; Now < End;)
      step();
  }

  void step() {
    Now += Tick;
    const auto CallCount = CallsPerSecond * Tick.count() / 1000;
    std::int64_t ToTarget = 0;
    for (std::int64_t Index = 0; Index < CallCount; ++Index)
      ToTarget += call() ? 1 : 0;
    constexpr double Smoothing = 0.1;
    TargetShare += Smoothing * (static_cast<double>(ToTarget) /
                                    static_cast<double>(CallCount) -
                                TargetShare);
    TargetCalls += ToTarget;
    Calls += CallCount;
    report();
    if (!IsDecided)
      return;
    for (const Rollout::Decision &Due : Deciders.front().decide(Table, Now)) {
      LastReason = Due.Reason;
      Table.merge(Due.Next);
      StageAt[Due.Next.Reached] = elapsed();
    }
  }

  // Returns whether the call went to the target version.
  bool call() {
    const auto Node = static_cast<std::size_t>(Random() % NodeCount);
    Nodes[Node].rebuild(View, Planners[Node].plan(Table, Counts, Now));
    Routing::DividedServers *Divided = Nodes[Node].find("s");
    const std::vector<Routing::ServerEntry> &Servers =
        Divided ? *Divided->candidates().front() : View.ByService["s"];
    const Routing::ServerEntry &Server = Servers[Random() % Servers.size()];
    if (Divided)
      Divided->onChosen(Server);
    const bool IsTarget = Server.Version == "v2";
    // A node that closed its server refuses, so that nothing reaches it.
    Rollout::ServerWatch &Watch = Watches[Server.Server];
    Watch.follow({7, IsTarget, false});
    if (Watch.isClosed())
      return false;
    const std::string Kind = Random() % 4 == 0 ? "rare" : "usual";
    const ModelEnd End =
        IsTarget ? Behaviour({Kind, elapsed(), TargetShare}) : ModelEnd();
    Watch.callEnded(Kind, End.End, End.Time, Now);
    Rollout::KindEvidence &Counted = (IsTarget ? Target : Base)[Kind];
    if (End.End == Rollout::Outcome::Answered) {
      ++Counted.Answered;
      ++Counted.ByTime.at(Rollout::timeBucket(End.Time));
    } else {
      ++Counted.Failed;
    }
    if (IsTarget && (End.End == Rollout::Outcome::Failed ||
                     End.Time > 2 * ModelEnd().Time)) {
      if (++BadAnswers == 50)
        FiftiethBadAt = elapsed();
      LastBadAt = elapsed();
    }
    return IsTarget;
  }

  void report() {
    Rollout::Report Report;
    Report.DataCentre = "here";
    Report.Service = "s";
    Report.Position = 7;
    Report.Target = Target;
    Report.Base = Base;
    Report.TargetServers = NewServers;
    Report.OpenBaseServers =
        stage() == Rollout::Stage::Full ? OpenBaseServers : OldServers;
    Sent.emplace_back(Now, Report);
    while (!Sent.empty() && Now - Sent.front().first >= ReportDelay) {
      for (Rollout::Coordinator &Decider : Deciders)
        Decider.handleReport(Sent.front().second, Now);
      Sent.pop_front();
    }
  }

  // The most calls that a bad version may get.
  double exposureBound() const {
    constexpr double Share = 0.1;
    constexpr double Slack = 50;
    const std::chrono::duration<double> Whole = Duration;
    return Share * CallsPerSecond * Whole.count() + Slack;
  }

  Micros Duration{12'000'000};
  SteadyTime Start = SteadyTime(Millis(1000));
  SteadyTime Now = Start;
  std::mt19937_64 Random{11};
  std::function<ModelEnd(const ModelCall &)> Behaviour = [](const ModelCall &) {
    return ModelEnd();
  };
  bool IsDecided = true;
  int OpenBaseServers = 0;
  Rollout::ProgressTable Table;
  std::vector<Rollout::Coordinator> Deciders;
  std::map<Rollout::Stage, Common::Duration> StageAt;
  std::string LastReason;
  std::int64_t Calls = 0;
  std::int64_t TargetCalls = 0;
  int BadAnswers = 0;
  Common::Duration FiftiethBadAt{0};
  Common::Duration LastBadAt{0};

private:
  Routing::ServerView View;
  Rollout::VersionCounts Counts;
  std::vector<Rollout::VersionPlanner> Planners;
  std::vector<Routing::VersionedServers> Nodes;
  std::map<std::string, Rollout::ServerWatch> Watches;
  Rollout::Evidence Target;
  Rollout::Evidence Base;
  double TargetShare = 0;
  std::deque<std::pair<SteadyTime, Rollout::Report>> Sent;
};

} // namespace UnitTests
