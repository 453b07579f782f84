#include "Config/SnapshotFlights.h"

namespace Config {

bool SnapshotFlights::start(const std::string &Node, Common::SteadyTime Now) {
  if (Ends.size() >= Most && !Ends.contains(Node))
    return false;
  Ends.insert_or_assign(Node, Now + Limit);
  return true;
}

void SnapshotFlights::end(const std::string &Node) { Ends.erase(Node); }

void SnapshotFlights::expire(Common::SteadyTime Now) {
  std::erase_if(Ends, [Now](const auto &Each) { return Each.second <= Now; });
}

} // namespace Config
