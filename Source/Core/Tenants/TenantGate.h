#pragma once

#include <optional>
#include <string>

#include "Common/ResultCode.h"
#include "Config/ObjectSet.h"
#include "Tenants/QuotaLimiter.h"

namespace Tenants {

struct Admission {
  // Ok if the request may go on.
  Common::ResultCode Result = Common::ResultCode::Ok;
  // Null if no tenant is known to have sent the request. Owned by the set.
  const Config::Tenant *Sender = nullptr;
  std::optional<Common::Micros> RetryAfter = {};
};

// Decides which tenant sent a request, and whether the request may go on.
class TenantGate {
public:
  explicit TenantGate(const QuotaTerms &Terms) : Quotas(Terms) {}

  void useSet(const Config::ObjectSet &Set, Common::SteadyTime Now) {
    Quotas.useSet(Set.tenants(), Now);
  }
  // The set has tenants, and the route is one of its routes.
  Admission admit(const Config::ObjectSet &Set, const Config::Route &Route,
                  const std::optional<std::string> &Key,
                  Common::SteadyTime Now);

  QuotaLimiter &quotas() { return Quotas; }

private:
  QuotaLimiter Quotas;
};

} // namespace Tenants
