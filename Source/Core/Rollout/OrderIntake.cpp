#include "Rollout/OrderIntake.h"

namespace Rollout {

namespace {

// Positions within an era take the lower bits.
constexpr int EraShift = 32;

bool isSameOrder(const Order &First, const Order &Second) {
  return First.Service == Second.Service &&
         First.TargetVersion == Second.TargetVersion &&
         First.Duration == Second.Duration;
}

} // namespace

std::int64_t positionInEra(std::optional<Recovery::StoreEra> Era,
                           std::int64_t Position) {
  return (Era.value_or(0) << EraShift) + Position;
}

bool isOfLaterEra(const Order &First, const Order &Second) {
  return (First.Position >> EraShift) > (Second.Position >> EraShift);
}

OrderStep OrderIntake::handleOrder(const Order &Found, const Progress *Known,
                                   bool IsFirstRead) {
  if (Known) {
    const bool IsLaterEra = isOfLaterEra(Found, Known->Ordered);
    if (!IsLaterEra && Found.Position <= Known->Ordered.Position)
      return OrderStep::Skip;
    if (IsLaterEra && isSameOrder(Found, Known->Ordered)) {
      // A second record of this era is a new order with the same content.
      const auto [Entry, IsNew] =
          FoundAgain.try_emplace(Found.Service, Found.Position);
      if (IsNew || Found.Position <= Entry->second)
        return OrderStep::Skip;
    }
  }
  return IsFirstRead ? OrderStep::Resume : OrderStep::Begin;
}

} // namespace Rollout
