#include <csignal>
#include <thread>
#include <variant>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "Common/Error.h"
#include "Kernel/Host.h"

BOOST_AUTO_TEST_SUITE(Hosts)

namespace {

using Trace = std::vector<std::string>;

// Records its lifecycle calls and messages in a trace.
class TracedService {
public:
  using Message = std::string;

  TracedService(Trace &Events, std::string Name, bool Fails = false)
      : Events(Events), Name(std::move(Name)), Fails(Fails) {}

  void start() {
    if (Fails)
      throw Common::Error(Common::ResultCode::LibraryFailed, Name);
    Events.push_back("start " + Name);
  }
  void handle(const Message &Content) {
    Events.push_back(Name + " got " + Content);
  }
  void drain(const std::function<void()> &Done) {
    Events.push_back("drain " + Name);
    Done();
  }
  void stop() { Events.push_back("stop " + Name); }

private:
  Trace &Events;
  std::string Name;
  bool Fails;
};

void addTraced(Kernel::HostBuilder &Builder, Trace &Events,
               const std::string &Name,
               const std::vector<std::string> &Dependencies,
               bool Fails = false) {
  Builder.service<TracedService>(
      Name, "t", Dependencies, [&Events, Name, Fails](Kernel::Context) {
        return std::make_unique<TracedService>(Events, Name, Fails);
      });
}

} // namespace

BOOST_AUTO_TEST_CASE(StartsInDependencyOrderAndStopsInReverse) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "top", {"middle"});
  addTraced(Builder, Events, "middle", {"base"});
  addTraced(Builder, Events, "base", {});
  Kernel::Host Running = Builder.build();
  Running.start();
  Running.stop(Common::Millis(1000));
  const Trace Expected = {"start base", "start middle", "start top",
                          "drain top",  "drain middle", "drain base",
                          "stop top",   "stop middle",  "stop base"};
  BOOST_TEST(Events == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(DeliversMessagesPostedBeforeTheStart) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "a", {});
  Kernel::Host Running = Builder.build();
  auto Target = Running.services().find<std::string>("a");
  Target.post("early");
  Running.start();
  Target.post("late");
  Running.stop(Common::Millis(1000));
  const Trace Expected = {"start a", "a got early", "a got late", "drain a",
                          "stop a"};
  BOOST_TEST(Events == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(StopsStartedServicesWhenOneFails) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "base", {});
  addTraced(Builder, Events, "bad", {"base"}, true);
  Kernel::Host Running = Builder.build();
  BOOST_CHECK_THROW(Running.start(), Common::Error);
  const Trace Expected = {"start base", "stop bad", "stop base"};
  BOOST_TEST(Events == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RejectsDependencyCyclesAndUnknownNames) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "a", {"b"});
  addTraced(Builder, Events, "b", {"a"});
  BOOST_CHECK_THROW(Builder.build(), Common::Error);

  Kernel::Registry Names;
  BOOST_CHECK_THROW(Names.find<int>("a"), Common::Error);
}

// Regression test: SIGHUP used to end the process and the calls in progress.
BOOST_AUTO_TEST_CASE(ReloadsOnSighupAndStopsOnSigterm) {
  Kernel::HostBuilder Builder;
  Builder.task("t");
  Kernel::Host Running = Builder.build();
  Running.start();
  int Reloads = 0;
  ::kill(::getpid(), SIGHUP);
  Running.waitForStopSignal([&Reloads] {
    ++Reloads;
    ::kill(::getpid(), SIGTERM);
  });
  Running.stop(Common::Millis(1000));
  BOOST_TEST(Reloads == 1);
}

BOOST_AUTO_TEST_CASE(CallsOnIdleWhileWaitingForASignal) {
  Kernel::HostBuilder Builder;
  Builder.task("t");
  Kernel::Host Running = Builder.build();
  Running.start();
  int Calls = 0;
  Running.waitForStopSignal([] {},
                            [&Calls] {
                              if (++Calls == 3)
                                ::kill(::getpid(), SIGTERM);
                            },
                            Common::Millis(5));
  Running.stop(Common::Millis(1000));
  BOOST_TEST(Calls == 3);
}

// Guards against a process that is killed at the end of its grace, because it
// counted its time from when it handled the signal.
BOOST_AUTO_TEST_CASE(StopSignalThatIsHandledLateLeavesLessTime) {
  struct Prepared {
    using Message = int;
    std::optional<Common::SteadyTime> &Deadline;
    void start() {}
    void handle(int) {}
    void stop() {}
    void prepareStop(Common::SteadyTime StopsAt) { Deadline = StopsAt; }
  };
  std::optional<Common::SteadyTime> Deadline;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  Builder.service<Prepared>("s", "t", {}, [&Deadline](Kernel::Context) {
    return std::make_unique<Prepared>(Prepared{Deadline});
  });
  Kernel::Host Running = Builder.build();
  Running.start();
  std::optional<Common::SteadyTime> Sent;
  Running.waitForStopSignal([] {},
                            [&Sent] {
                              Sent = std::chrono::steady_clock::now();
                              ::kill(::getpid(), SIGTERM);
                              std::this_thread::sleep_for(Common::Millis(800));
                            },
                            Common::Millis(5));
  Running.stop(Common::Millis(3000));
  BOOST_REQUIRE(Sent.has_value());
  BOOST_REQUIRE(Deadline.has_value());
  BOOST_TEST((*Deadline <= *Sent + Common::Millis(3000)));
  BOOST_TEST((*Deadline >= *Sent + Common::Millis(2000)));
}

namespace {

// Records when the host stops, and in which order it is told.
class PreparedService {
public:
  using Message = int;
  struct Record {
    Trace Events;
    std::vector<Common::SteadyTime> Deadlines;
  };

  PreparedService(Record &Seen, std::string Name)
      : Seen(Seen), Name(std::move(Name)) {}

  void start() {}
  void handle(int) {}
  void prepareStop(Common::SteadyTime Deadline) {
    Seen.Events.push_back("prepare " + Name);
    Seen.Deadlines.push_back(Deadline);
  }
  void drain(const std::function<void()> &Done) {
    Seen.Events.push_back("drain " + Name);
    Done();
  }
  void stop() {}

private:
  Record &Seen;
  std::string Name;
};

} // namespace

// Guards against a service that takes work which cannot end before the host
// stops, because the drains of other services come first.
BOOST_AUTO_TEST_CASE(TellsAllServicesWhenTheHostStopsBeforeTheFirstDrain) {
  PreparedService::Record Seen;
  Kernel::HostBuilder Builder;
  Builder.task("t").task("u");
  const auto Add = [&](const std::string &Name, const std::string &TaskName,
                       const std::vector<std::string> &Dependencies) {
    Builder.service<PreparedService>(
        Name, TaskName, Dependencies, [&Seen, Name](Kernel::Context) {
          return std::make_unique<PreparedService>(Seen, Name);
        });
  };
  Add("base", "t", {});
  Add("top", "u", {"base"});
  Kernel::Host Running = Builder.build();
  Running.start();
  const auto Before = std::chrono::steady_clock::now();
  Running.stop(Common::Millis(1000));
  const auto After = std::chrono::steady_clock::now();
  const Trace Expected = {"prepare top", "prepare base", "drain top",
                          "drain base"};
  BOOST_TEST(Seen.Events == Expected, boost::test_tools::per_element());
  BOOST_REQUIRE(Seen.Deadlines.size() == 2U);
  for (const Common::SteadyTime Deadline : Seen.Deadlines) {
    BOOST_TEST((Deadline >= Before + Common::Millis(1000)));
    BOOST_TEST((Deadline <= After + Common::Millis(1000)));
  }
}

namespace {

// A service that drains when OnDrain has returned; never without it.
class SlowService {
public:
  using Message = int;
  SlowService(Trace &Events, std::function<void()> OnDrain)
      : Events(Events), OnDrain(std::move(OnDrain)) {}

  void start() {}
  void handle(int) {}
  void drain(const std::function<void()> &Done) {
    Events.push_back("drain slow");
    if (!OnDrain)
      return;
    OnDrain();
    Done();
  }
  void stop() { Events.push_back("stop slow"); }

private:
  Trace &Events;
  std::function<void()> OnDrain;
};

void addSlow(Kernel::HostBuilder &Builder, Trace &Events,
             const std::function<void()> &OnDrain) {
  Builder.service<SlowService>(
      "slow", "t", {"base"}, [&Events, OnDrain](Kernel::Context) {
        return std::make_unique<SlowService>(Events, OnDrain);
      });
}

const Trace SlowStop = {"start base", "drain slow", "drain base", "stop slow",
                        "stop base"};

} // namespace

BOOST_AUTO_TEST_CASE(DrainsTheOtherServicesWhenOneTakesTooLong) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "base", {});
  addSlow(Builder, Events, nullptr);
  Kernel::Host Running = Builder.build();
  Running.start();
  const auto Before = std::chrono::steady_clock::now();
  Running.stop(Common::Millis(100));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - Before < Common::Millis(1000)));
  BOOST_TEST(Events == SlowStop, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(SignalsDuringAStopDoNotCutIt) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "base", {});
  addSlow(Builder, Events, [] {
    ::kill(::getpid(), SIGTERM);
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(Common::Millis(50));
  });
  Kernel::Host Running = Builder.build();
  Running.start();
  Running.stop(Common::Millis(1000));
  BOOST_TEST(Events == SlowStop, boost::test_tools::per_element());
  // Takes the pending signals away from the tests that follow.
  sigset_t Pending;
  sigemptyset(&Pending);
  sigaddset(&Pending, SIGTERM);
  sigaddset(&Pending, SIGHUP);
  const timespec NoWait = {};
  int Received = 0;
  while (sigtimedwait(&Pending, nullptr, &NoWait) > 0)
    ++Received;
  BOOST_TEST(Received == 2);
}

BOOST_AUTO_TEST_CASE(SignalDuringTheStartStopsTheHostAfterIt) {
  Trace Events;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Events, "base", {});
  Builder.service<TracedService>(
      "top", "t", {"base"}, [&Events](Kernel::Context) {
        ::kill(::getpid(), SIGTERM);
        return std::make_unique<TracedService>(Events, "top");
      });
  Kernel::Host Running = Builder.build();
  Running.start();
  Running.waitForStopSignal();
  Running.stop(Common::Millis(1000));
  const Trace Expected = {"start base", "start top", "drain top",
                          "drain base", "stop top",  "stop base"};
  BOOST_TEST(Events == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
