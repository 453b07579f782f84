#include <boost/test/unit_test.hpp>

#include "Net/SendQueue.h"

BOOST_AUTO_TEST_SUITE(SendQueues)

namespace {

constexpr std::size_t LargeBytes = 7'000'000;
// What a queue may take beside the bytes that are left.
constexpr std::size_t SlackBytes = 256 << 10;

// Takes the bytes out of a queue, at most Step at a time.
std::string drain(Net::SendQueue &Queue, std::size_t Step) {
  std::string Result;
  while (!Queue.empty()) {
    Net::SendQueue::Parts Room;
    const iovec First = Queue.front(Room).front();
    const std::size_t Count = std::min(Step, First.iov_len);
    Result.append(static_cast<const char *>(First.iov_base), Count);
    Queue.remove(Count);
  }
  return Result;
}

std::string numbers(int Count) {
  std::string Result;
  for (int Number = 0; Number < Count; ++Number)
    Result += std::to_string(Number) + ",";
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(KeepsTheOrderOfAllThatIsAppended) {
  const std::string Long = numbers(60'000);
  Net::SendQueue Queue;
  Queue.appendOwned("a");
  Queue.append(Long);
  Queue.appendOwned("b");
  Queue.append("");
  Queue.appendOwned("");
  Queue.append("c");
  BOOST_TEST(Queue.size() == Long.size() + 3);
  BOOST_TEST(drain(Queue, 1000) == "a" + Long + "bc");
  BOOST_TEST(Queue.allocatedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(SendsMessagesOfAllSizesOneAfterTheOther) {
  Net::SendQueue Queue;
  for (const std::size_t Size :
       {10U, 3000U, 10U, 70'000U, 1U, 300'000U, 2000U}) {
    const std::string Head(Size % 7 + 1, 'h');
    const std::string Body(Size, 'b');
    Queue.appendOwned(Head);
    Queue.appendOwned(Body);
    BOOST_TEST(Queue.size() == Head.size() + Body.size());
    BOOST_TEST((drain(Queue, 1 << 20) == Head + Body));
    BOOST_TEST(Queue.allocatedBytes() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(RemovesAcrossBlocks) {
  const std::string Long = numbers(60'000);
  Net::SendQueue Queue;
  Queue.append(Long);
  std::size_t InOneCall = 0;
  Net::SendQueue::Parts Room;
  for (const iovec &Part : Queue.front(Room))
    InOneCall += Part.iov_len;
  const std::size_t Sent = InOneCall - 1;
  Queue.remove(Sent);
  BOOST_TEST(drain(Queue, LargeBytes) == Long.substr(Sent));
}

// The rest of a large response kept the memory of all of it.
BOOST_AUTO_TEST_CASE(FreesWhatIsSentOfALargeMessage) {
  Net::SendQueue Queue;
  Queue.appendOwned(std::string(LargeBytes, 'x'));
  Queue.remove(LargeBytes - 1000);
  BOOST_TEST(Queue.size() == 1000U);
  BOOST_TEST(Queue.allocatedBytes() <= SlackBytes);
}

BOOST_AUTO_TEST_CASE(TakesLittleMoreThanItHolds) {
  Net::SendQueue Queue;
  for (std::size_t Written = 0; Written < LargeBytes; Written += 1000)
    Queue.append(std::string(1000, 'x'));
  BOOST_TEST(Queue.allocatedBytes() <= Queue.size() * 5 / 4);
}

BOOST_AUTO_TEST_SUITE_END()
