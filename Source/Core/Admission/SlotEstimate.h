#pragma once

#include <algorithm>
#include <optional>

#include "Common/Time.h"

namespace Admission {

// How many of its announced slots a backend server really has, concluded from
// calls: it is halved when the server sheds a call or cannot be reached, and
// grows by one for each round of answered calls. An announcement of the same
// number does not bring lost slots back.
//
// A server that sheds a call beside no more others than it answered lately has
// not run out of slots: it sheds for a reason of its own, and fewer calls at a
// time would not help.
//
// Load pattern: servers shed a part of their calls at random while they have
// room. Halved each time, six slots of each of 38 servers became one or two,
// and two calls in three were refused for want of room that was there.
class SlotEstimate {
public:
  void announce(int Slots) {
    if (Slots == Announced)
      return;
    Announced = Slots;
    Usable = Slots;
  }
  // Beside counts the calls that held slots when this one began, itself
  // included.
  void answered(int Beside, Common::SteadyTime Now) {
    if (!isProven(Beside, Now)) {
      Proven = Beside;
      ProvenAt = Now;
    } else if (Beside == Proven) {
      ProvenAt = Now;
    }
    if (Usable > 0)
      Usable = std::min<double>(Usable + 1 / Usable, Announced);
  }
  void notRun(int Beside, Common::SteadyTime Now) {
    if (Announced > 0 && !isProven(Beside, Now))
      Usable = std::max(Usable / 2, 1.0);
  }

  int announced() const { return Announced; }
  int usable() const { return static_cast<int>(Usable); }

private:
  // Some calls of the longest kinds we serve: a server that lost its slots is
  // found after this.
  static constexpr Common::Millis ProofLife{2'000};

  bool isProven(int Beside, Common::SteadyTime Now) const {
    return ProvenAt && Now - *ProvenAt <= ProofLife && Beside <= Proven;
  }

  int Announced = 0;
  double Usable = 0;
  // The most calls at a time of which one was answered lately.
  int Proven = 0;
  std::optional<Common::SteadyTime> ProvenAt;
};

} // namespace Admission
