#include <variant>

#include <csignal>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "Common/Error.h"
#include "Kernel/Host.h"

BOOST_AUTO_TEST_SUITE(Hosts)

namespace {

using Trace = std::vector<std::string>;

// Notes its life in a trace.
class TracedService {
public:
  using Message = std::string;

  TracedService(Trace &Steps, std::string Name, bool Fails = false)
      : Steps(Steps), Name(std::move(Name)), Fails(Fails) {}

  void start() {
    if (Fails)
      throw Common::Error(Common::ResultCode::LibraryFailed, Name);
    Steps.push_back("start " + Name);
  }
  void handle(const Message &Content) {
    Steps.push_back(Name + " got " + Content);
  }
  void drain(const std::function<void()> &Done) {
    Steps.push_back("drain " + Name);
    Done();
  }
  void stop() { Steps.push_back("stop " + Name); }

private:
  Trace &Steps;
  std::string Name;
  bool Fails;
};

void addTraced(Kernel::HostBuilder &Builder, Trace &Steps,
               const std::string &Name, const std::vector<std::string> &Needs,
               bool Fails = false) {
  Builder.service<TracedService>(
      Name, "t", Needs, [&Steps, Name, Fails](Kernel::Context) {
        return std::make_unique<TracedService>(Steps, Name, Fails);
      });
}

} // namespace

BOOST_AUTO_TEST_CASE(StartsByNeedAndStopsInReverse) {
  Trace Steps;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Steps, "top", {"middle"});
  addTraced(Builder, Steps, "middle", {"base"});
  addTraced(Builder, Steps, "base", {});
  Kernel::Host Running = Builder.build();
  Running.start();
  Running.stop(Common::Millis(1000));
  const Trace Wanted = {"start base", "start middle", "start top",
                        "drain top",  "drain middle", "drain base",
                        "stop top",   "stop middle",  "stop base"};
  BOOST_TEST(Steps == Wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(DeliversWhatWasSentBeforeTheStart) {
  Trace Steps;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Steps, "a", {});
  Kernel::Host Running = Builder.build();
  auto To = Running.services().find<std::string>("a");
  To.post("early");
  Running.start();
  To.post("late");
  Running.stop(Common::Millis(1000));
  const Trace Wanted = {"start a", "a got early", "a got late", "drain a",
                        "stop a"};
  BOOST_TEST(Steps == Wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(StopsWhatHadStartedWhenOneFails) {
  Trace Steps;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Steps, "base", {});
  addTraced(Builder, Steps, "bad", {"base"}, true);
  Kernel::Host Running = Builder.build();
  BOOST_CHECK_THROW(Running.start(), Common::Error);
  const Trace Wanted = {"start base", "stop bad", "stop base"};
  BOOST_TEST(Steps == Wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RefusesCirclesAndWrongNames) {
  Trace Steps;
  Kernel::HostBuilder Builder;
  Builder.task("t");
  addTraced(Builder, Steps, "a", {"b"});
  addTraced(Builder, Steps, "b", {"a"});
  BOOST_CHECK_THROW(Builder.build(), Common::Error);

  Kernel::Registry Names;
  BOOST_CHECK_THROW(Names.find<int>("a"), Common::Error);
}

// Found on a played day: SIGHUP ended the process, and with it its calls.
BOOST_AUTO_TEST_CASE(ReadsItsSettingsAnewAtAHangupAndStopsAtATerm) {
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

BOOST_AUTO_TEST_CASE(CallsBackWhileItWaitsForASignal) {
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

BOOST_AUTO_TEST_SUITE_END()
