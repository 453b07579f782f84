#include "Config/SnapshotTransfers.h"

namespace Config {

bool SnapshotTransfers::start(const std::string &Node, Common::SteadyTime Now) {
  if (Ends.size() >= Most && !Ends.contains(Node))
    return false;
  Ends.insert_or_assign(Node, Now + Limit);
  return true;
}

void SnapshotTransfers::end(const std::string &Node) { Ends.erase(Node); }

void SnapshotTransfers::expire(Common::SteadyTime Now) {
  std::erase_if(Ends, [Now](const auto &Each) { return Each.second <= Now; });
}

} // namespace Config
