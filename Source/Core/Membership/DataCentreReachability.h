#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Common/Time.h"

namespace Membership {

// Decides which other data centres this node cannot reach at the moment.
//
// Load pattern: a data centre is cut off. Every connection into it becomes
// silent at the same time, but each one notices that by itself, after its own
// time-out and only while it carries calls. So calls went to one unreachable
// node after the other for as long as the cut lasted. Here the silence of all
// nodes of a data centre counts together: while an echo to one of them is
// unanswered and no message arrives from any of them, the data centre counts as
// unreachable, until one is heard again.
class DataCentreReachability {
public:
  enum class State {
    Reachable,
    // Silent for a moment. All connections to the data centre are asked.
    InDoubt,
    Unreachable,
  };

  static constexpr Common::Millis DoubtAfter{300};
  // Longer than the retransmission of one lost packet takes.
  static constexpr Common::Millis UnreachableAfter{600};
  // Silent nodes that it takes, as a single one may be dead.
  static constexpr int MinSilentNodes = 2;
  static constexpr Common::Millis ProbeInterval{500};
  // Calls try an unreachable data centre again after this, in case the nodes
  // that are probed have been replaced.
  static constexpr std::chrono::seconds RecheckAfter{10};

  // The connections to a data centre that wait for an answer to an echo.
  struct Unanswered {
    int Connections = 0;
    // When the oldest of these echoes was sent.
    std::optional<Common::SteadyTime> OldestSince;

    void add(Common::SteadyTime Since) {
      ++Connections;
      OldestSince = std::min(OldestSince.value_or(Since), Since);
    }
  };

  // A message arrived from a node of the data centre, or a connection to one
  // was established.
  void onReceived(const std::string &DataCentre, Common::SteadyTime Now);
  // Has to be called for each data centre at short intervals.
  void update(const std::string &DataCentre, const Unanswered &Echoes,
              Common::SteadyTime Now);

  State state(const std::string &DataCentre) const;
  const std::set<std::string> &unreachable() const { return Unreachable; }
  // Whether to connect to another node of an unreachable data centre now. The
  // caller does so if the result is true.
  bool takeProbe(const std::string &DataCentre, Common::SteadyTime Now);

private:
  struct Record {
    Common::SteadyTime LastReceived;
    Common::SteadyTime LastUpdate;
    Common::SteadyTime LastProbe;
    Common::SteadyTime UnreachableSince;
    State Current = State::Reachable;
  };

  std::map<std::string, Record> Records;
  std::set<std::string> Unreachable;
};

} // namespace Membership
