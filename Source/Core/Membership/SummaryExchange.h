#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Membership/Datagram.h"
#include "Membership/MemberTable.h"
#include "Membership/UpdateQueue.h"

namespace Membership {

// What a representative tells the other data centres: changes at once, and a
// piece of all that they hear of in turn, so that what was lost comes again.
class SummaryExchange {
public:
  explicit SummaryExchange(std::uint64_t Seed) : Random(Seed) {}

  // A member of the own data centre changed.
  void changed(const Member &Update);

  struct Told {
    Place To;
    std::vector<Member> Updates;
  };
  // What to send now; nothing when this node is no representative.
  std::vector<Told> due(const MemberTable &Table, std::size_t Bytes,
                        Common::SteadyTime Now);

private:
  struct Far {
    UpdateQueue Changes;
    std::string Cursor;
    Common::SteadyTime RefreshAt;
  };

  const Member *listener(const std::vector<const Member *> &Members,
                         const std::string &DataCentre);
  std::vector<Member> refresh(Far &State, const MemberTable &Table,
                              std::size_t Bytes, Common::SteadyTime Now);

  std::mt19937_64 Random;
  std::uint64_t Turns = 0;
  // Changes are kept for data centres that are known, also by nodes that are
  // no representative yet: the one that was may just have died.
  std::map<std::string, Far> ByDataCentre;
  Common::SteadyTime NextAt;
};

} // namespace Membership
