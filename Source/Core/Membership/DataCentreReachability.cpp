#include "Membership/DataCentreReachability.h"

namespace Membership {

void DataCentreReachability::onReceived(const std::string &DataCentre,
                                        Common::SteadyTime Now) {
  Record &Known = Records[DataCentre];
  Known.LastReceived = Now;
  Known.Current = State::Reachable;
  Unreachable.erase(DataCentre);
}

void DataCentreReachability::update(const std::string &DataCentre,
                                    const Unanswered &Echoes,
                                    Common::SteadyTime Now) {
  Record &Known = Records[DataCentre];
  // After a pause of this process, messages may be waiting in its sockets.
  if (Now - Known.LastUpdate > DoubtAfter)
    Known.LastReceived = std::max(Known.LastReceived, Now);
  Known.LastUpdate = Now;
  if (Known.Current == State::Unreachable) {
    if (Now - Known.UnreachableSince >= RecheckAfter)
      onReceived(DataCentre, Now);
    return;
  }
  const Common::Duration Silence =
      Echoes.OldestSince
          ? Now - std::max(Known.LastReceived, *Echoes.OldestSince)
          : Common::Duration::zero();
  if (Silence >= UnreachableAfter && Echoes.Connections >= MinSilentNodes) {
    Known.Current = State::Unreachable;
    Known.LastProbe = Now;
    Known.UnreachableSince = Now;
    Unreachable.insert(DataCentre);
  } else {
    Known.Current = Silence >= DoubtAfter ? State::InDoubt : State::Reachable;
  }
}

DataCentreReachability::State
DataCentreReachability::state(const std::string &DataCentre) const {
  const auto Found = Records.find(DataCentre);
  return Found == Records.end() ? State::Reachable : Found->second.Current;
}

bool DataCentreReachability::takeProbe(const std::string &DataCentre,
                                       Common::SteadyTime Now) {
  const auto Found = Records.find(DataCentre);
  if (Found == Records.end() || Found->second.Current != State::Unreachable ||
      Now - Found->second.LastProbe < ProbeInterval)
    return false;
  Found->second.LastProbe = Now;
  return true;
}

} // namespace Membership
