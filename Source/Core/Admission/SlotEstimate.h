#pragma once

#include <algorithm>

namespace Admission {

// How many of its announced slots a backend server really has, concluded from
// calls: it is halved when the server sheds a call or cannot be reached, and
// grows by one for each round of answered calls. An announcement of the same
// number does not bring lost slots back.
class SlotEstimate {
public:
  void announce(int Slots) {
    if (Slots == Announced)
      return;
    Announced = Slots;
    Usable = Slots;
  }
  void answered() {
    if (Usable > 0)
      Usable = std::min<double>(Usable + 1 / Usable, Announced);
  }
  void notRun() {
    if (Announced > 0)
      Usable = std::max(Usable / 2, 1.0);
  }

  int announced() const { return Announced; }
  int usable() const { return static_cast<int>(Usable); }

private:
  int Announced = 0;
  double Usable = 0;
};

} // namespace Admission
