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

// The version of a set is the log offset of its accepted record; 0 means none.
using Version = std::int64_t;

struct Service {
  std::string Name;
  // The service that serves the calls when no backend server of this one is
  // live; may be empty.
  std::string Fallback;
  // The HTTP path at which its backend servers report their health; may be
  // empty.
  std::string HealthPath;
};

struct RetryRule {
  std::string Name;
  int Attempts = 1;
  // Limit for additional attempts, in percent of first attempts.
  int BudgetPercent = 10;
  // When a second attempt is sent in parallel to the first.
  std::optional<Common::Micros> HedgeAfter;
  // How often a call may be redirected to another node after a node refused it
  // before anything was sent to a backend server. Redirects don't count as
  // attempts.
  int Redirects = 0;
};

struct RequestKind {
  std::string Name;
  bool LongLane = false;
  bool Idempotent = true;
  Common::Micros Deadline{1'000'000};
  // The latency up to which an answer has its full value for the caller; 0 when
  // not specified.
  Common::Micros TargetLatency{0};
  // Additional time after the deadline in which an attempt in flight may still
  // return the backend server's own answer, which is more informative than a
  // timeout of this node.
  Common::Micros AnswerSlack{0};
  // Under overload, calls with a lower value are served first; 0 is the highest
  // priority.
  int Priority = 0;
  // Whether a call must claim its idempotency key before it runs, because it
  // must not run twice.
  bool NeedsKey = false;
  // Whether its requests carry large bodies, so that their cost differs more
  // than that of other kinds.
  bool LargeBodies = false;
  std::string Retry;
};

// Defaults for sources whose objects specify neither the answer slack nor the
// redirects.

// Answers may arrive up to half a second after the limit. Most of the answers
// close to the limit arrive within a few milliseconds of it.
constexpr Common::Millis DefaultAnswerSlack{60};
// Low enough that redirects end well before a typical latency target. In a
// sustained overload, every further redirect costs two nodes the time of a call
// and still finds no capacity.
constexpr int DefaultRedirects = 2;

// One target of a route that splits its calls between services.
struct WeightedService {
  std::string Service;
  int Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

struct Route {
  std::string Name;
  // Matches every path that starts with it. The longest matching prefix wins.
  std::string Prefix;
  // Empty matches every method.
  std::string Method;
  // Empty matches every host.
  std::string Host;
  // Empty when the calls are split between the services in Split.
  std::string Service;
  std::vector<WeightedService> Split;
  std::string Kind;
  // Whether its calls need no tenant key, although the set has tenants.
  bool Anonymous = false;
};

// A customer of the operator's, known by the keys that its requests carry.
// Keys are secrets: they appear in no log line, metric, page or error text.
struct Tenant {
  std::string Name;
  std::vector<std::string> Keys;
  // Takes precedence over the priority of the request kind.
  std::optional<int> Priority;
  // Requests per second that the whole mesh serves, and how many more it serves
  // at once. A rate of 0 means no limit.
  double RatePerSecond = 0;
  double Burst = 0;

  bool operator==(const Tenant &) const = default;
};

// Limits for the size of callers' requests, for the time to send the header,
// and for idle connections.
struct CallerLimits {
  std::size_t HeaderBytes = 0;
  std::size_t BodyBytes = 0;
  Common::Micros HeaderTimeout{0};
  Common::Micros IdleTimeout{0};
};

// A validated, immutable set of named objects.
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
  // Empty when the set does not tell tenants apart.
  const std::map<std::string, Tenant> &tenants() const { return Tenants; }
  // Returns the tenant that holds the key, or null.
  const Tenant *findTenantByKey(std::string_view Key) const;
  // Whether the set declares differences between calls that their kind does not
  // show: tenants, or kinds with large bodies. Where a call goes then depends
  // on its expected cost.
  bool hasUnevenWork() const;

  // Empty when the limits in the node's own settings apply.
  const std::optional<CallerLimits> &callerLimits() const { return Limits; }

  // Returns the most specific matching route, or null.
  const Route *findRoute(std::string_view Host, std::string_view Method,
                         std::string_view Path) const;

  // Returns a deterministic serialisation of the set.
  std::string canonicalText() const;

private:
  friend class ObjectSetBuilder;
  std::map<std::string, Service> Services;
  std::map<std::string, RetryRule> RetryRules;
  std::map<std::string, RequestKind> Kinds;
  std::map<std::string, Route> Routes;
  std::map<std::string, Tenant> Tenants;
  std::optional<CallerLimits> Limits;

  // Index of the routes of one host by prefix. The strings and routes are owned
  // by Routes. A set may hold thousands of routes, but their prefixes have only
  // a few different lengths, so one lookup per length is fast.
  struct HostIndex {
    std::unordered_map<std::string_view, std::vector<const Route *>> ByPrefix;
    std::set<std::size_t, std::greater<>> Lengths;
  };

  bool contains(const std::string &Type, const std::string &Name) const;
  void buildIndex();
  static const Route *findInHost(const HostIndex &Index,
                                 std::string_view Method,
                                 std::string_view Path);

  std::unordered_map<std::string_view, HostIndex> Hosts;
  // The strings and tenants are owned by Tenants.
  std::unordered_map<std::string_view, const Tenant *> TenantsByKey;
};

using ObjectSetPtr = std::shared_ptr<const ObjectSet>;

} // namespace Config
