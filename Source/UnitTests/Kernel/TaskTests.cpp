#include <future>

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
  std::vector<int> Seen;
  for (int Index = 0; Index < 100; ++Index)
    Worker.post([&, Index] { Seen.push_back(Index); });
  Worker.runAndWait([] {});
  BOOST_TEST(Seen.size() == 100);
  BOOST_TEST(std::is_sorted(Seen.begin(), Seen.end()));
}

BOOST_AUTO_TEST_CASE(FiresTimersInOrderAndNotTheCancelled) {
  Kernel::Task Worker("t");
  Worker.spawn();
  Kernel::Timers Clock(Worker);
  std::promise<std::string> Ended;
  std::string Seen;
  Worker.runAndWait([&] {
    Clock.after(Millis(20), [&] { Ended.set_value(Seen); });
    Clock.after(Millis(10), [&] { Seen += "b"; });
    Clock.after(Common::Micros(300), [&] { Seen += "a"; });
    Clock.cancel(Clock.after(Millis(5), [&] { Seen += "x"; }));
  });
  BOOST_TEST(Ended.get_future().get() == "ab");
}

// A service's heartbeat that fired after the service had stopped made its node
// spin for ever in freed memory.
BOOST_AUTO_TEST_CASE(TimersEndWithTheirOwner) {
  Kernel::Task Worker("t");
  Worker.spawn();
  bool Fired = false;
  Kernel::Timers Later(Worker);
  std::promise<void> Ended;
  Worker.runAndWait([&] {
    Kernel::Timers Gone(Worker);
    Gone.after(Millis(1), [&] { Fired = true; });
    Later.after(Millis(10), [&] { Ended.set_value(); });
  });
  Ended.get_future().wait();
  BOOST_TEST(!Fired);
}

BOOST_AUTO_TEST_CASE(OutlivesAJobThatThrows) {
  Kernel::Task Worker("t");
  Worker.spawn();
  Worker.post([] { throw std::runtime_error("expected by a test"); });
  bool Ran = false;
  Worker.runAndWait([&] { Ran = true; });
  BOOST_TEST(Ran);
}

BOOST_AUTO_TEST_CASE(WatchesSockets) {
  int Ends[2];
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends) == 0);
  const Common::UniqueFd Near(Ends[0]);
  const Common::UniqueFd Far(Ends[1]);
  Kernel::Task Worker("t");
  Worker.spawn();
  std::promise<char> Got;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  Worker.runAndWait([&] {
    Watch = Worker.watch(Near.value(), {.Read = true}, [&](auto) {
      char Byte = 0;
      if (::read(Near.value(), &Byte, 1) == 1)
        Got.set_value(Byte);
    });
  });
  BOOST_REQUIRE(::write(Far.value(), "z", 1) == 1);
  BOOST_TEST(Got.get_future().get() == 'z');
  Worker.runAndWait([&] { Watch.reset(); });
}

// A loop that polls instead of waiting would use the processor all the time.
BOOST_AUTO_TEST_CASE(UsesNoProcessorTimeWhileItWaits) {
  Kernel::Task Worker("t");
  Worker.spawn();
  Kernel::Timers Clock(Worker);
  std::promise<void> Ended;
  Worker.runAndWait(
      [&] { Clock.after(Millis(300), [&] { Ended.set_value(); }); });
  timespec Before = {};
  timespec After = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Before);
  Ended.get_future().wait();
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &After);
  const double Used =
      static_cast<double>(After.tv_sec - Before.tv_sec) +
      1e-9 * static_cast<double>(After.tv_nsec - Before.tv_nsec);
  BOOST_TEST(Used < 0.05);
}

BOOST_AUTO_TEST_CASE(MailboxRefusesWhatIsOverItsCapacity) {
  Kernel::Task Worker("t"); // Not spawned: nothing is taken out.
  auto Box = std::make_shared<Kernel::Mailbox<int>>(Worker, 2);
  Kernel::Address<int> To(Box);
  BOOST_TEST((To.post(1) == Kernel::PostResult::Accepted));
  BOOST_TEST((To.post(2) == Kernel::PostResult::Accepted));
  BOOST_TEST((To.post(3) == Kernel::PostResult::Full));
  Box->close();
  BOOST_TEST((To.post(4) == Kernel::PostResult::Closed));
}

BOOST_AUTO_TEST_SUITE_END()
