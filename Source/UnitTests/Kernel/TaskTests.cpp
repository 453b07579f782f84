#include <future>
#include <optional>

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "Common/UniqueFd.h"
#include "Kernel/Mailbox.h"
#include "Kernel/Task.h"

BOOST_AUTO_TEST_SUITE(Tasks)

using Common::Millis;

BOOST_AUTO_TEST_CASE(RunsJobsInOrder) {
  Kernel::Task Worker("t");
  Worker.spawn();
  std::vector<int> Order;
  for (int Index = 0; Index < 100; ++Index)
    Worker.post([&, Index] { Order.push_back(Index); });
  Worker.runAndWait([] {});
  BOOST_TEST(Order.size() == 100);
  BOOST_TEST(std::is_sorted(Order.begin(), Order.end()));
}

BOOST_AUTO_TEST_CASE(FiresTimersInOrderAndSkipsCancelledOnes) {
  Kernel::Task Worker("t");
  Worker.spawn();
  Kernel::Timers OwnTimers(Worker);
  std::promise<std::string> Finished;
  std::string Order;
  Worker.runAndWait([&] {
    OwnTimers.after(Millis(20), [&] { Finished.set_value(Order); });
    OwnTimers.after(Millis(10), [&] { Order += "b"; });
    OwnTimers.after(Common::Micros(300), [&] { Order += "a"; });
    OwnTimers.cancel(OwnTimers.after(Millis(5), [&] { Order += "x"; }));
  });
  BOOST_TEST(Finished.get_future().get() == "ab");
}

// Regression test: the heartbeat timer of a stopped service fired, and the node
// looped forever on freed memory.
BOOST_AUTO_TEST_CASE(DestroyingTimersCancelsThem) {
  Kernel::Task Worker("t");
  Worker.spawn();
  bool Fired = false;
  Kernel::Timers Remaining(Worker);
  std::promise<void> Finished;
  Worker.runAndWait([&] {
    Kernel::Timers ShortLived(Worker);
    ShortLived.after(Millis(1), [&] { Fired = true; });
    Remaining.after(Millis(10), [&] { Finished.set_value(); });
  });
  Finished.get_future().wait();
  BOOST_TEST(!Fired);
}

BOOST_AUTO_TEST_CASE(KeepsRunningAfterAJobThrows) {
  Kernel::Task Worker("t");
  Worker.spawn();
  Worker.post([] { throw std::runtime_error("expected by a test"); });
  bool Ran = false;
  Worker.runAndWait([&] { Ran = true; });
  BOOST_TEST(Ran);
}

BOOST_AUTO_TEST_CASE(ReportsReadableSockets) {
  int Sockets[2];
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Sockets) ==
                0);
  const Common::UniqueFd Reader(Sockets[0]);
  const Common::UniqueFd Writer(Sockets[1]);
  Kernel::Task Worker("t");
  Worker.spawn();
  std::promise<char> Received;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  Worker.runAndWait([&] {
    Watch = Worker.watch(Reader.value(), {.Read = true}, [&](auto) {
      char Byte = 0;
      if (::read(Reader.value(), &Byte, 1) == 1)
        Received.set_value(Byte);
    });
  });
  BOOST_REQUIRE(::write(Writer.value(), "z", 1) == 1);
  BOOST_TEST(Received.get_future().get() == 'z');
  Worker.runAndWait([&] { Watch.reset(); });
}

namespace {

// A connected pair of sockets of which a test watches the first.
struct SocketPair {
  Common::UniqueFd Watched;
  Common::UniqueFd Peer;

  SocketPair() {
    int Sockets[2];
    BOOST_REQUIRE(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Sockets) == 0);
    Watched = Common::UniqueFd(Sockets[0]);
    Peer = Common::UniqueFd(Sockets[1]);
  }
  void send() const { BOOST_REQUIRE(::write(Peer.value(), "z", 1) == 1); }
};

void drain(int Fd) {
  char Byte = 0;
  while (::read(Fd, &Byte, 1) > 0) {
  }
}

// Counts the events of the first socket and of a later one with the same
// descriptor.
struct ReusedDescriptor {
  Kernel::Task Worker{"t"};
  std::optional<SocketPair> Sockets;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  int FirstEvents = 0;
  int SecondEvents = 0;

  ReusedDescriptor() { Worker.spawn(); }
  ~ReusedDescriptor() {
    Worker.runAndWait([this] { Watch.reset(); });
  }

  void watchFirst(Kernel::IoReadiness InterestAfterEvent) {
    Sockets.emplace();
    Watch = Worker.watch(Sockets->Watched.value(), {.Read = true},
                         [this, InterestAfterEvent](auto) {
                           ++FirstEvents;
                           drain(Sockets->Watched.value());
                           if (Watch)
                             Watch->setInterest(InterestAfterEvent);
                         });
  }
  // The descriptor is closed after or before its watch ends.
  void replaceFirst(bool WatchEndsFirst) {
    const int Descriptor = Sockets->Watched.value();
    if (WatchEndsFirst)
      Watch.reset();
    Sockets.reset();
    Watch.reset();
    Sockets.emplace();
    BOOST_REQUIRE(Sockets->Watched.value() == Descriptor);
    Watch = Worker.watch(Descriptor, {.Read = true}, [this, Descriptor](auto) {
      ++SecondEvents;
      drain(Descriptor);
    });
    Sockets->send();
  }
  void waitForEvents(int Count) {
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool IsMet = false;
    while (!IsMet && std::chrono::steady_clock::now() < End)
      Worker.runAndWait([&] { IsMet = FirstEvents + SecondEvents >= Count; });
    BOOST_REQUIRE(IsMet);
  }
};

} // namespace

// Guards against events that are dispatched to a destroyed handler: the watch
// of the earlier socket with this descriptor ended without an interest.
BOOST_FIXTURE_TEST_CASE(EventsAfterAWatchWithoutInterestReachTheNextSocket,
                        ReusedDescriptor) {
  Worker.runAndWait([&] {
    watchFirst({.Read = true});
    Watch->setInterest({});
    replaceFirst(true);
  });
  waitForEvents(1);
  Worker.runAndWait([&] {
    BOOST_TEST(FirstEvents == 0);
    BOOST_TEST(SecondEvents == 1);
  });
}

// The same when the interest ends while an event is dispatched.
BOOST_FIXTURE_TEST_CASE(
    EventsAfterAnInterestThatEndedInAnEventReachTheNextSocket,
    ReusedDescriptor) {
  Worker.runAndWait([&] {
    watchFirst({});
    Sockets->send();
  });
  waitForEvents(1);
  Worker.runAndWait([&] { replaceFirst(true); });
  waitForEvents(2);
  Worker.runAndWait([&] {
    BOOST_TEST(FirstEvents == 1);
    BOOST_TEST(SecondEvents == 1);
  });
}

// The same when the interest ends and the watch is destroyed in one event.
BOOST_FIXTURE_TEST_CASE(EventsAfterAWatchThatEndedInItsEventReachTheNextSocket,
                        ReusedDescriptor) {
  Worker.runAndWait([&] {
    Sockets.emplace();
    Watch =
        Worker.watch(Sockets->Watched.value(), {.Read = true}, [this](auto) {
          ++FirstEvents;
          Watch->setInterest({});
          replaceFirst(true);
        });
    Sockets->send();
  });
  waitForEvents(2);
  Worker.runAndWait([&] {
    BOOST_TEST(FirstEvents == 1);
    BOOST_TEST(SecondEvents == 1);
  });
}

// The same when the descriptor was closed before its watch ended.
BOOST_FIXTURE_TEST_CASE(EventsAfterAWatchOfAClosedSocketReachTheNextSocket,
                        ReusedDescriptor) {
  Worker.runAndWait([&] {
    watchFirst({.Read = true});
    replaceFirst(false);
  });
  waitForEvents(1);
  Worker.runAndWait([&] {
    BOOST_TEST(FirstEvents == 0);
    BOOST_TEST(SecondEvents == 1);
  });
}

// Guards against a socket that stays silent after its interest was empty.
BOOST_FIXTURE_TEST_CASE(EventsAreReportedAgainAfterAnEmptyInterest,
                        ReusedDescriptor) {
  Worker.runAndWait([&] {
    watchFirst({});
    Sockets->send();
  });
  waitForEvents(1);
  Worker.runAndWait([&] { Sockets->send(); });
  std::this_thread::sleep_for(Millis(50));
  Worker.runAndWait([&] {
    BOOST_TEST(FirstEvents == 1);
    Watch->setInterest({.Read = true});
  });
  waitForEvents(2);
}

// The same when the interest is empty only within one event.
BOOST_FIXTURE_TEST_CASE(EventsAreReportedAfterAnInterestThatWasEmptyInAnEvent,
                        ReusedDescriptor) {
  Worker.runAndWait([&] {
    Sockets.emplace();
    Watch =
        Worker.watch(Sockets->Watched.value(), {.Read = true}, [this](auto) {
          ++FirstEvents;
          drain(Sockets->Watched.value());
          Watch->setInterest({});
          Watch->setInterest({.Read = true});
        });
  });
  for (int Count = 1; Count <= 3; ++Count) {
    Worker.runAndWait([&] { Sockets->send(); });
    waitForEvents(Count);
  }
  std::this_thread::sleep_for(Millis(20));
  Worker.runAndWait([&] { BOOST_TEST(FirstEvents == 3); });
}

// Guards against a task whose end uses the destroyed handler of a closed
// socket.
BOOST_FIXTURE_TEST_CASE(TaskEndsAfterAWatchOfAClosedSocket, ReusedDescriptor) {
  Worker.runAndWait([&] {
    watchFirst({.Read = true});
    Sockets.reset();
    Watch.reset();
  });
}

// Guards against an event loop that polls instead of blocking.
BOOST_AUTO_TEST_CASE(UsesNoCpuTimeWhileIdle) {
  Kernel::Task Worker("t");
  Worker.spawn();
  Kernel::Timers OwnTimers(Worker);
  std::promise<void> Finished;
  Worker.runAndWait(
      [&] { OwnTimers.after(Millis(300), [&] { Finished.set_value(); }); });
  timespec Before = {};
  timespec After = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Before);
  Finished.get_future().wait();
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &After);
  const double Used =
      static_cast<double>(After.tv_sec - Before.tv_sec) +
      1e-9 * static_cast<double>(After.tv_nsec - Before.tv_nsec);
  BOOST_TEST(Used < 0.05);
}

BOOST_AUTO_TEST_CASE(MailboxRejectsMessagesOverItsCapacity) {
  Kernel::Task Worker("t"); // Not spawned, so no message is delivered.
  auto Inbox = std::make_shared<Kernel::Mailbox<int>>(Worker, 2);
  Kernel::Address<int> Target(Inbox);
  BOOST_TEST((Target.post(1) == Kernel::PostResult::Accepted));
  BOOST_TEST((Target.post(2) == Kernel::PostResult::Accepted));
  BOOST_TEST((Target.post(3) == Kernel::PostResult::Full));
  Inbox->close();
  BOOST_TEST((Target.post(4) == Kernel::PostResult::Closed));
}

BOOST_AUTO_TEST_SUITE_END()
