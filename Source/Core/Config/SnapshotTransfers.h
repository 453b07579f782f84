#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "Common/Time.h"

namespace Config {

// Limits how many snapshots a node sends concurrently. A transfer ends with the
// receiver's acknowledgement or after Timeout.
class SnapshotTransfers {
public:
  SnapshotTransfers(std::size_t MaxTransfers, Common::Duration Timeout)
      : MaxTransfers(MaxTransfers), Timeout(Timeout) {}

  // Returns false when MaxTransfers are in progress.
  bool start(const std::string &Node, Common::SteadyTime Now);
  void end(const std::string &Node);
  void expire(Common::SteadyTime Now);
  std::size_t size() const { return Deadlines.size(); }

private:
  std::size_t MaxTransfers;
  Common::Duration Timeout;
  std::map<std::string, Common::SteadyTime> Deadlines;
};

} // namespace Config
