#include <boost/test/unit_test.hpp>

#include "Common/Rendezvous.h"
#include "Once/ClaimBatcher.h"
#include "Once/ClaimGate.h"

BOOST_AUTO_TEST_SUITE(ClaimBatchers)

namespace {

using Common::Millis;
using Common::ResultCode;
using namespace Once;

struct Fixture {
  Common::SteadyTime Now{Millis(1000)};
  Common::WallTime LogNow{std::chrono::hours(1)};
  BatcherLimits Limits;
  std::vector<Verdict> Told;
  std::vector<Batch> Appended;

  void take(const BatcherActions &Actions) {
    for (const BatcherAction &Each : Actions)
      if (const auto *Verdict = std::get_if<TellVerdict>(&Each))
        Told.push_back(Verdict->Told);
      else
        Appended.push_back(std::get<AppendBatch>(Each).Content);
  }
  AskedClaim asked(const std::string &Key, const HolderId &Holder,
                   std::uint64_t Fingerprint = 1) const {
    return {{Key, Holder, Fingerprint, LogNow}, Now + Millis(5000), 0};
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(nothingIsToldBeforeTheWindowIsRead, Fixture) {
  ClaimBatcher<> Tested("b", Limits);
  take(Tested.ask(asked("k", "h"), Now));
  BOOST_TEST(Appended.empty());
  BOOST_TEST((Told.at(0).Kind == VerdictKind::NotYetKnown));
}

BOOST_FIXTURE_TEST_CASE(theFirstInTheLogWinsAndItsOutcomeIsTold, Fixture) {
  ClaimBatcher<> Tested("b", Limits);
  Tested.caughtUp();
  take(Tested.ask(asked("k", "h"), Now));
  take(Tested.appendEnded(Appended.at(0).Id, ResultCode::Ok, Now));
  BOOST_TEST(Told.empty());
  Batch Other{"o/1", {asked("k", "other").Wanted}, {}};
  take(Tested.recordRead(LogNow, Other, Now));
  take(Tested.recordRead(LogNow, Appended.at(0), Now));
  BOOST_TEST((Told.at(0).Kind == VerdictKind::HeldByOther));
  Outcome Ended;
  Ended.Key = "k";
  Ended.Holder = "h"; // Not the holder's own.
  take(Tested.recordRead(LogNow, {"o/2", {}, {Ended}}, Now));
  BOOST_TEST((Told.back().Kind == VerdictKind::HeldByOther));
  Ended.Holder = "other";
  take(Tested.recordRead(LogNow, {"o/3", {}, {Ended}}, Now));
  BOOST_TEST((Told.back().Kind == VerdictKind::Ended));
  take(Tested.ask(asked("k", "third", 2), Now));
  BOOST_TEST((Told.back().Kind == VerdictKind::OtherRequest));
}

BOOST_FIXTURE_TEST_CASE(anOutageDoesNotPileUpClaims, Fixture) {
  Limits.MaxOpen = 3;
  ClaimBatcher<> Tested("b", Limits);
  Tested.caughtUp();
  for (int I = 0; I < 10; ++I)
    take(Tested.ask(asked("k" + std::to_string(I), "h" + std::to_string(I)),
                    Now));
  BOOST_TEST(Told.size() == 7);
  BOOST_TEST((Told.at(0).Kind == VerdictKind::Refused));
  take(Tested.appendEnded("b/1", ResultCode::LogUnavailable, Now));
  take(Tested.tick(Now + Limits.RetryDelay));
  BOOST_TEST(Appended.size() == 2);
  BOOST_TEST(Appended.back().Claims.size() == 3);
  Now += Millis(5000);
  take(Tested.appendEnded("b/2", ResultCode::LogUnavailable, Now));
  take(Tested.tick(Now + Limits.LateLimit));
  BOOST_TEST(Appended.size() == 2);
  BOOST_TEST(Tested.openClaims() == 0);
}

BOOST_FIXTURE_TEST_CASE(claimsOutsideTheirWindowAreVoidAndForgotten, Fixture) {
  ClaimBatcher<> Tested("b", Limits);
  Tested.caughtUp();
  take(Tested.ask(asked("k", "h"), Now));
  const Common::WallTime Late = LogNow + Limits.Window.Length;
  take(Tested.recordRead(LogNow, {"o/1", {asked("j", "o").Wanted}, {}}, Now));
  BOOST_TEST(Tested.knownClaims() == 1);
  take(Tested.recordRead(Late, Appended.at(0), Now));
  BOOST_TEST((Told.at(0).Kind == VerdictKind::Expired));
  BOOST_TEST(Tested.knownClaims() == 0);
}

BOOST_FIXTURE_TEST_CASE(answersStayWithinTheirBytes, Fixture) {
  ClaimIndex Tested(Limits.Window, 10);
  for (const std::string Key : {"a", "b"}) {
    Outcome Ended;
    Ended.Key = Ended.Holder = Key;
    Ended.Body = "12345678";
    Tested.apply(LogNow, {"o", {asked(Key, Key).Wanted}, {Ended}});
  }
  BOOST_TEST(Tested.find("a")->Ended->WithoutBody);
  BOOST_TEST(!Tested.find("b")->Ended->WithoutBody);
}

BOOST_FIXTURE_TEST_CASE(aCallThatGaveUpNeverRunsAndSaysSoOnce, Fixture) {
  ClaimGate Tested{GateLimits()};
  const auto Deadline = Now + Millis(1000);
  Tested.begin(1, asked("k", "h").Wanted, Deadline, Now);
  const GateActions Ended = Tested.tick(Deadline);
  BOOST_TEST((std::get<RefuseClaimed>(Ended.at(0)).Code ==
              ResultCode::ClaimUnavailable));
  const Verdict Won{"h", VerdictKind::Won, {}};
  const GateActions Late = Tested.decided(Won, Deadline);
  BOOST_TEST(std::get<SendOutcome>(Late.at(0)).Ended.Holder == "h");
  BOOST_TEST(Tested.decided(Won, Deadline).empty());
}

BOOST_FIXTURE_TEST_CASE(aSecondVerdictNeitherRunsNorUndoesACall, Fixture) {
  ClaimGate Tested{GateLimits()};
  Tested.begin(1, asked("k", "h").Wanted, Now + Millis(1000), Now);
  const Verdict Won{"h", VerdictKind::Won, {}};
  BOOST_TEST(std::get<LetRun>(Tested.decided(Won, Now).at(0)).Call == 1);
  BOOST_TEST(Tested.decided(Won, Now).empty());
  BOOST_TEST(Tested.ended(1, {}).size() == 1);
  BOOST_TEST(Tested.decided(Won, Now).empty());
}

BOOST_FIXTURE_TEST_CASE(aClaimGoesToTheNextBatcherInSilence, Fixture) {
  ClaimGate Tested{GateLimits()};
  Tested.begin(1, asked("k", "h").Wanted, Now + Millis(1000), Now);
  const GateActions Again = Tested.tick(*Tested.nextDue());
  BOOST_TEST(std::get<SendClaim>(Again.at(0)).Rank == 1);
  // Both batchers are still reading.
  Tested.decided({"h", VerdictKind::NotYetKnown, {}}, Now);
  Tested.decided({"h", VerdictKind::NotYetKnown, {}}, Now);
  const GateActions Ended = Tested.tick(Now + Millis(1000));
  BOOST_TEST((std::get<RefuseClaimed>(Ended.at(0)).Code ==
              ResultCode::ClaimsNotYetKnown));
}

BOOST_AUTO_TEST_CASE(ranksMoveOnlyWhatALostNodeHad) {
  const std::vector<std::string> All =
      Common::rankByRendezvous("d", {"a", "b", "c", "e"});
  std::vector<std::string> Fewer = All;
  Fewer.erase(Fewer.begin());
  BOOST_TEST(Common::rankByRendezvous("d", {"e", "c", "b", "a"}) == All);
  BOOST_TEST(Common::rankByRendezvous("d", Fewer) == Fewer);
}

BOOST_AUTO_TEST_SUITE_END()
