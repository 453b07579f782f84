#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"

namespace Common {

// How much a program may write to its log.
struct LogBounds {
  // Lines for each second on average, and at once after a quiet time. Warnings
  // and errors have as many of their own, so that they are not lost among
  // ordinary lines. Above what a node writes at its usual load, and a small
  // part of a VM's processor time.
  double LinesPerSecond = 300;
  double LinesAtOnce = 600;
  // What is kept while the reader of the log stalls.
  std::size_t BufferBytes = 256 << 10;
  // Lines that come within this time leave in one system call.
  Duration Gather = Millis(100);
};

// Decides which lines are written, and holds them until the reader takes them.
// It has no descriptor: what is due is asked for and taken away.
class LogBuffer {
public:
  explicit LogBuffer(const LogBounds &Bounds) : Bounds(Bounds) {}

  // False when the line was dropped.
  bool add(const std::string &Line, bool IsUrgent, SteadyTime Now);
  // Whether what is held should be written now.
  bool isDue(SteadyTime Now) const;
  const std::string &held() const { return Held; }
  // So many bytes were written.
  void written(std::size_t Bytes, SteadyTime Now);
  // Lines dropped since this was last asked.
  std::uint64_t takeDropped();

private:
  struct Allowance {
    double Lines = 0;
    SteadyTime RefilledAt = {};
    bool IsFresh = true;
  };

  bool take(Allowance &From, SteadyTime Now);

  LogBounds Bounds;
  Allowance Ordinary;
  Allowance Urgent;
  std::string Held;
  bool HoldsUrgent = false;
  SteadyTime WrittenAt = {};
  std::uint64_t Dropped = 0;
};

} // namespace Common
