#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Config/ObjectSet.h"
#include "Tenants/QuotaLimiter.h"
#include "Tenants/QuotaMessages.h"

namespace Tenants {

// Kept by the head of a data centre: what each tenant asked of the whole mesh,
// and what is left of its quota. Decides which tenants the nodes must limit and
// how a quota is divided.
//
// A tenant is limited once it has run a part of the tolerance beyond its quota,
// so that requests within the quota are not refused. While it is limited, the
// grants are corrected by what was really admitted.
class QuotaLedger {
public:
  QuotaLedger(std::string LocalDataCentre, const QuotaTerms &Terms)
      : LocalDataCentre(std::move(LocalDataCentre)), Terms(Terms) {}

  void useSet(const std::map<std::string, Config::Tenant> &Definitions,
              Common::SteadyTime Now);
  // The data centres that have live nodes, including this one.
  void useDataCentres(std::set<std::string> Names, Common::SteadyTime Now);

  void handleNode(const NodeReport &Report, Common::SteadyTime Now);
  void handleDataCentre(const DataCentreReport &Report, Common::SteadyTime Now);

  Grants grantsFor(const std::string &Node, Common::SteadyTime Now);
  // Whether a tenant must be limited that was not at the time of the last call.
  bool takeHasNewlyLimited();
  // Whether the other heads should know at once what was admitted here.
  bool hasUrgentReport(Common::SteadyTime Now) const {
    return HasUrgentNews && Now - ReportedAt >= MinReportGap;
  }
  // Whether nodes report to this one, so that it is the head.
  bool isHead(Common::SteadyTime Now) const;
  // What the other heads don't know yet; none if that is nothing. Forgets what
  // is out of date.
  std::optional<DataCentreReport> takeReport(const std::string &LocalNode,
                                             Common::SteadyTime Now);

private:
  struct NodeDemand {
    double PerSecond = 0;
    double AdmittedPerSecond = 0;
    Common::SteadyTime UpdatedAt;
    Common::SteadyTime LastDemandAt;
    // What an earlier head had granted.
    std::optional<double> EarlierGrant;
  };
  struct RemoteRates {
    double DemandPerSecond = 0;
    double AdmittedPerSecond = 0;
    std::string CountedBy;
    std::int64_t Total = 0;
    // What the level was already charged with since Total.
    double Charged = 0;
  };
  struct Account {
    double RatePerSecond = 0;
    double Burst = 0;
    // What is left of the burst; negative if more than the quota was admitted.
    double Level = 0;
    Common::SteadyTime UpdatedAt;
    bool IsLimited = false;
    bool IsCutOff = false;
    std::unordered_map<std::string, NodeDemand> Nodes;
    double LocalDemand = 0;
    double LocalAdmitted = 0;
    std::int64_t AdmittedTotal = 0;
    std::map<std::string, RemoteRates> Remotes;
    // This data centre's part of the demand, as of when all data centres could
    // be heard.
    std::optional<double> LocalShare;
    TenantRate Sent;
    Common::SteadyTime SentAt;
  };

  // Rates are averages of about this time.
  static constexpr Common::Millis SmoothingTime{1'000};
  // A node that has not reported for so long is gone.
  static constexpr Common::Millis NodeLifetime{2'000};
  // A data centre that has not reported for so long cannot be heard.
  static constexpr Common::Millis SilenceLimit{2'200};
  // How often a head reports at least, and how often it repeats all rates.
  static constexpr Common::Millis KeepAliveInterval{1'000};
  static constexpr Common::Millis RepeatInterval{8'000};
  static constexpr Common::Millis MinReportGap{100};
  // The part of a data centre in the demand is averaged over a longer time, as
  // it is to outlast a cut.
  static constexpr Common::Millis ShareSmoothingTime{10'000};
  // How long a node counts as one at which requests of the tenant arrive.
  static constexpr Common::Millis DemandMemory{10'000};
  // Added to the demand of such a node when a quota is divided: the demand that
  // was measured in a short time says little about rare requests.
  static constexpr double AssumedDemandPerSecond = 1;
  // A head that has just begun does not know the demand yet, so it repeats the
  // grants that its nodes have.
  static constexpr Common::Millis WarmUpTime{1'500};
  // The part of the tolerance that a tenant may use before it is limited. The
  // rest is for requests that are admitted until the nodes know.
  static constexpr double ToleranceShare = 0.25;
  // The quota of this time bounds what is admitted until the nodes know of a
  // tenant that asks many times its quota.
  static constexpr Common::Millis ReactionTime{2'000};
  static constexpr double SmallQuotaToleranceShare = 0.75;
  // The same for a data centre that is cut off, for its part of the quota.
  static constexpr double CutOffToleranceShare = 0.75;
  static constexpr double MaxGrantFactor = 4;

  void advance(Account &Entry, Common::SteadyTime Now);
  void updateLimited(Account &Entry);
  double targetLevel(const Account &Entry) const;
  // The part of the quota of which this head alone decides.
  static double decidedShare(const Account &Entry) {
    return Entry.IsCutOff ? Entry.LocalShare.value_or(1) : 1;
  }
  bool isWarmingUp(Common::SteadyTime Now) const {
    return HeadSince && Now - *HeadSince < WarmUpTime;
  }
  double grantFactor(const Account &Entry) const;
  bool isCutOff(Common::SteadyTime Now) const;
  static double meshDemand(const Account &Entry);
  double nodeShare(const Account &Entry, const NodeDemand &Node,
                   Common::SteadyTime Now) const;
  static double weightOf(const NodeDemand &Node, Common::SteadyTime Now);
  double unreportedAdmitted(const Account &Entry, Common::SteadyTime Now) const;
  double toleratedAdmitted(const Account &Entry) const;
  bool mustReport(const Account &Entry, Common::SteadyTime Now) const;

  std::string LocalDataCentre;
  QuotaTerms Terms;
  std::map<TenantId, Account> Accounts;
  std::set<std::string> DataCentres;
  std::map<std::string, Common::SteadyTime> HeardAt;
  std::optional<Common::SteadyTime> HeadSince;
  Common::SteadyTime NodeHeardAt;
  Common::SteadyTime ReportedAt;
  bool HasNewlyLimited = false;
  bool HasUrgentNews = false;
};

} // namespace Tenants
