#include <boost/test/unit_test.hpp>

#include "Common/Rendezvous.h"
#include "Once/ClaimBatcher.h"
#include "Once/ClaimClient.h"

BOOST_AUTO_TEST_SUITE(ClaimBatchers)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Once;

struct Fixture {
  Common::SteadyTime Now{Millis(1000)};
  Common::WallTime LogNow{std::chrono::hours(1)};
  BatcherLimits Limits;
  std::vector<ClaimDecision> Decisions;
  std::vector<Batch> Appended;

  void collect(const BatcherActions &Actions) {
    for (const BatcherAction &Action : Actions)
      if (const auto *Sent = std::get_if<SendDecision>(&Action))
        Decisions.push_back(Sent->Decision);
      else
        Appended.push_back(std::get<AppendBatch>(Action).Content);
  }
  ClaimRequest makeRequest(const std::string &Key, const HolderId &Holder,
                           std::uint64_t Fingerprint = 1) const {
    return {{Key, Holder, Fingerprint, LogNow}, Now + Millis(5000), 0};
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(decidesNoClaimBeforeTheWindowIsRead, Fixture) {
  ClaimBatcher<> Tested("b", Limits);
  collect(Tested.submitClaim(makeRequest("k", "h"), Now));
  BOOST_TEST(Appended.empty());
  BOOST_TEST((Decisions.at(0).Kind == DecisionKind::NotReady));
}

BOOST_FIXTURE_TEST_CASE(firstClaimInTheLogWinsAndItsOutcomeIsSent, Fixture) {
  ClaimBatcher<> Tested("b", Limits);
  Tested.markReady();
  collect(Tested.submitClaim(makeRequest("k", "h"), Now));
  collect(Tested.onAppendFinished(Appended.at(0).Id, ResultCode::Ok, Now));
  BOOST_TEST(Decisions.empty());
  Batch Other{"o/1", {makeRequest("k", "other").Requested}, {}};
  collect(Tested.onRecordRead(LogNow, Other, Now));
  collect(Tested.onRecordRead(LogNow, Appended.at(0), Now));
  BOOST_TEST((Decisions.at(0).Kind == DecisionKind::HeldByOther));
  Outcome Result;
  Result.Key = "k";
  Result.Holder = "h"; // Not the call that holds the key.
  collect(Tested.onRecordRead(LogNow, {"o/2", {}, {Result}}, Now));
  BOOST_TEST((Decisions.back().Kind == DecisionKind::HeldByOther));
  Result.Holder = "other";
  collect(Tested.onRecordRead(LogNow, {"o/3", {}, {Result}}, Now));
  BOOST_TEST((Decisions.back().Kind == DecisionKind::Completed));
  collect(Tested.submitClaim(makeRequest("k", "third", 2), Now));
  BOOST_TEST((Decisions.back().Kind == DecisionKind::FingerprintMismatch));
}

BOOST_FIXTURE_TEST_CASE(limitsPendingClaimsDuringALogOutage, Fixture) {
  Limits.MaxPending = 3;
  ClaimBatcher<> Tested("b", Limits);
  Tested.markReady();
  for (int I = 0; I < 10; ++I)
    collect(Tested.submitClaim(
        makeRequest("k" + std::to_string(I), "h" + std::to_string(I)), Now));
  BOOST_TEST(Decisions.size() == 7);
  BOOST_TEST((Decisions.at(0).Kind == DecisionKind::Refused));
  collect(Tested.onAppendFinished("b/1", ResultCode::LogUnavailable, Now));
  collect(Tested.tick(Now + Limits.RetryDelay));
  BOOST_TEST(Appended.size() == 2);
  BOOST_TEST(Appended.back().Claims.size() == 3);
  Now += Millis(5000);
  collect(Tested.onAppendFinished("b/2", ResultCode::LogUnavailable, Now));
  collect(Tested.tick(Now + Limits.RetentionAfterDeadline));
  BOOST_TEST(Appended.size() == 2);
  BOOST_TEST(Tested.pendingClaims() == 0);
}

BOOST_FIXTURE_TEST_CASE(rejectsAndRemovesClaimsOutsideTheirWindow, Fixture) {
  ClaimBatcher<> Tested("b", Limits);
  Tested.markReady();
  collect(Tested.submitClaim(makeRequest("k", "h"), Now));
  const Common::WallTime Late = LogNow + Limits.Window.Length;
  collect(Tested.onRecordRead(
      LogNow, {"o/1", {makeRequest("j", "o").Requested}, {}}, Now));
  BOOST_TEST(Tested.indexedClaims() == 1);
  collect(Tested.onRecordRead(Late, Appended.at(0), Now));
  BOOST_TEST((Decisions.at(0).Kind == DecisionKind::Expired));
  BOOST_TEST(Tested.indexedClaims() == 0);
}

BOOST_FIXTURE_TEST_CASE(limitsTheTotalSizeOfResponseBodies, Fixture) {
  ClaimIndex Tested(Limits.Window, 10);
  for (const std::string Key : {"a", "b"}) {
    Outcome Result;
    Result.Key = Result.Holder = Key;
    Result.Body = "12345678";
    Tested.apply(LogNow, {"o", {makeRequest(Key, Key).Requested}, {Result}});
  }
  BOOST_TEST(Tested.find("a")->Recorded->WithoutBody);
  BOOST_TEST(!Tested.find("b")->Recorded->WithoutBody);
}

BOOST_FIXTURE_TEST_CASE(abandonedCallNeverRunsAndIsRecordedAsNotRunOnce,
                        Fixture) {
  ClaimClient Tested{ClaimLimits()};
  const auto Deadline = Now + Millis(1000);
  Tested.begin(1, makeRequest("k", "h").Requested, Deadline, Now);
  const ClaimActions TimedOut = Tested.tick(Deadline);
  BOOST_TEST((std::get<RefuseCall>(TimedOut.at(0)).Code ==
              ResultCode::ClaimUnavailable));
  const ClaimDecision Won{"h", DecisionKind::Won, {}};
  const ClaimActions Late = Tested.onDecision(Won, Deadline);
  BOOST_TEST(std::get<SendOutcome>(Late.at(0)).Content.Holder == "h");
  BOOST_TEST(Tested.onDecision(Won, Deadline).empty());
}

BOOST_FIXTURE_TEST_CASE(ignoresRepeatedDecisions, Fixture) {
  ClaimClient Tested{ClaimLimits()};
  Tested.begin(1, makeRequest("k", "h").Requested, Now + Millis(1000), Now);
  const ClaimDecision Won{"h", DecisionKind::Won, {}};
  BOOST_TEST(std::get<AdmitCall>(Tested.onDecision(Won, Now).at(0)).Call == 1);
  BOOST_TEST(Tested.onDecision(Won, Now).empty());
  BOOST_TEST(Tested.onCallEnded(1, {}).size() == 1);
  BOOST_TEST(Tested.onDecision(Won, Now).empty());
}

BOOST_FIXTURE_TEST_CASE(sendsAClaimToTheNextBatcherIfNoneReplies, Fixture) {
  ClaimClient Tested{ClaimLimits()};
  Tested.begin(1, makeRequest("k", "h").Requested, Now + Millis(1000), Now);
  const ClaimActions Resent = Tested.tick(*Tested.nextDue());
  BOOST_TEST(std::get<SendClaim>(Resent.at(0)).Rank == 1);
  // Neither batcher has read the whole window.
  Tested.onDecision({"h", DecisionKind::NotReady, {}}, Now);
  Tested.onDecision({"h", DecisionKind::NotReady, {}}, Now);
  const ClaimActions TimedOut = Tested.tick(Now + Millis(1000));
  BOOST_TEST((std::get<RefuseCall>(TimedOut.at(0)).Code ==
              ResultCode::ClaimsNotYetKnown));
}

BOOST_AUTO_TEST_CASE(losingANodeKeepsTheRankOrderOfTheOthers) {
  const std::vector<std::string> All =
      Common::rankByRendezvous("d", {"a", "b", "c", "e"});
  std::vector<std::string> Fewer = All;
  Fewer.erase(Fewer.begin());
  BOOST_TEST(Common::rankByRendezvous("d", {"e", "c", "b", "a"}) == All);
  BOOST_TEST(Common::rankByRendezvous("d", Fewer) == Fewer);
}

BOOST_AUTO_TEST_SUITE_END()
