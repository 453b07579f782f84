#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"

namespace Config {

// A version is the log offset of the record that was accepted; 0 is none.
using Version = std::int64_t;

struct Service {
  std::string Name;
  // Serves the calls when no server of this service is live; may be empty.
  std::string Fallback;
  // Where its servers tell their health over HTTP; may be empty.
  std::string HealthPath;
};

struct RetryRule {
  std::string Name;
  int Attempts = 1;
  // Extra attempts allowed, as a share of first attempts.
  int BudgetPercent = 10;
  // When a second attempt starts beside the first.
  std::optional<Common::Micros> HedgeAfter;
  // How often a call may go on to another node that this one's refused before
  // anything reached a backend server. These tries cost no attempt.
  int Redirects = 0;
};

struct RequestKind {
  std::string Name;
  bool LongLane = false;
  bool Idempotent = true;
  Common::Micros Deadline{1'000'000};
  // An answer within this time is worth most to the caller; 0 when it isn't
  // stated.
  Common::Micros TargetLatency{0};
  // Time beyond the deadline that an attempt in flight has to come back with
  // what its server says itself, which tells more than our own time-out.
  Common::Micros AnswerSlack{0};
  // 0 is served first when there is too little room.
  int Priority = 0;
  // Whether a call that must not run twice is claimed by its key first.
  bool NeedsKey = false;
  std::string Retry;
};

// For sources of objects that state neither.
// Half a second past a limit is allowed to our users' answers; most of those at
// the limit come within a few milliseconds.
constexpr Common::Millis DefaultAnswerSlack{60};
// Few enough that offers end well before a usual latency target. In a lasting
// overload each more costs two nodes the time of a call and finds no room.
constexpr int DefaultRedirects = 2;

// One part of a route whose calls are shared among services.
struct WeightedService {
  std::string Service;
  int Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

struct Route {
  std::string Name;
  // Matches a path that starts with it; the longest prefix wins.
  std::string Prefix;
  // Empty matches every method.
  std::string Method;
  // Empty matches every host.
  std::string Host;
  // Empty when the calls are shared by Split.
  std::string Service;
  std::vector<WeightedService> Split;
  std::string Kind;
};

// What callers may send, and how long they may take or stay idle.
struct CallerLimits {
  std::size_t HeaderBytes = 0;
  std::size_t BodyBytes = 0;
  Common::Micros HeaderTime{0};
  Common::Micros IdleTime{0};
};

// One checked, unchangeable set of named objects.
class ObjectSet {
public:
  ObjectSet() = default;
  ObjectSet(ObjectSet &&) = default;
  ObjectSet &operator=(ObjectSet &&) = default;

  const std::map<std::string, Service> &services() const { return Services; }
  const std::map<std::string, RetryRule> &retryRules() const {
    return RetryRules;
  }
  const std::map<std::string, RequestKind> &kinds() const { return Kinds; }
  const std::map<std::string, Route> &routes() const { return Routes; }

  // Empty when the node's own settings hold.
  const std::optional<CallerLimits> &callerLimits() const { return Limits; }

  // The most specific route, or null.
  const Route *findRoute(std::string_view Host, std::string_view Method,
                         std::string_view Path) const;

  // The same set always gives the same text.
  std::string canonicalText() const;

private:
  friend class ObjectSetBuilder;
  std::map<std::string, Service> Services;
  std::map<std::string, RetryRule> RetryRules;
  std::map<std::string, RequestKind> Kinds;
  std::map<std::string, Route> Routes;
  std::optional<CallerLimits> Limits;

  // The routes of one host by prefix, which stand in Routes. A set may hold
  // thousands of routes, and prefixes have few lengths.
  struct HostIndex {
    std::unordered_map<std::string_view, std::vector<const Route *>> ByPrefix;
    std::set<std::size_t, std::greater<>> Lengths;
  };

  bool holds(const std::string &Type, const std::string &Name) const;
  void buildIndex();
  static const Route *findIn(const HostIndex &Index, std::string_view Method,
                             std::string_view Path);

  std::unordered_map<std::string_view, HostIndex> Hosts;
};

using ObjectSetPtr = std::shared_ptr<const ObjectSet>;

} // namespace Config
