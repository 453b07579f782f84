#pragma once

#include <optional>

#include "Common/Time.h"

namespace Admission {

// Learns how long work takes at the local backend server compared with a server
// of usual speed. It combines two factors: the speed of the server, which is
// learnt from its answers, and what the server itself states of its machine,
// which other users of the machine change many times a second.
class ServerSpeed {
public:
  // A call that was expected to take ExpectedCost at usual speed took
  // ServiceTime.
  void onAnswered(Common::Micros ExpectedCost, Common::Micros ServiceTime);
  // The server stated how long work takes now, in percent of what is usual on
  // its machine.
  void onStated(int Percent, Common::SteadyTime Now);

  // Whether there was an answer to a call of known cost.
  bool isKnown() const { return Learnt != 1; }
  // The learnt factor; above 1 for a slow server.
  double usual() const { return Learnt; }
  // The learnt factor times what the server stated last, whose weight decays.
  double current(Common::SteadyTime Now) const;

private:
  double Learnt = 1;
  int StatedPercent = 100;
  std::optional<Common::SteadyTime> StatedAt;
};

} // namespace Admission
