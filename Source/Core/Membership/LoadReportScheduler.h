#pragma once

#include <algorithm>
#include <optional>

#include "Common/Time.h"
#include "Routing/Call.h"

namespace Membership {

// Numbers of caller-side nodes that get load reports between answers, in the
// local data centre and in others.
struct LoadSubscribers {
  int Local = 0;
  int Remote = 0;
};

// Decides when one caller-side node gets a report of the load of the server
// beside this node between answers: when free capacity appears or disappears,
// not at each call. Nodes that have not called for a while get no reports, so
// the traffic grows with the calls and not with the number of nodes. The more
// nodes call, the longer the interval between reports to each of them.
//
// Load pattern: demand changes within a second, and local nodes that received
// the last load while the server was full keep avoiding it when it is free
// again. Reports to 60 callers at the full rate took a seventh of all processor
// time on nodes with a tenth of a core each.
class LoadReportScheduler {
public:
  // Traffic within a data centre costs only processor time, so the interval is
  // shorter.
  static constexpr Common::Millis LocalInterval{30};
  static constexpr Common::Millis RemoteInterval{100};
  // With more subscribers than this the intervals grow, so that a node sends
  // about 250 reports per second at most.
  static constexpr int FullRateLocal = 4;
  static constexpr int FullRateRemote = 12;
  // Time after the last call in which a node gets reports. A node that no
  // longer calls does not need them.
  static constexpr Common::Millis SubscriptionTime{2'000};

  explicit LoadReportScheduler(bool IsLocal) : IsLocal(IsLocal) {}

  void onCall(Common::SteadyTime Now) { LastCallAt = Now; }
  // Records that the load was sent, in an answer or in a report.
  void onLoadSent(const Routing::ServerLoad &Load, Common::SteadyTime Now) {
    ReportedLevel = levelOf(Load);
    ReportedAt = Now;
  }
  void addTo(LoadSubscribers &Subscribers, Common::SteadyTime Now) const {
    if (isSubscribed(Now))
      ++(IsLocal ? Subscribers.Local : Subscribers.Remote);
  }
  bool isDue(const Routing::ServerLoad &Load,
             const LoadSubscribers &Subscribers, Common::SteadyTime Now) const {
    return isSubscribed(Now) && Now - ReportedAt >= interval(Subscribers) &&
           levelOf(Load) != ReportedLevel;
  }

private:
  bool isSubscribed(Common::SteadyTime Now) const {
    return LastCallAt && Now - *LastCallAt < SubscriptionTime;
  }
  Common::Duration interval(const LoadSubscribers &Subscribers) const {
    return IsLocal
               ? LocalInterval * std::max(Subscribers.Local, FullRateLocal) /
                     FullRateLocal
               : RemoteInterval * std::max(Subscribers.Remote, FullRateRemote) /
                     FullRateRemote;
  }
  // Maps the load to levels of free capacity that matter for choosing a server:
  // positive for free slots, else a negative step for each few queued calls.
  static int levelOf(const Routing::ServerLoad &Load) {
    constexpr int MaxFreeLevel = 3;
    constexpr int CallsPerLevel = 4;
    const int FreeSlots = Load.Slots - Load.BusySlots;
    if (FreeSlots > 0)
      return std::min(FreeSlots, MaxFreeLevel);
    return -(Load.Queued + CallsPerLevel - 1) / CallsPerLevel;
  }

  bool IsLocal;
  int ReportedLevel = 0;
  Common::SteadyTime ReportedAt;
  std::optional<Common::SteadyTime> LastCallAt;
};

} // namespace Membership
