#include <boost/test/unit_test.hpp>

#include "Rollout/StatusWriter.h"

BOOST_AUTO_TEST_SUITE(StatusWriters)

namespace {

using Common::Millis;
using Common::ResultCode;
using Common::SteadyTime;
using Rollout::Stage;
using Rollout::State;

const SteadyTime Now = SteadyTime(Millis(1'000));

Rollout::Progress progress(Stage Reached) {
  return {{"s", "v2", Common::Micros(12'000'000), 7}, Reached, Now};
}

Rollout::StatusesRead found(State Reached) {
  return {ResultCode::Ok, {{"s", "v2", Reached}}, 3};
}

} // namespace

BOOST_AUTO_TEST_CASE(WritesThatANewOrderRuns) {
  Rollout::StatusWriter Writer;
  Writer.begin(progress(Stage::Trial));
  BOOST_TEST(Writer.isDue(Now));
  Writer.onStarted();
  // The status is that of an earlier order for the same version.
  const auto Step = Writer.onStatuses(found(State::RolledBack), Now);
  BOOST_REQUIRE(Step.Write.has_value());
  BOOST_TEST((Step.Write->Reached == State::Running));
  BOOST_TEST(Writer.onWritten(ResultCode::Ok, Now).empty());
  BOOST_TEST(!Writer.isDue(Now));
}

BOOST_AUTO_TEST_CASE(TheFirstFinalStatusDecides) {
  Rollout::StatusWriter Writer;
  Writer.request(progress(Stage::Completed));
  Writer.onStarted();
  const auto First = Writer.onStatuses(found(State::Running), Now);
  BOOST_REQUIRE(First.Write.has_value());
  // Another coordinator writes in between.
  BOOST_TEST(Writer.onWritten(ResultCode::PublishRaceLost, Now).empty());
  BOOST_TEST(!Writer.isDue(Now));
  BOOST_TEST(Writer.isDue(Now + Millis(500)));
  const auto Second = Writer.onStatuses(found(State::RolledBack), Now);
  BOOST_TEST(!Second.Write.has_value());
  BOOST_REQUIRE(Second.Adopted.size() == 1);
  BOOST_TEST((Second.Adopted[0].Reached == Stage::RolledBack));
}

BOOST_AUTO_TEST_CASE(AFinalStageIsInForceWhenItIsWritten) {
  Rollout::StatusWriter Writer;
  Writer.request(progress(Stage::Completed));
  Writer.onStarted();
  // The store is away.
  BOOST_TEST(!Writer.onStatuses({ResultCode::LogUnavailable, {}, 0}, Now)
                  .Write.has_value());
  BOOST_TEST(Writer.isDue(Now + Millis(500)));
  Writer.onStarted();
  BOOST_TEST(Writer.onStatuses(found(State::Running), Now).Write.has_value());
  const auto Written = Writer.onWritten(ResultCode::Ok, Now);
  BOOST_REQUIRE(Written.size() == 1);
  BOOST_TEST((Written[0].Reached == Stage::Completed));
}

BOOST_AUTO_TEST_CASE(ResumesOnlyWhatHasNotEnded) {
  Rollout::StatusWriter Writer;
  Writer.resume(progress(Stage::Trial));
  auto Step = Writer.onStatuses(found(State::Completed), Now);
  BOOST_REQUIRE(Step.Adopted.size() == 1);
  BOOST_TEST((Step.Adopted[0].Reached == Stage::Completed));
  Writer.resume(progress(Stage::Trial));
  Step = Writer.onStatuses(found(State::Running), Now);
  BOOST_REQUIRE(Step.Adopted.size() == 1);
  BOOST_TEST((Step.Adopted[0].Reached == Stage::Trial));
}

// Guards against a status that the store lost when it came back from an older
// copy: nobody wrote it again.
BOOST_AUTO_TEST_CASE(WritesALostStatusAgain) {
  for (const Stage Reached :
       {Stage::Trial, Stage::Completed, Stage::RolledBack}) {
    Rollout::StatusWriter Writer;
    Writer.restore(progress(Reached));
    BOOST_TEST(Writer.isDue(Now));
    const auto Lost = Writer.onStatuses({ResultCode::Ok, {}, 3}, Now);
    BOOST_REQUIRE(Lost.Write.has_value());
    Writer.onWritten(ResultCode::Ok, Now);
    BOOST_TEST(!Writer.isDue(Now));
  }
  // The copy holds an earlier status of the order.
  Rollout::StatusWriter Writer;
  Writer.restore(progress(Stage::RolledBack));
  const auto Earlier = Writer.onStatuses(found(State::Running), Now);
  BOOST_REQUIRE(Earlier.Write.has_value());
  BOOST_TEST((Earlier.Write->Reached == State::RolledBack));
}

BOOST_AUTO_TEST_CASE(WritesNoStatusThatTheStoreStillHolds) {
  for (const auto &[Reached, Held] :
       {std::pair(Stage::Full, State::Running),
        std::pair(Stage::Completed, State::Completed),
        // Another coordinator has written the end since.
        std::pair(Stage::Full, State::RolledBack)}) {
    Rollout::StatusWriter Writer;
    Writer.restore(progress(Reached));
    BOOST_TEST(!Writer.onStatuses(found(Held), Now).Write.has_value());
    BOOST_TEST(!Writer.isDue(Now));
  }
  // A decision that is to be written anyway is newer.
  Rollout::StatusWriter Writer;
  Writer.request(progress(Stage::RolledBack));
  Writer.restore(progress(Stage::Full));
  const auto Step = Writer.onStatuses(found(State::Running), Now);
  BOOST_REQUIRE(Step.Write.has_value());
  BOOST_TEST((Step.Write->Reached == State::RolledBack));
}

BOOST_AUTO_TEST_SUITE_END()
