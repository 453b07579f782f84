#include "Membership/UpdateQueue.h"

#include <algorithm>

#include "Membership/Datagram.h"

namespace Membership {

void UpdateQueue::push(const Member &Update) {
  Entries.insert_or_assign(Update.Node, Entry{Update, 0});
}

std::vector<Member> UpdateQueue::take(std::size_t Bytes, int TransmitLimit) {
  std::vector<Entry *> Order;
  Order.reserve(Entries.size());
  for (auto &[Name, Each] : Entries)
    Order.push_back(&Each);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Entry *Left, const Entry *Right) {
                     return Left->Transmissions < Right->Transmissions;
                   });
  std::vector<Member> Result;
  std::size_t Used = 0;
  for (Entry *Each : Order) {
    const std::size_t Size = encodedLimit(Each->Update);
    if (!Result.empty() && Used + Size > Bytes)
      break;
    Used += Size;
    ++Each->Transmissions;
    Result.push_back(Each->Update);
  }
  std::erase_if(Entries, [&](const auto &Pair) {
    return Pair.second.Transmissions >= TransmitLimit;
  });
  return Result;
}

} // namespace Membership
