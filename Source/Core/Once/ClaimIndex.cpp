#include "Once/ClaimIndex.h"

#include <algorithm>

namespace Once {

void ClaimIndex::apply(Common::WallTime AppendedAt, const Batch &Record) {
  LogTime = std::max(LogTime, AppendedAt);
  removeExpired();
  for (const Claim &Candidate : Record.Claims) {
    // Every reader ignores claims outside their window. A reader that started
    // later has not seen an earlier claim for the same key and would otherwise
    // decide differently.
    if (!Window.covers(Candidate.IssuedAt, LogTime))
      continue;
    const bool IsFirst =
        Entries
            .try_emplace(Candidate.Key,
                         Entry{Candidate.Holder, Candidate.Fingerprint, {}})
            .second;
    if (IsFirst)
      ByExpiry.emplace(Candidate.IssuedAt + Window.Length, Candidate.Key);
  }
  for (const Outcome &Result : Record.Outcomes)
    recordOutcome(Result.Key, Result);
}

const ClaimIndex::Entry *ClaimIndex::find(const std::string &Key) const {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

void ClaimIndex::clear() { *this = ClaimIndex(Window, MaxResponseBytes); }

void ClaimIndex::describe(std::ostream &Out) const {
  Out << LogTime.time_since_epoch().count();
  const std::map<std::string, Entry> Ordered(Entries.begin(), Entries.end());
  for (const auto &[Key, Indexed] : Ordered) {
    Out << ' ' << Key << ' ' << Indexed.Holder;
    if (Indexed.Recorded)
      Out << ' ' << Common::resultCodeNumber(Indexed.Recorded->Result);
  }
}

void ClaimIndex::removeExpired() {
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= LogTime) {
    const auto Found = Entries.find(ByExpiry.begin()->second);
    if (Found->second.Recorded)
      ResponseBytes -= Found->second.Recorded->Body.size();
    Entries.erase(Found);
    ByExpiry.erase(ByExpiry.begin());
  }
}

void ClaimIndex::recordOutcome(const std::string &Key, const Outcome &Result) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.Holder != Result.Holder ||
      Found->second.Recorded)
    return;
  Found->second.Recorded = Result;
  if (Result.Body.empty())
    return;
  ResponseBytes += Result.Body.size();
  KeysWithBody.push_back(Key);
  while (ResponseBytes > MaxResponseBytes && !KeysWithBody.empty()) {
    const auto Oldest = Entries.find(KeysWithBody.front());
    KeysWithBody.pop_front();
    if (Oldest == Entries.end() || !Oldest->second.Recorded)
      continue;
    ResponseBytes -= Oldest->second.Recorded->Body.size();
    Oldest->second.Recorded->Body.clear();
    Oldest->second.Recorded->Body.shrink_to_fit();
    Oldest->second.Recorded->WithoutBody = true;
  }
  // Drops expired keys, so that the queue does not grow without bound.
  while (!KeysWithBody.empty() && !Entries.contains(KeysWithBody.front()))
    KeysWithBody.pop_front();
}

} // namespace Once
