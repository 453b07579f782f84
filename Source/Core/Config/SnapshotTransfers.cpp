#include "Config/SnapshotTransfers.h"

namespace Config {

bool SnapshotTransfers::start(const std::string &Node, Common::SteadyTime Now) {
  if (Deadlines.size() >= MaxTransfers && !Deadlines.contains(Node))
    return false;
  Deadlines.insert_or_assign(Node, Now + Timeout);
  return true;
}

void SnapshotTransfers::end(const std::string &Node) { Deadlines.erase(Node); }

void SnapshotTransfers::expire(Common::SteadyTime Now) {
  std::erase_if(Deadlines,
                [Now](const auto &Transfer) { return Transfer.second <= Now; });
}

} // namespace Config
