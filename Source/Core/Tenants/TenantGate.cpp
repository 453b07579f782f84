#include "Tenants/TenantGate.h"

namespace Tenants {

using Common::ResultCode;

Admission TenantGate::admit(const Config::ObjectSet &Set,
                            const Config::Route &Route,
                            const std::optional<std::string> &Key,
                            Common::SteadyTime Now) {
  Admission Result;
  if (Key)
    Result.Sender = Set.findTenantByKey(*Key);
  if (!Result.Sender) {
    if (!Route.Anonymous)
      Result.Result =
          Key ? ResultCode::TenantKeyUnknown : ResultCode::TenantKeyMissing;
    return Result;
  }
  if (!Quotas.tryAdmit(Result.Sender->Name, Now)) {
    Result.Result = ResultCode::TenantQuotaSpent;
    Result.RetryAfter = Quotas.timeToNext(Result.Sender->Name, Now);
  }
  return Result;
}

} // namespace Tenants
