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

// Selects the summaries that a representative sends to other data centres.
// Changes are sent at once; in addition, all summarised members are sent in
// turn, a datagram at a time, so that lost updates are repeated.
class SummaryExchange {
public:
  explicit SummaryExchange(std::uint64_t Seed) : Random(Seed) {}

  // Queues a changed member of the local data centre.
  void onMemberChanged(const Member &Update);

  struct OutgoingSummary {
    SocketAddress To;
    std::vector<Member> Updates;
  };
  // Returns the summaries to send now, each with the updates that fit into
  // MaxUpdateBytes; none if this node is not a representative.
  std::vector<OutgoingSummary> nextSummaries(const MemberTable &Table,
                                             std::size_t MaxUpdateBytes,
                                             Common::SteadyTime Now);

private:
  // What is still to be sent to one other data centre.
  struct RemoteState {
    UpdateQueue Changes;
    // Name of the last member sent by a refresh.
    std::string Cursor;
    Common::SteadyTime NextRefreshAt;
  };

  const Member *pickReceiver(const std::vector<const Member *> &Members,
                             const std::string &DataCentre);
  std::vector<Member> refresh(RemoteState &State, const MemberTable &Table,
                              std::size_t MaxUpdateBytes,
                              Common::SteadyTime Now);

  std::mt19937_64 Random;
  std::uint64_t ReceiverPicks = 0;
  // All nodes queue the changes for each known data centre, including nodes
  // that are not representatives yet: the current representative may just have
  // died.
  std::map<std::string, RemoteState> ByDataCentre;
  Common::SteadyTime NextAt;
};

} // namespace Membership
