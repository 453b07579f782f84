#include <map>
#include <random>

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

// Load pattern: a server sheds four calls in ten at random, whatever room it
// has, as on a day of the grown fleet of Ashcombe. Each call is answered after
// ten steps or shed after one.
BOOST_AUTO_TEST_CASE(ServersThatShedAtRandomKeepTheirSlots) {
  constexpr int SlotCount = 6;
  constexpr int Steps = 2000;
  std::mt19937 Random(7);
  std::bernoulli_distribution IsShed(0.4);
  SlotQueue<FifoOrder> Queue;
  Queue.setSlots(SlotCount, Start);
  std::multimap<int, std::pair<TicketId, Ending>> Ends;
  TicketId Last = 0;
  int Answered = 0;
  for (int Step = 0; Step < Steps; ++Step) {
    const Common::SteadyTime Now = Start + Step * Millis(10);
    const auto Begin = [&](const AdmissionActions &Actions) {
      for (const AdmissionAction &Each : Actions)
        if (const auto *Run = std::get_if<RunCall>(&Each)) {
          const bool Shed = IsShed(Random);
          Ends.emplace(
              Step + (Shed ? 1 : 10),
              std::pair(Run->Id, Shed ? Ending::NotRun : Ending::Answered));
        }
    };
    for (auto Due = Ends.begin(); Due != Ends.end() && Due->first <= Step;
         Due = Ends.erase(Due)) {
      Answered += Due->second.second == Ending::Answered ? 1 : 0;
      Begin(Queue.finished(Due->second.first, Now, Due->second.second));
    }
    for (int Each = 0; Each < 2; ++Each) {
      Ticket Next = ticket(++Last);
      Next.Deadline = Now + Millis(100);
      Begin(Queue.offer(Next, Now));
    }
  }
  // Six slots with a shed of one step in four for each answer of ten.
  BOOST_TEST(Answered > Steps * SlotCount / 10 * 8 / 10);
}

// The server has three slots where it announces six.
BOOST_AUTO_TEST_CASE(SlotsThatAreLostAreFoundByWhatIsShed) {
  SlotEstimate Slots;
  Slots.announce(6);
  for (int Each = 0; Each < 20; ++Each)
    Slots.answered(6, Start);
  // Proof of six at a time is forgotten.
  const Common::SteadyTime Later = Start + Millis(2'500);
  Slots.answered(3, Later);
  Slots.notRun(4, Later);
  BOOST_TEST(Slots.usable() == 3);
  Slots.notRun(3, Later);
  BOOST_TEST(Slots.usable() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
