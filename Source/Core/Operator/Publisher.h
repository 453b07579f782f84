#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Operator/HistoryReader.h"

namespace Operator {

// The outcome of publishing a set.
struct Publication {
  Config::RecordResult Outcome;
  // Objects that both this set and the winning version changed.
  std::vector<std::string> Conflicts;
};

// Publishes sets to the log and reports whether they were accepted.
class Publisher {
public:
  explicit Publisher(SyncHttp &Transport, LogLocation Location)
      : Transport(Transport), Location(Location), Reader(Transport, Location) {}

  HistoryReader &history() { return Reader; }

  // Appends the set, based on Base or by default on the version in force, and
  // waits for the validation result. When the answer to an append is lost,
  // searches the log for the record before appending it again. Throws
  // VersionUnknown for a base newer than the newest version, and LogAnswerLost
  // when the outcome stays unknown.
  Publication publish(const std::string &SetText, const std::string &Author,
                      const std::string &Note,
                      std::optional<Config::Version> Base);

private:
  Config::RecordResult appendUntilValidated(const Config::Record &Proposal);
  const Config::RecordResult *findOutcome(const std::string &Id,
                                          Common::Micros Wait);
  std::vector<std::string> conflictsOf(const Config::RecordResult &Outcome,
                                       const std::string &SetText) const;

  SyncHttp &Transport;
  LogLocation Location;
  HistoryReader Reader;
};

} // namespace Operator
