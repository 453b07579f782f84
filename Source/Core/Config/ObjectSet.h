#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Time.h"

namespace Config {

// A version is the log offset of the record that was accepted; 0 is none.
using Version = std::int64_t;

struct Service {
  std::string Name;
  // Serves the calls when no server of this service is live; may be empty.
  std::string Fallback;
};

struct RetryRule {
  std::string Name;
  int Attempts = 1;
  // Extra attempts allowed, as a share of first attempts.
  int BudgetPercent = 10;
  // When a second attempt starts beside the first.
  std::optional<Common::Micros> HedgeAfter;
};

struct RequestKind {
  std::string Name;
  bool LongLane = false;
  bool Idempotent = true;
  Common::Micros Deadline{1'000'000};
  std::string Retry;
};

struct Route {
  std::string Name;
  // Matches a path that starts with it; the longest prefix wins.
  std::string Prefix;
  // Empty matches every method.
  std::string Method;
  std::string Service;
  std::string Kind;
};

// One checked, unchangeable set of named objects.
class ObjectSet {
public:
  const std::map<std::string, Service> &services() const { return Services; }
  const std::map<std::string, RetryRule> &retryRules() const {
    return RetryRules;
  }
  const std::map<std::string, RequestKind> &kinds() const { return Kinds; }
  const std::map<std::string, Route> &routes() const { return Routes; }

  // The most specific route, or null.
  const Route *findRoute(std::string_view Method, std::string_view Path) const;

  // The same set always gives the same text.
  std::string canonicalText() const;

private:
  friend class ObjectSetBuilder;
  std::map<std::string, Service> Services;
  std::map<std::string, RetryRule> RetryRules;
  std::map<std::string, RequestKind> Kinds;
  std::map<std::string, Route> Routes;
};

using ObjectSetPtr = std::shared_ptr<const ObjectSet>;

} // namespace Config
