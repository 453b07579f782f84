#include "Tenants/QuotaLimiter.h"

#include <algorithm>
#include <unordered_map>

namespace Tenants {

namespace {

double seconds(Common::Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void QuotaLimiter::useSet(
    const std::map<std::string, Config::Tenant> &Definitions,
    Common::SteadyTime Now) {
  std::erase_if(Buckets, [&](const auto &Entry) {
    const auto Found = Definitions.find(Entry.first);
    return Found == Definitions.end() || Found->second.RatePerSecond <= 0;
  });
  for (const auto &[Name, Definition] : Definitions) {
    if (Definition.RatePerSecond <= 0)
      continue;
    const auto [Found, IsNew] = Buckets.try_emplace(Name);
    Bucket &Share = Found->second;
    // What was saved up under the earlier quota must not exceed the new one.
    const double Level = IsNew ? 0 : levelOf(Share, Now);
    Share.Id = tenantIdOf(Name);
    Share.RatePerSecond = Definition.RatePerSecond;
    Share.Burst = Definition.Burst;
    const Limit Allowed = limitOf(Share, Now);
    Share.Level = IsNew ? Allowed.Depth : std::min(Level, Allowed.Depth);
    Share.FilledAt = Now;
  }
}

QuotaLimiter::Limit QuotaLimiter::limitOf(const Bucket &Share,
                                          Common::SteadyTime Now) const {
  Limit Result{Share.RatePerSecond, Share.Burst};
  // A grant outlives the head, since an equal share may be far from the demand.
  if (Share.GrantedRate) {
    Result.RatePerSecond = std::min(*Share.GrantedRate, Share.RatePerSecond);
    Result.Depth *= Result.RatePerSecond / Share.RatePerSecond;
  } else if (!hasFreshGrants(Now)) {
    Result.RatePerSecond /= static_cast<double>(NodeCount);
    Result.Depth /= static_cast<double>(NodeCount);
  }
  Result.Depth = std::max(Result.Depth, MinDepth);
  return Result;
}

double QuotaLimiter::levelOf(const Bucket &Share,
                             Common::SteadyTime Now) const {
  const Limit Allowed = limitOf(Share, Now);
  return std::min(Share.Level +
                      Allowed.RatePerSecond * seconds(Now - Share.FilledAt),
                  Allowed.Depth);
}

void QuotaLimiter::useGrants(const Grants &Granted, Common::SteadyTime Now) {
  std::unordered_map<TenantId, double> Rates;
  for (const Grant &Entry : Granted.Limited)
    Rates.emplace(Entry.Tenant, Entry.RatePerSecond);
  const bool WasFresh = hasFreshGrants(Now);
  for (auto &[Name, Share] : Buckets) {
    Share.Level = levelOf(Share, Now);
    Share.FilledAt = Now;
    const auto Found = Rates.find(Share.Id);
    const bool WasLimited = Share.GrantedRate.has_value();
    if (Found == Rates.end()) {
      // The head has found the tenant within its quota.
      if (WasLimited || !WasFresh)
        Share.Level = std::max(Share.Burst, MinDepth);
      Share.GrantedRate.reset();
      continue;
    }
    // The tenant has used up its burst, so nothing is left to begin with.
    if (!WasLimited)
      Share.Level = std::min(Share.Level, 0.0);
    Share.GrantedRate = Found->second;
  }
  GrantedAt = Now;
}

bool QuotaLimiter::tryAdmit(const std::string &Tenant, Common::SteadyTime Now) {
  if (!Terms.isEnforced())
    return true;
  const auto Found = Buckets.find(Tenant);
  if (Found == Buckets.end())
    return true;
  Bucket &Share = Found->second;
  ++Share.Demanded;
  if (Share.Demanded >= surgeThreshold(Share) && !Share.GrantedRate)
    HasSurge = true;
  Share.Level = levelOf(Share, Now);
  Share.FilledAt = Now;
  if (Share.Level < 1)
    return false;
  Share.Level -= 1;
  ++Share.Admitted;
  return true;
}

void QuotaLimiter::refund(const std::string &Tenant) {
  const auto Found = Buckets.find(Tenant);
  if (Found == Buckets.end())
    return;
  Found->second.Level += 1;
  --Found->second.Admitted;
}

Common::Micros QuotaLimiter::timeToNext(const std::string &Tenant,
                                        Common::SteadyTime Now) const {
  constexpr Common::Millis Shortest{100};
  constexpr Common::Millis Longest{1'000};
  const auto Found = Buckets.find(Tenant);
  if (Found == Buckets.end())
    return Shortest;
  const double Rate = limitOf(Found->second, Now).RatePerSecond;
  const double Missing = 1 - levelOf(Found->second, Now);
  if (Rate <= 0 || Missing / Rate >= seconds(Longest))
    return Longest;
  return std::clamp<Common::Micros>(
      std::chrono::duration_cast<Common::Micros>(
          std::chrono::duration<double>(Missing / Rate)),
      Shortest, Longest);
}

// Twice what the node would get of the burst, which most nodes never reach
// between two reports.
std::uint32_t QuotaLimiter::surgeThreshold(const Bucket &Share) const {
  constexpr double LeastSurge = 3;
  return static_cast<std::uint32_t>(
      std::max(2 * Share.RatePerSecond * seconds(ReportInterval) /
                   static_cast<double>(NodeCount),
               LeastSurge));
}

bool QuotaLimiter::isSurging(Common::SteadyTime Now) const {
  return HasSurge && Now - ReportedAt >= MinReportGap;
}

std::optional<NodeReport> QuotaLimiter::takeReport(Common::SteadyTime Now) {
  if (!Terms.isEnforced() || Buckets.empty())
    return std::nullopt;
  NodeReport Result;
  Result.Period = std::chrono::duration_cast<Common::Micros>(
      std::min<Common::Duration>(Now - ReportedAt, 2 * ReportInterval));
  for (auto &[Name, Share] : Buckets) {
    if (Share.Demanded > 0 || Share.Admitted != 0)
      Result.Counts.push_back({Share.Id, Share.Demanded, Share.Admitted});
    if (Share.GrantedRate)
      Result.Limited.push_back({Share.Id, *Share.GrantedRate});
    Share.Demanded = 0;
    Share.Admitted = 0;
  }
  ReportedAt = Now;
  HasSurge = false;
  return Result;
}

} // namespace Tenants
