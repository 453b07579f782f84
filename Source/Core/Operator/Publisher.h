#pragma once

#include <optional>
#include <string>

#include "Config/AcceptedHistory.h"
#include "Operator/SyncHttp.h"

namespace Operator {

// Publishes sets to the log and finds out what became of them.
class Publisher {
public:
  Publisher(SyncHttp &Transport, std::string LogUrl, std::string Stream);

  // Reads the log up to its end. Throws LogUnavailable or HistoryGap.
  const Config::AcceptedHistory &catchUp();

  // Appends the set, based on Base or else on the version in force, and waits
  // for the verdict on it. A lost answer is cleared up by reading the log.
  Config::Verdict publish(const Config::ObjectSet &Set,
                          const std::string &Author, const std::string &Note,
                          std::optional<Config::Version> Base);

private:
  void readOnce(Common::Micros Wait);
  std::optional<Config::Verdict> findVerdict(const std::string &Id) const;

  SyncHttp &Transport;
  std::string LogUrl;
  std::string Stream;
  Config::AcceptedHistory History;
  Platform::Offset LogEnd = 0;
};

} // namespace Operator
