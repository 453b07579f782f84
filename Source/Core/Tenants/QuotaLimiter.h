#pragma once

#include <map>
#include <optional>
#include <string>

#include "Common/Time.h"
#include "Config/ObjectSet.h"
#include "Tenants/QuotaMessages.h"

namespace Tenants {

// How precisely quotas are to be kept: in any window, at most
// (rate x window + burst) x (1 + overshoot) + slack requests of a tenant run.
struct QuotaTerms {
  // 0 if quotas are not enforced.
  Common::Duration Window{0};
  double Overshoot = 0;
  double Slack = 0;

  bool isEnforced() const { return Window.count() > 0; }
  // How many requests beyond the quota a tenant may run within a window.
  double tolerance(double RatePerSecond, double Burst) const {
    return Overshoot *
               (RatePerSecond * std::chrono::duration<double>(Window).count() +
                Burst) +
           Slack;
  }
};

// A node's own part in limiting tenants to quotas that hold for all nodes
// together. While the head of the data centre finds a tenant within its quota,
// the node admits what comes, up to the whole quota. For a tenant that must be
// limited, the head grants the node a share according to its part of the
// demand. A node that hears nothing from a head keeps its last grants, and
// takes an equal share of all other quotas.
//
// Load pattern: one tenant sends many times its usual through all nodes at
// once.
class QuotaLimiter {
public:
  explicit QuotaLimiter(const QuotaTerms &Terms) : Terms(Terms) {}

  void useSet(const std::map<std::string, Config::Tenant> &Definitions,
              Common::SteadyTime Now);
  void setNodeCount(std::size_t Count) { NodeCount = Count; }
  void useGrants(const Grants &Granted, Common::SteadyTime Now);

  // Whether a request of the tenant is within the quota, which it then uses up.
  bool tryAdmit(const std::string &Tenant, Common::SteadyTime Now);
  // Returns what a request used up that did not run.
  void refund(const std::string &Tenant);
  // When the next request of a refused tenant may be admitted.
  Common::Micros timeToNext(const std::string &Tenant,
                            Common::SteadyTime Now) const;

  // Whether a tenant asks so much that the head should know at once.
  bool isSurging(Common::SteadyTime Now) const;
  // None if quotas are not enforced or there are no tenants.
  std::optional<NodeReport> takeReport(Common::SteadyTime Now);

private:
  struct Bucket {
    TenantId Id = 0;
    double RatePerSecond = 0;
    double Burst = 0;
    double Level = 0;
    Common::SteadyTime FilledAt;
    std::optional<double> GrantedRate;
    std::uint32_t Demanded = 0;
    std::int32_t Admitted = 0;
  };
  struct Limit {
    double RatePerSecond = 0;
    double Depth = 0;
  };

  // How long grants hold without news from a head: several reports and answers
  // must have been lost, and the members notice a dead head within this time.
  static constexpr Common::Millis GrantLifetime{2'500};
  // The shortest time between a report and an early one.
  static constexpr Common::Millis MinReportGap{100};
  // A node must be able to admit a whole request, however small its share is.
  static constexpr double MinDepth = 1;

  Limit limitOf(const Bucket &Share, Common::SteadyTime Now) const;
  double levelOf(const Bucket &Share, Common::SteadyTime Now) const;
  bool hasFreshGrants(Common::SteadyTime Now) const {
    return GrantedAt && Now - *GrantedAt <= GrantLifetime;
  }
  std::uint32_t surgeThreshold(const Bucket &Share) const;

  QuotaTerms Terms;
  std::size_t NodeCount = 1;
  std::map<std::string, Bucket> Buckets;
  std::optional<Common::SteadyTime> GrantedAt;
  Common::SteadyTime ReportedAt;
  bool HasSurge = false;
};

} // namespace Tenants
