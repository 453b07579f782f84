#include <boost/test/unit_test.hpp>

#include <boost/mpl/list.hpp>

#include "Admission/FifoOrder.h"
#include "Admission/LaneOrder.h"
#include "Admission/SlotQueue.h"

BOOST_AUTO_TEST_SUITE(SlotQueues)

namespace {

using Common::Millis;
using namespace Admission;

const Common::SteadyTime Start{Millis(1000)};

Ticket ticket(TicketId Id) {
  return {Id, false, Start + Millis(500), "caller", "kind", Start};
}

using Orders = boost::mpl::list<FifoOrder, LaneOrder>;

std::string text(const AdmissionActions &Actions) {
  std::string Result;
  for (const AdmissionAction &Each : Actions) {
    if (const auto *Run = std::get_if<RunCall>(&Each))
      Result += "run " + std::to_string(Run->Id) + ";";
    else if (const auto *Refuse = std::get_if<RefuseCall>(&Each))
      Result += "refuse " + std::to_string(Refuse->Id) + " " +
                std::to_string(Common::resultCodeNumber(Refuse->Code)) + ";";
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE_TEMPLATE(RunsNoMoreThanTheSlots, Order, Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(2, Start);
  BOOST_TEST(text(Queue.offer(ticket(1), Start)) == "run 1;");
  BOOST_TEST(text(Queue.offer(ticket(2), Start)) == "run 2;");
  BOOST_TEST(text(Queue.offer(ticket(3), Start)).empty());
  BOOST_TEST(text(Queue.finished(1, Start)) == "run 3;");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(RefusesWhenClosedAndLetsTheRestEnd, Order,
                              Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(1, Start);
  Queue.offer(ticket(1), Start);
  Queue.offer(ticket(2), Start);
  Queue.close();
  BOOST_TEST(text(Queue.offer(ticket(3), Start)) == "refuse 3 104;");
  BOOST_TEST(text(Queue.finished(1, Start)) == "run 2;");
  Queue.finished(2, Start);
  BOOST_TEST(Queue.isIdle());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(NeverRunsWhatIsPastItsDeadline, Order, Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(1, Start);
  Queue.offer(ticket(1), Start);
  Queue.offer(ticket(2), Start);
  BOOST_TEST(text(Queue.finished(1, Start + Millis(600))) == "refuse 2 103;");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(WithdrawsOnlyWhatWaits, Order, Orders) {
  SlotQueue<Order> Queue;
  Queue.setSlots(1, Start);
  Queue.offer(ticket(1), Start);
  Queue.offer(ticket(2), Start);
  BOOST_TEST(!Queue.withdraw(1));
  BOOST_TEST(Queue.withdraw(2));
  BOOST_TEST(text(Queue.finished(1, Start)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
