#pragma once

#include <cstdint>
#include <string>

#include "Common/Time.h"

namespace Common {

// The limits for the amount that a program writes to its log.
struct LogBounds {
  // The average rate and the burst size of a token bucket. Warnings and errors
  // have a bucket of their own with the same limits, so that a flood of
  // ordinary lines does not displace them. The defaults are above what a node
  // writes at its usual load and cost a small part of a VM's processor time.
  double LinesPerSecond = 300;
  double BurstLines = 600;
  // The maximum size of the lines held while the reader of the log stalls.
  std::size_t BufferBytes = 256 << 10;
  // The minimum time between writes of ordinary lines. Lines logged within it
  // are written with one system call.
  Duration FlushInterval = Millis(100);
};

// Applies the limits to log lines and buffers the accepted ones. It does no
// I/O: the caller writes pending() when isDue() and reports the result to
// markWritten().
class LogBuffer {
public:
  explicit LogBuffer(const LogBounds &Bounds) : Bounds(Bounds) {}

  // Returns false if the line was dropped.
  bool add(const std::string &Line, bool IsUrgent, SteadyTime Now);
  // Whether the pending lines should be written now.
  bool isDue(SteadyTime Now) const;
  const std::string &pending() const { return Pending; }
  // Removes the first Bytes of the pending lines, which have been written.
  void markWritten(std::size_t Bytes, SteadyTime Now);
  // Returns the number of lines dropped since the previous call.
  std::uint64_t takeDropped();

private:
  struct TokenBucket {
    double Tokens = 0;
    SteadyTime RefilledAt = {};
    bool IsUnused = true;
  };

  bool takeToken(TokenBucket &Bucket, SteadyTime Now);

  LogBounds Bounds;
  TokenBucket Ordinary;
  TokenBucket Urgent;
  std::string Pending;
  bool HasUrgent = false;
  SteadyTime LastWriteAt = {};
  std::uint64_t Dropped = 0;
};

} // namespace Common
