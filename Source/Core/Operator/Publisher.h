#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Operator/HistoryReader.h"

namespace Operator {

struct Publication {
  Config::RecordResult Judged;
  // Objects that both this set and the winner of the race changed.
  std::vector<std::string> Conflicts;
};

// Publishes sets to the log and finds out what became of them.
class Publisher {
public:
  explicit Publisher(SyncHttp &Transport, LogPlace Place)
      : Transport(Transport), Place(Place), Reader(Transport, Place) {}

  HistoryReader &history() { return Reader; }

  // Appends the set, based on Base or else on the version in force, and waits
  // for the verdict on it. When an answer is lost, the log is searched for the
  // record before it is appended again. Throws VersionUnknown for a base that
  // is not there yet, and LogAnswerLost when the outcome stays unknown.
  Publication publish(const std::string &SetText, const std::string &Author,
                      const std::string &Note,
                      std::optional<Config::Version> Base);

private:
  Config::RecordResult appendUntilJudged(const Config::Record &Proposal);
  const Config::RecordResult *lookUp(const std::string &Id,
                                     Common::Micros Wait);
  std::vector<std::string> conflictsOf(const Config::RecordResult &Judged,
                                       const std::string &SetText) const;

  SyncHttp &Transport;
  LogPlace Place;
  HistoryReader Reader;
};

} // namespace Operator
