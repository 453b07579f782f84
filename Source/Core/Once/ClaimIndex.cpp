#include "Once/ClaimIndex.h"

#include <algorithm>

namespace Once {

void ClaimIndex::apply(Common::WallTime Appended, const Batch &Record) {
  LogTime = std::max(LogTime, Appended);
  expire();
  for (const Claim &Each : Record.Claims) {
    // A claim outside its window is void for every reader: those that started
    // later could not know of an earlier one.
    if (!Window.covers(Each.IssuedAt, LogTime))
      continue;
    const bool IsFirst =
        Entries.try_emplace(Each.Key, Entry{Each.Holder, Each.Fingerprint, {}})
            .second;
    if (IsFirst)
      ByEnd.emplace(Each.IssuedAt + Window.Length, Each.Key);
  }
  for (const Outcome &Each : Record.Outcomes)
    keepAnswer(Each.Key, Each);
}

const ClaimIndex::Entry *ClaimIndex::find(const std::string &Key) const {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

void ClaimIndex::clear() { *this = ClaimIndex(Window, AnswerLimit); }

void ClaimIndex::describe(std::ostream &Out) const {
  Out << LogTime.time_since_epoch().count();
  const std::map<std::string, Entry> Ordered(Entries.begin(), Entries.end());
  for (const auto &[Key, Each] : Ordered) {
    Out << ' ' << Key << ' ' << Each.Holder;
    if (Each.Ended)
      Out << ' ' << Common::resultCodeNumber(Each.Ended->Result);
  }
}

void ClaimIndex::expire() {
  while (!ByEnd.empty() && ByEnd.begin()->first <= LogTime) {
    const auto Found = Entries.find(ByEnd.begin()->second);
    if (Found->second.Ended)
      AnswerBytes -= Found->second.Ended->Body.size();
    Entries.erase(Found);
    ByEnd.erase(ByEnd.begin());
  }
}

void ClaimIndex::keepAnswer(const std::string &Key, const Outcome &Ended) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.Holder != Ended.Holder ||
      Found->second.Ended)
    return;
  Found->second.Ended = Ended;
  if (Ended.Body.empty())
    return;
  AnswerBytes += Ended.Body.size();
  WithBody.push_back(Key);
  while (AnswerBytes > AnswerLimit && !WithBody.empty()) {
    const auto Oldest = Entries.find(WithBody.front());
    WithBody.pop_front();
    if (Oldest == Entries.end() || !Oldest->second.Ended)
      continue;
    AnswerBytes -= Oldest->second.Ended->Body.size();
    Oldest->second.Ended->Body.clear();
    Oldest->second.Ended->Body.shrink_to_fit();
    Oldest->second.Ended->WithoutBody = true;
  }
  // Names of expired keys must not pile up.
  while (!WithBody.empty() && !Entries.contains(WithBody.front()))
    WithBody.pop_front();
}

} // namespace Once
