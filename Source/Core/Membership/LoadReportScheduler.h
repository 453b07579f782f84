#pragma once

#include <algorithm>
#include <optional>

#include "Common/Time.h"
#include "Routing/Call.h"

namespace Membership {

// The nodes that are told the load of one server between answers.
struct LoadListeners {
  int Near = 0;
  int Far = 0;
};

// Decides when one node that calls the server beside this one is told its load
// between answers: when room appears or goes, not at each call. Nodes that
// have not called for a while are told nothing, so what is sent grows with the
// calls and not with the nodes; with many that call, each is told less often.
//
// Load pattern: demand swings within a second, and near nodes that last heard
// of a server while it was full go on leaving it alone when it is free again.
// Told to 60 callers at that pace, reports took a seventh of all processor time
// on a day of nodes with a tenth of a core.
class LoadSharing {
public:
  // Within a data centre bytes cost nothing but time.
  static constexpr Common::Millis NearInterval{30};
  static constexpr Common::Millis FarInterval{100};
  // With more listeners than this the intervals grow, so that a node sends
  // about 250 reports a second at most.
  static constexpr int FewNear = 4;
  static constexpr int FewFar = 12;
  // A node that calls no more has no use for reports.
  static constexpr Common::Millis InterestLife{2'000};

  explicit LoadSharing(bool IsNear) : IsNear(IsNear) {}

  void called(Common::SteadyTime Now) { CalledAt = Now; }
  // An answer has carried the load.
  void told(const Routing::ServerLoad &Load, Common::SteadyTime Now) {
    Told = levelOf(Load);
    ToldAt = Now;
  }
  void countIn(LoadListeners &Among, Common::SteadyTime Now) const {
    if (isInterested(Now))
      ++(IsNear ? Among.Near : Among.Far);
  }
  bool isDue(const Routing::ServerLoad &Load, const LoadListeners &Among,
             Common::SteadyTime Now) const {
    return isInterested(Now) && Now - ToldAt >= interval(Among) &&
           levelOf(Load) != Told;
  }

private:
  bool isInterested(Common::SteadyTime Now) const {
    return CalledAt && Now - *CalledAt < InterestLife;
  }
  Common::Duration interval(const LoadListeners &Among) const {
    return IsNear ? NearInterval * std::max(Among.Near, FewNear) / FewNear
                  : FarInterval * std::max(Among.Far, FewFar) / FewFar;
  }
  // How much room there is, in steps that make a difference to who chooses.
  static int levelOf(const Routing::ServerLoad &Load) {
    constexpr int MuchRoom = 3;
    constexpr int CallsPerStep = 4;
    const int Free = Load.Slots - Load.BusySlots;
    if (Free > 0)
      return std::min(Free, MuchRoom);
    return -(Load.Queued + CallsPerStep - 1) / CallsPerStep;
  }

  bool IsNear;
  int Told = 0;
  Common::SteadyTime ToldAt;
  std::optional<Common::SteadyTime> CalledAt;
};

} // namespace Membership
