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

BOOST_AUTO_TEST_CASE(LimitsTheRateOfLines) {
  LogBounds Bounds;
  Bounds.LinesPerSecond = 10;
  Bounds.BurstLines = 20;
  LogBuffer Buffer(Bounds);
  int Kept = 0;
  for (int Line = 0; Line < 1000; ++Line)
    Kept += Buffer.add("x\n", false, Start + Millis(Line)) ? 1 : 0;
  BOOST_TEST(Kept >= 29);
  BOOST_TEST(Kept <= 31);
  BOOST_TEST(Buffer.takeDropped() == static_cast<std::uint64_t>(1000 - Kept));
  BOOST_TEST(Buffer.takeDropped() == 0U);
}

BOOST_AUTO_TEST_CASE(KeepsWarningsDuringAFlood) {
  LogBounds Bounds;
  Bounds.BurstLines = 5;
  LogBuffer Buffer(Bounds);
  for (int Line = 0; Line < 100; ++Line)
    Buffer.add("x\n", false, Start);
  BOOST_TEST(Buffer.add("warning\n", true, Start));
  BOOST_TEST(Buffer.isDue(Start));
}

BOOST_AUTO_TEST_CASE(BuffersABoundedAmountWhileTheReaderStalls) {
  LogBounds Bounds;
  Bounds.BufferBytes = 100;
  LogBuffer Buffer(Bounds);
  for (int Line = 0; Line < 100; ++Line)
    Buffer.add("0123456789", false, Start);
  BOOST_TEST(Buffer.pending().size() == 100U);
  BOOST_TEST(Buffer.takeDropped() == 90U);
}

BOOST_AUTO_TEST_CASE(BatchesLinesWithinTheFlushInterval) {
  LogBuffer Buffer{LogBounds()};
  Buffer.add("a\n", false, Start);
  BOOST_TEST(Buffer.isDue(Start));
  Buffer.markWritten(2, Start);
  Buffer.add("b\n", false, Start + Millis(1));
  BOOST_TEST(!Buffer.isDue(Start + Millis(1)));
  BOOST_TEST(Buffer.isDue(Start + Millis(100)));
}

// Nothing reads from the pipe that stands in for standard output.
BOOST_AUTO_TEST_CASE(DoesNotBlockOnAStalledReader) {
  int PipeFds[2] = {-1, -1};
  BOOST_REQUIRE(::pipe(PipeFds) == 0);
  const Common::UniqueFd Reader(PipeFds[0]);
  const Common::UniqueFd Writer(PipeFds[1]);
  const Common::UniqueFd SavedStdout(::dup(STDOUT_FILENO));
  LogBounds Bounds;
  Bounds.LinesPerSecond = 1e6;
  Bounds.BurstLines = 1e6;
  BOOST_REQUIRE(::dup2(Writer.value(), STDOUT_FILENO) >= 0);
  const Common::ScopeGuard Restore([&] {
    ::dup2(SavedStdout.value(), STDOUT_FILENO);
    Common::startLog("test", "info", "%v");
  });
  Common::startBoundedLog("test", "info", "%v", Bounds);
  const auto Begin = std::chrono::steady_clock::now();
  // Many times more than the pipe and the buffer hold together.
  for (int Line = 0; Line < 20'000; ++Line)
    spdlog::warn("a line of some length to fill the pipe, number {}", Line);
  BOOST_TEST(
      (std::chrono::steady_clock::now() - Begin < std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(FileWatchDetectsARewrittenFile) {
  const std::string File = "file-watch-test.ini";
  const Common::ScopeGuard Remove([&] { std::remove(File.c_str()); });
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  std::ofstream(File) << "a = 1\n";
  Common::FileWatch Watch(File);
  BOOST_TEST(!Watch.hasChanged(Now));
  std::ofstream(File) << "a = 12\n";
  BOOST_TEST(Watch.hasChanged(Now));
  BOOST_TEST(!Watch.hasChanged(Now));
  std::remove(File.c_str());
  BOOST_TEST(!Watch.hasChanged(Now));
}

// Guards against a rewritten file that goes unnoticed, since it has the size
// and the modification time that it had when it was read.
BOOST_AUTO_TEST_CASE(FileWatchReportsAChangedFileAgainOnceItHasSettled) {
  const std::string File = "file-watch-settle-test.ini";
  const Common::ScopeGuard Remove([&] { std::remove(File.c_str()); });
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  std::ofstream(File) << "a = 1\n";
  Common::FileWatch Watch(File);
  std::ofstream(File) << "a = 12\n";
  BOOST_TEST(Watch.hasChanged(Now));
  BOOST_TEST(!Watch.hasChanged(Now + Common::Millis(5)));
  BOOST_TEST(Watch.hasChanged(Now + Common::Millis(50)));
  BOOST_TEST(!Watch.hasChanged(Now + Common::Millis(100)));
}

BOOST_AUTO_TEST_SUITE_END()
