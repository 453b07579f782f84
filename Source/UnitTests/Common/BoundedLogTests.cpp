#include <cstdio>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "Common/BoundedLog.h"
#include "Common/FileWatch.h"
#include "Common/Log.h"
#include "Common/ScopeGuard.h"
#include "Common/UniqueFd.h"

BOOST_AUTO_TEST_SUITE(BoundedLogs)

namespace {

using Common::LogBounds;
using Common::LogBuffer;
using Common::Millis;

const Common::SteadyTime Start{Millis(1000)};

} // namespace

BOOST_AUTO_TEST_CASE(BoundsTheLinesOfAFlood) {
  LogBounds Bounds;
  Bounds.LinesPerSecond = 10;
  Bounds.LinesAtOnce = 20;
  LogBuffer Tested(Bounds);
  int Kept = 0;
  for (int Line = 0; Line < 1000; ++Line)
    Kept += Tested.add("x\n", false, Start + Millis(Line)) ? 1 : 0;
  BOOST_TEST(Kept >= 29);
  BOOST_TEST(Kept <= 31);
  BOOST_TEST(Tested.takeDropped() == static_cast<std::uint64_t>(1000 - Kept));
  BOOST_TEST(Tested.takeDropped() == 0U);
}

BOOST_AUTO_TEST_CASE(KeepsWarningsBesideAFlood) {
  LogBounds Bounds;
  Bounds.LinesAtOnce = 5;
  LogBuffer Tested(Bounds);
  for (int Line = 0; Line < 100; ++Line)
    Tested.add("x\n", false, Start);
  BOOST_TEST(Tested.add("warning\n", true, Start));
  BOOST_TEST(Tested.isDue(Start));
}

BOOST_AUTO_TEST_CASE(HoldsABoundedPartWhileItsReaderStalls) {
  LogBounds Bounds;
  Bounds.BufferBytes = 100;
  LogBuffer Tested(Bounds);
  for (int Line = 0; Line < 100; ++Line)
    Tested.add("0123456789", false, Start);
  BOOST_TEST(Tested.held().size() == 100U);
  BOOST_TEST(Tested.takeDropped() == 90U);
}

BOOST_AUTO_TEST_CASE(GathersLinesThatComeTogether) {
  LogBuffer Tested{LogBounds()};
  Tested.add("a\n", false, Start);
  BOOST_TEST(Tested.isDue(Start));
  Tested.written(2, Start);
  Tested.add("b\n", false, Start + Millis(1));
  BOOST_TEST(!Tested.isDue(Start + Millis(1)));
  BOOST_TEST(Tested.isDue(Start + Millis(100)));
}

// The reader of standard output takes nothing.
BOOST_AUTO_TEST_CASE(NeverWaitsForAReaderThatStalls) {
  int Ends[2] = {-1, -1};
  BOOST_REQUIRE(::pipe(Ends) == 0);
  const Common::UniqueFd Reader(Ends[0]);
  const Common::UniqueFd Writer(Ends[1]);
  const Common::UniqueFd Before(::dup(STDOUT_FILENO));
  LogBounds Bounds;
  Bounds.LinesPerSecond = 1e6;
  Bounds.LinesAtOnce = 1e6;
  BOOST_REQUIRE(::dup2(Writer.value(), STDOUT_FILENO) >= 0);
  const Common::ScopeGuard Restore([&] {
    ::dup2(Before.value(), STDOUT_FILENO);
    Common::startLog("test", "info", "%v");
  });
  Common::startBoundedLog("test", "info", "%v", Bounds);
  const auto Begin = std::chrono::steady_clock::now();
  // Many times what a pipe and the buffer hold together.
  for (int Line = 0; Line < 20'000; ++Line)
    spdlog::warn("a line of some length to fill the pipe, number {}", Line);
  BOOST_TEST(
      (std::chrono::steady_clock::now() - Begin < std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(SeesThatAFileWasWrittenAnew) {
  const std::string File = "file-watch-test.ini";
  const Common::ScopeGuard Remove([&] { std::remove(File.c_str()); });
  std::ofstream(File) << "a = 1\n";
  Common::FileWatch Tested(File);
  BOOST_TEST(!Tested.hasChanged());
  std::ofstream(File) << "a = 12\n";
  BOOST_TEST(Tested.hasChanged());
  BOOST_TEST(!Tested.hasChanged());
  std::remove(File.c_str());
  BOOST_TEST(!Tested.hasChanged());
}

BOOST_AUTO_TEST_SUITE_END()
