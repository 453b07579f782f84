#pragma once

#include <algorithm>
#include <optional>

#include "Common/Time.h"

namespace Admission {

// Estimates how many of its announced slots a backend server really has, from
// the outcomes of calls (additive increase, multiplicative decrease). The
// estimate is halved when the server sheds a call or cannot be reached, and
// grows by one for each round of answered calls. Announcing the same number
// again does not restore lost slots.
//
// A server that sheds a call at a concurrency at which it recently answered
// calls has not run out of slots. It sheds for another reason, and a lower
// concurrency would not help.
//
// Load pattern: servers shed a part of their calls at random although they have
// free slots. When each shed call halved the estimate, the six slots of each of
// 38 servers became one or two, and two calls in three were refused although
// there was capacity for them.
class SlotEstimate {
public:
  void onAnnounced(int Slots) {
    if (Slots == Announced)
      return;
    Announced = Slots;
    Usable = Slots;
  }
  // Concurrency is the number of calls that held slots when this one started,
  // including it.
  void onAnswered(int Concurrency, Common::SteadyTime Now) {
    if (!isProven(Concurrency, Now)) {
      ProvenConcurrency = Concurrency;
      ProvenAt = Now;
    } else if (Concurrency == ProvenConcurrency) {
      ProvenAt = Now;
    }
    if (Usable > 0)
      Usable = std::min<double>(Usable + 1 / Usable, Announced);
  }
  void onNotRun(int Concurrency, Common::SteadyTime Now) {
    if (Announced > 0 && !isProven(Concurrency, Now))
      Usable = std::max(Usable / 2, 1.0);
  }

  int announced() const { return Announced; }
  int usable() const { return static_cast<int>(Usable); }

private:
  // Several service times of the longest kinds. A server that lost slots is
  // detected after this time, when the proof of its former concurrency expires.
  static constexpr Common::Millis ProofLifetime{2'000};

  bool isProven(int Concurrency, Common::SteadyTime Now) const {
    return ProvenAt && Now - *ProvenAt <= ProofLifetime &&
           Concurrency <= ProvenConcurrency;
  }

  int Announced = 0;
  double Usable = 0;
  // The highest concurrency at which a call was answered recently.
  int ProvenConcurrency = 0;
  std::optional<Common::SteadyTime> ProvenAt;
};

} // namespace Admission
