#include <boost/test/unit_test.hpp>

#include "RolloutModel.h"

BOOST_AUTO_TEST_SUITE(Coordinators)

namespace {

using namespace UnitTests;
using Rollout::Outcome;
using Rollout::Stage;

constexpr Millis RollbackLimit{5'000};

// Every third call.
ModelEnd oftenFailed() {
  static int Count = 0;
  return ++Count % 3 == 0 ? ModelEnd{Outcome::Failed, Micros(1'000)}
                          : ModelEnd();
}

void checkRolledBackInBounds(RolloutModel &Model) {
  Model.run();
  BOOST_TEST((Model.stage() == Stage::RolledBack), Model.LastReason);
  // Until the deadline nothing goes to the version any more.
  Model.runFor(Model.Duration - Model.elapsed());
  BOOST_TEST(static_cast<double>(Model.TargetCalls) <= Model.exposureBound());
  if (Model.BadAnswers >= 50)
    BOOST_TEST((Model.LastBadAt - Model.FiftiethBadAt <= RollbackLimit));
}

} // namespace

BOOST_AUTO_TEST_CASE(CompletesAGoodVersionInTime) {
  RolloutModel Model;
  Model.run();
  BOOST_TEST((Model.stage() == Stage::Completed), Model.LastReason);
  BOOST_TEST((Model.elapsed() <= Model.Duration - Millis(1'500)));
}

BOOST_AUTO_TEST_CASE(KeepsTheTrialBelowTheBound) {
  RolloutModel Model;
  Model.IsDecided = false;
  Model.runFor(Model.Duration);
  BOOST_TEST(static_cast<double>(Model.TargetCalls) <
             0.07 * static_cast<double>(Model.Calls));
  BOOST_TEST(static_cast<double>(Model.TargetCalls) >
             0.05 * static_cast<double>(Model.Calls));
}

BOOST_AUTO_TEST_CASE(RollsBackAVersionThatFailsAtOnce) {
  RolloutModel Model;
  Model.Behaviour = [](const ModelCall &) { return oftenFailed(); };
  checkRolledBackInBounds(Model);
  BOOST_TEST((Model.StageAt.at(Stage::Withdrawn) < Millis(3'000)));
}

BOOST_AUTO_TEST_CASE(RollsBackAVersionThatIsSlow) {
  RolloutModel Model;
  Model.Behaviour = [](const ModelCall &) {
    return ModelEnd{Outcome::Answered, Micros(40'000)};
  };
  checkRolledBackInBounds(Model);
}

BOOST_AUTO_TEST_CASE(RollsBackAVersionThatFailsLater) {
  // Begins in the trial, in the load stage and in the full stage.
  for (const Millis Begin : {Millis(2'000), Millis(5'500), Millis(6'500)}) {
    RolloutModel Model;
    Model.OpenBaseServers = 1;
    Model.Behaviour = [Begin](const ModelCall &Call) {
      return Call.At < Begin ? ModelEnd() : oftenFailed();
    };
    checkRolledBackInBounds(Model);
  }
}

BOOST_AUTO_TEST_CASE(RollsBackAVersionThatFailsOneKind) {
  RolloutModel Model;
  Model.Behaviour = [](const ModelCall &Call) {
    return Call.Kind == "rare" ? oftenFailed() : ModelEnd();
  };
  checkRolledBackInBounds(Model);
}

BOOST_AUTO_TEST_CASE(RollsBackAVersionThatFailsUnderLoad) {
  RolloutModel Model;
  Model.Behaviour = [](const ModelCall &Call) {
    return Call.TargetShare < 0.15 ? ModelEnd() : oftenFailed();
  };
  checkRolledBackInBounds(Model);
  BOOST_TEST(Model.StageAt.contains(Stage::Load));
}

BOOST_AUTO_TEST_CASE(NeverCompletesWhileCallsRunOnOtherServers) {
  RolloutModel Model;
  Model.OpenBaseServers = 1;
  Model.run();
  BOOST_TEST((Model.stage() == Stage::Full));
}

BOOST_AUTO_TEST_CASE(AnotherCoordinatorContinues) {
  RolloutModel Model;
  Model.runFor(Millis(5'500));
  const Stage Before = Model.stage();
  Model.Deciders.front() = Rollout::Coordinator();
  Model.Deciders.front().setDataCentres({"here"});
  Model.run();
  BOOST_TEST((Before == Stage::Trial || Before == Stage::Load));
  BOOST_TEST((Model.stage() == Stage::Completed), Model.LastReason);
}

BOOST_AUTO_TEST_CASE(MergesProgressInAnyOrder) {
  Rollout::Progress Older;
  Older.Ordered = {"s", "v2", Micros(1), 3};
  Older.Reached = Stage::Full;
  Rollout::Progress Withdrawn = Older;
  Withdrawn.Reached = Stage::Withdrawn;
  Rollout::Progress Newer = Older;
  Newer.Ordered.Position = 4;
  Newer.Reached = Stage::Trial;
  Rollout::ProgressTable Table;
  BOOST_TEST(Table.merge(Withdrawn));
  BOOST_TEST(!Table.merge(Older));
  BOOST_TEST(Table.merge(Newer));
  BOOST_TEST(!Table.merge(Withdrawn));
  BOOST_TEST((Table.find("s")->Reached == Stage::Trial));
}

BOOST_AUTO_TEST_SUITE_END()
