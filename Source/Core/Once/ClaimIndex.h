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

// The claims of the window, as the log orders them. Every reader of the log
// comes to the same index: only records and the log's own times count.
class ClaimIndex {
public:
  struct Entry {
    HolderId Holder;
    std::uint64_t Fingerprint = 0;
    std::optional<Outcome> Ended;
  };

  // Answers are kept up to AnswerLimit bytes in all; the oldest lose their
  // bodies first.
  ClaimIndex(KeyWindow Window, std::size_t AnswerLimit)
      : Window(Window), AnswerLimit(AnswerLimit) {}

  // Records have to come in the order of the log.
  void apply(Common::WallTime Appended, const Batch &Record);
  // Null when the key has no claim in its window.
  const Entry *find(const std::string &Key) const;
  void clear();
  std::size_t size() const { return Entries.size(); }
  // Writes the whole state; equal states give equal text.
  void describe(std::ostream &Out) const;

private:
  void expire();
  void keepAnswer(const std::string &Key, const Outcome &Ended);

  KeyWindow Window;
  std::size_t AnswerLimit;
  std::size_t AnswerBytes = 0;
  // The latest time the log gave to a record.
  Common::WallTime LogTime = Common::WallTime::min();
  std::unordered_map<std::string, Entry> Entries;
  std::multimap<Common::WallTime, std::string> ByEnd;
  // Keys whose answers have bodies, the oldest first.
  std::deque<std::string> WithBody;
};

} // namespace Once
