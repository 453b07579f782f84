#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "Common/Time.h"

namespace Config {

// Limits how many snapshots a node sends at a time. A flight ends with the
// receiver's answer or after Limit.
class SnapshotTransfers {
public:
  SnapshotTransfers(std::size_t Most, Common::Duration Limit)
      : Most(Most), Limit(Limit) {}

  // False when the limit is reached.
  bool start(const std::string &Node, Common::SteadyTime Now);
  void end(const std::string &Node);
  void expire(Common::SteadyTime Now);
  std::size_t size() const { return Ends.size(); }

private:
  std::size_t Most;
  Common::Duration Limit;
  std::map<std::string, Common::SteadyTime> Ends;
};

} // namespace Config
