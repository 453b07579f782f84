#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <unordered_map>

#include "Once/CallKey.h"
#include "Once/Claim.h"

namespace Once {

// The first claim of every key in the window, in the order of the log. The
// index depends only on the records and on the times that the log gave them, so
// all readers of the log build the same index.
class ClaimIndex {
public:
  struct Entry {
    HolderId Holder;
    std::uint64_t Fingerprint = 0;
    // The outcome of the call, once it is read from the log.
    std::optional<Outcome> Recorded;
  };

  // MaxResponseBytes limits the total size of the recorded response bodies. The
  // oldest bodies are dropped first.
  ClaimIndex(KeyWindow Window, std::size_t MaxResponseBytes)
      : Window(Window), MaxResponseBytes(MaxResponseBytes) {}

  // Applies one record. Records have to be applied in the order of the log.
  void apply(Common::WallTime AppendedAt, const Batch &Record);
  // Returns null when the index has no claim for the key.
  const Entry *find(const std::string &Key) const;
  void clear();
  std::size_t size() const { return Entries.size(); }
  // Writes the whole state. Equal states produce equal text.
  void describe(std::ostream &Out) const;

private:
  void removeExpired();
  void recordOutcome(const std::string &Key, const Outcome &Result);

  KeyWindow Window;
  std::size_t MaxResponseBytes;
  std::size_t ResponseBytes = 0;
  // The latest time that the log gave to a record.
  Common::WallTime LogTime = Common::WallTime::min();
  std::unordered_map<std::string, Entry> Entries;
  std::multimap<Common::WallTime, std::string> ByExpiry;
  // Keys whose recorded responses have bodies, the oldest first.
  std::deque<std::string> KeysWithBody;
};

} // namespace Once
