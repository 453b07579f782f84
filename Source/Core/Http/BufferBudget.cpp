#include "Http/BufferBudget.h"

#include <algorithm>
#include <tuple>

namespace Http {

BufferBudget::Holder &BufferBudget::holder(HolderId Id,
                                           Common::SteadyTime Now) {
  const auto [Position, IsNew] = Holders.try_emplace(Id);
  if (IsNew)
    Position->second.Begun = Position->second.LastMoved = Now;
  return Position->second;
}

bool BufferBudget::isStalled(const Holder &Candidate,
                             Common::SteadyTime Now) const {
  if (Now - Candidate.LastMoved >= Limits.StallTime)
    return true;
  const Common::Duration Age = Now - Candidate.Begun;
  return Age >= Limits.StallTime && std::chrono::seconds(1) * Candidate.Moved <
                                        Age * Limits.BytesPerSecond;
}

std::vector<BufferBudget::HolderId> BufferBudget::free(HolderId Requester,
                                                       std::size_t Excess,
                                                       std::size_t LargerThan,
                                                       Common::SteadyTime Now) {
  struct Candidate {
    bool Stalled;
    std::size_t Bytes;
    HolderId Id;
  };
  std::vector<Candidate> Candidates;
  for (const auto &[Id, Entry] : Holders) {
    if (Id == Requester || !Entry.MayGiveWay || Entry.Bytes == 0)
      continue;
    const bool Stalled = isStalled(Entry, Now);
    if (Stalled || Entry.Bytes > LargerThan)
      Candidates.push_back({Stalled, Entry.Bytes, Id});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tie(Left.Stalled, Left.Bytes, Left.Id) >
                     std::tie(Right.Stalled, Right.Bytes, Right.Id);
            });
  std::vector<HolderId> Chosen;
  std::size_t Freed = 0;
  for (auto Next = Candidates.begin();
       Next != Candidates.end() && Freed < Excess; ++Next) {
    Chosen.push_back(Next->Id);
    Freed += Next->Bytes;
  }
  if (Freed < Excess)
    return {};
  for (const HolderId Id : Chosen)
    release(Id);
  return Chosen;
}

BufferBudget::Decision BufferBudget::request(HolderId Id, std::size_t Bytes,
                                             Common::SteadyTime Now) {
  const std::size_t Before = holder(Id, Now).Bytes;
  const std::size_t Total = Held - Before + Bytes;
  Decision Result;
  if (Bytes > Before && Total > Limits.Bytes) {
    const std::size_t LargerThan =
        Bytes <= Limits.OrdinaryBytes ? Limits.OrdinaryBytes : Limits.Bytes;
    if (Bytes <= Limits.Bytes)
      Result.GiveWay = free(Id, Total - Limits.Bytes, LargerThan, Now);
    if (Result.GiveWay.empty()) {
      Result.Granted = false;
      return Result;
    }
  }
  Held = Held - Before + Bytes;
  Holders.at(Id).Bytes = Bytes;
  return Result;
}

std::vector<BufferBudget::HolderId>
BufferBudget::record(HolderId Id, std::size_t Bytes, Common::SteadyTime Now) {
  Holder &Entry = holder(Id, Now);
  const bool Grows = Bytes > Entry.Bytes;
  if (!Grows)
    progressed(Id, Entry.Bytes - Bytes, Now);
  Held = Held - Entry.Bytes + Bytes;
  Entry.Bytes = Bytes;
  if (!Grows || Held <= Limits.Bytes)
    return {};
  return free(Id, Held - Limits.Bytes, Limits.OrdinaryBytes, Now);
}

void BufferBudget::progressed(HolderId Id, std::size_t Bytes,
                              Common::SteadyTime Now) {
  if (Bytes == 0)
    return;
  Holder &Entry = holder(Id, Now);
  Entry.Moved += static_cast<std::int64_t>(Bytes);
  Entry.LastMoved = Now;
}

void BufferBudget::setMayGiveWay(HolderId Id, bool Value) {
  if (const auto Found = Holders.find(Id); Found != Holders.end())
    Found->second.MayGiveWay = Value;
}

void BufferBudget::release(HolderId Id) {
  const auto Found = Holders.find(Id);
  if (Found == Holders.end())
    return;
  Held -= Found->second.Bytes;
  Holders.erase(Found);
}

} // namespace Http
