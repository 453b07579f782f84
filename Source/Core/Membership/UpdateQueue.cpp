#include "Membership/UpdateQueue.h"

#include <algorithm>

#include "Membership/Datagram.h"

namespace Membership {

void UpdateQueue::push(const Member &Update) {
  Entries.insert_or_assign(Update.Node, Entry{Update, 0});
}

std::vector<Member> UpdateQueue::takeBatch(std::size_t MaxBytes,
                                           int MaxTransmissions) {
  std::vector<Entry *> ByTransmissions;
  ByTransmissions.reserve(Entries.size());
  for (auto &[Name, Queued] : Entries)
    ByTransmissions.push_back(&Queued);
  std::stable_sort(ByTransmissions.begin(), ByTransmissions.end(),
                   [](const Entry *Left, const Entry *Right) {
                     return Left->Transmissions < Right->Transmissions;
                   });
  std::vector<Member> Result;
  std::size_t UsedBytes = 0;
  for (Entry *Next : ByTransmissions) {
    const std::size_t Size = maxEncodedSize(Next->Update);
    if (!Result.empty() && UsedBytes + Size > MaxBytes)
      break;
    UsedBytes += Size;
    ++Next->Transmissions;
    Result.push_back(Next->Update);
  }
  std::erase_if(Entries, [&](const auto &Pair) {
    return Pair.second.Transmissions >= MaxTransmissions;
  });
  return Result;
}

} // namespace Membership
