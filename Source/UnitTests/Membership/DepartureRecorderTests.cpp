#include <boost/test/unit_test.hpp>

#include "Membership/DepartureRecall.h"
#include "Membership/DepartureRecorder.h"

BOOST_AUTO_TEST_SUITE(DepartureRecorders)

namespace {

using namespace Membership;
using Common::Millis;

DepartedServer departed(const std::string &Server) {
  return {Server, Common::WallTime(Millis(5)), Common::WallTime(Millis(20))};
}

} // namespace

BOOST_AUTO_TEST_CASE(AnswersOnceTheDepartureIsRecorded) {
  DepartureRecorder Recorder;
  BOOST_TEST(!Recorder.request(1, departed("a")));
  BOOST_TEST((Recorder.next() == departed("a")));
  // A repeated departure waits for the same record.
  BOOST_TEST(!Recorder.request(2, departed("a")));
  BOOST_TEST(!Recorder.next());
  BOOST_TEST(Recorder.onRecorded(true).size() == 2U);
  BOOST_TEST(Recorder.request(3, departed("a")));
  BOOST_TEST(!Recorder.next());
}

BOOST_AUTO_TEST_CASE(ADepartureThatWasNotRecordedIsTriedAgainOnRequest) {
  DepartureRecorder Recorder;
  Recorder.request(1, departed("a"));
  Recorder.next();
  BOOST_TEST(Recorder.onRecorded(false).size() == 1U);
  BOOST_TEST(!Recorder.next());
  BOOST_TEST(!Recorder.request(2, departed("a")));
  BOOST_TEST(Recorder.next().has_value());
}

// The next server leaves while the departure of the first one is recorded.
BOOST_AUTO_TEST_CASE(RecordsOneDepartureAfterTheOther) {
  DepartureRecorder Recorder;
  Recorder.request(1, departed("a"));
  Recorder.next();
  Recorder.request(2, departed("b"));
  BOOST_TEST(!Recorder.next());
  BOOST_TEST(Recorder.onRecorded(true).size() == 1U);
  BOOST_TEST((Recorder.next() == departed("b")));
  BOOST_TEST(Recorder.onRecorded(true).at(0) == 2U);
}

// Guards against a departure that was acknowledged and that the directory lost
// when it came back from an older copy.
BOOST_AUTO_TEST_CASE(RecordsALostDepartureAgainWithoutARequest) {
  DepartureRecorder Recorder;
  Recorder.request(1, departed("a"));
  Recorder.next();
  Recorder.onRecorded(true);
  Recorder.recordOwed(departed("a"));
  BOOST_TEST(!Recorder.next());
  Recorder.loseRecord();
  Recorder.recordOwed(departed("a"));
  BOOST_TEST((Recorder.next() == departed("a")));
  // A repeated departure is acknowledged once the record is back.
  BOOST_TEST(!Recorder.request(2, departed("a")));
  BOOST_TEST(Recorder.onRecorded(false).at(0) == 2U);
  BOOST_TEST(Recorder.isRecordOwed());
  BOOST_TEST(!Recorder.next());
  Recorder.recordOwed(departed("a"));
  BOOST_TEST((Recorder.next() == departed("a")));
  BOOST_TEST(Recorder.onRecorded(true).empty());
  BOOST_TEST(!Recorder.isRecordOwed());
  BOOST_TEST(Recorder.request(3, departed("a")));
}

BOOST_AUTO_TEST_CASE(ARestartedNodeWaitsForTheDirectoryOrForOtherNodes) {
  const Common::SteadyTime Start{Millis(1000)};
  const auto Later = Start + DepartureRecall::PeerReportTime;
  DepartureRecall Listed(Start);
  BOOST_TEST(!Listed.isComplete(Later));
  Listed.onListed();
  BOOST_TEST(Listed.isComplete(Start));
  DepartureRecall Reported(Start);
  Reported.setLiveMembers(2);
  BOOST_TEST(!Reported.isComplete(Start));
  BOOST_TEST(Reported.isComplete(Later));
  Reported.setLiveMembers(1);
  BOOST_TEST(!Reported.isComplete(Later));
}

BOOST_AUTO_TEST_SUITE_END()
