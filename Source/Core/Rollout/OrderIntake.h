#pragma once

#include <map>
#include <string>

#include "Recovery/StoreEra.h"
#include "Rollout/Progress.h"

namespace Rollout {

// The position of an order among the orders of all eras of the store, which
// gives out the positions of an earlier era again. Position is that in the
// given era.
std::int64_t positionInEra(std::optional<Recovery::StoreEra> Era,
                           std::int64_t Position);

// Whether the position of the first order is of a later era than that of the
// second.
bool isOfLaterEra(const Order &First, const Order &Second);

// What to do with an order that was read.
enum class OrderStep {
  Skip,
  // It may have ended before this coordinator knew it.
  Resume,
  Begin
};

// Decides whether an order that was read is new. After the store has come back
// from an older copy, an order that is known is read once more: the copy holds
// it, or the operator has written it again.
class OrderIntake {
public:
  void handleStoreRestored() { FoundAgain.clear(); }
  // Known is the progress of the order's service; null if there is none.
  // IsFirstRead is whether the order may be older than this read.
  OrderStep handleOrder(const Order &Found, const Progress *Known,
                        bool IsFirstRead);

private:
  // The position at which the known order of a service was found in this era.
  std::map<std::string, std::int64_t> FoundAgain;
};

} // namespace Rollout
