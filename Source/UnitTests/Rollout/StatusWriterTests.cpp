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

BOOST_AUTO_TEST_SUITE_END()
