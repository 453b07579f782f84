#include "Wire/QuotaCodec.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Quota_types.h"
#include "Wire/CompactBytes.h"

namespace Wire {

namespace {

using Common::Error;
using Common::ResultCode;

constexpr double RateUnits = 1000;
// The longest period that a report can cover.
constexpr std::int64_t MaxPeriodMicros = 60'000'000;

std::int32_t toRate(double PerSecond) {
  return static_cast<std::int32_t>(
      std::clamp(std::round(PerSecond * RateUnits), 0.0,
                 double{std::numeric_limits<std::int32_t>::max()}));
}

double fromRate(std::int32_t Rate) { return std::max(Rate, 0) / RateUnits; }

std::int32_t toId(Tenants::TenantId Id) {
  return static_cast<std::int32_t>(Id);
}

Tenants::TenantId fromId(std::int32_t Id) {
  return static_cast<Tenants::TenantId>(Id);
}

template <class Left, class Right>
void requireSameLength(const Left &Ids, const Right &Values) {
  if (Ids.size() != Values.size())
    throw Error(ResultCode::FrameMalformed,
                "the lists of a quota message differ in length");
}

Generated::QuotaMessage wrap(const Tenants::NodeReport &From) {
  Generated::QuotaNodeReport Part;
  Part.Node = From.Node;
  Part.PeriodMicros = From.Period.count();
  for (const Tenants::TenantCount &Count : From.Counts) {
    Part.Tenants.push_back(toId(Count.Tenant));
    Part.Demanded.push_back(static_cast<std::int32_t>(Count.Demanded));
    Part.Admitted.push_back(Count.Admitted);
  }
  for (const Tenants::Grant &Entry : From.Limited) {
    Part.Limited.push_back(toId(Entry.Tenant));
    Part.LimitedRates.push_back(toRate(Entry.RatePerSecond));
  }
  Generated::QuotaMessage Result;
  Result.__set_NodeReport(Part);
  return Result;
}

Generated::QuotaMessage wrap(const Tenants::Grants &From) {
  Generated::QuotaGrants Part;
  for (const Tenants::Grant &Entry : From.Limited) {
    Part.Tenants.push_back(toId(Entry.Tenant));
    Part.Rates.push_back(toRate(Entry.RatePerSecond));
  }
  Generated::QuotaMessage Result;
  Result.__set_Grants(Part);
  return Result;
}

Generated::QuotaMessage wrap(const Tenants::DataCentreReport &From) {
  Generated::QuotaDataCentreReport Part;
  Part.DataCentre = From.DataCentre;
  Part.Node = From.Node;
  for (const Tenants::TenantRate &Rate : From.Rates) {
    Part.Tenants.push_back(toId(Rate.Tenant));
    Part.DemandRates.push_back(toRate(Rate.DemandPerSecond));
    Part.AdmittedRates.push_back(toRate(Rate.AdmittedPerSecond));
    Part.AdmittedTotals.push_back(Rate.AdmittedTotal);
  }
  Generated::QuotaMessage Result;
  Result.__set_DataCentreReport(Part);
  return Result;
}

Tenants::NodeReport fromWire(const Generated::QuotaNodeReport &From) {
  requireSameLength(From.Tenants, From.Demanded);
  requireSameLength(From.Tenants, From.Admitted);
  requireSameLength(From.Limited, From.LimitedRates);
  Tenants::NodeReport Result;
  Result.Node = From.Node;
  Result.Period = Common::Micros(
      std::clamp<std::int64_t>(From.PeriodMicros, 0, MaxPeriodMicros));
  for (std::size_t Index = 0; Index < From.Tenants.size(); ++Index)
    Result.Counts.push_back(
        {fromId(From.Tenants[Index]),
         static_cast<std::uint32_t>(std::max(From.Demanded[Index], 0)),
         From.Admitted[Index]});
  for (std::size_t Index = 0; Index < From.Limited.size(); ++Index)
    Result.Limited.push_back(
        {fromId(From.Limited[Index]), fromRate(From.LimitedRates[Index])});
  return Result;
}

Tenants::Grants fromWire(const Generated::QuotaGrants &From) {
  requireSameLength(From.Tenants, From.Rates);
  Tenants::Grants Result;
  for (std::size_t Index = 0; Index < From.Tenants.size(); ++Index)
    Result.Limited.push_back(
        {fromId(From.Tenants[Index]), fromRate(From.Rates[Index])});
  return Result;
}

Tenants::DataCentreReport
fromWire(const Generated::QuotaDataCentreReport &From) {
  requireSameLength(From.Tenants, From.DemandRates);
  requireSameLength(From.Tenants, From.AdmittedRates);
  requireSameLength(From.Tenants, From.AdmittedTotals);
  Tenants::DataCentreReport Result{From.DataCentre, From.Node, {}};
  for (std::size_t Index = 0; Index < From.Tenants.size(); ++Index)
    Result.Rates.push_back(
        {fromId(From.Tenants[Index]), fromRate(From.DemandRates[Index]),
         fromRate(From.AdmittedRates[Index]), From.AdmittedTotals[Index]});
  return Result;
}

} // namespace

std::string encodeQuotaEnvelope(const QuotaEnvelope &Content) {
  return std::visit([](const auto &Part) { return packCompact(wrap(Part)); },
                    Content);
}

QuotaEnvelope decodeQuotaEnvelope(std::string_view Bytes) {
  const auto From =
      unpackCompact<Generated::QuotaMessage>(Bytes, ResultCode::FrameMalformed);
  if (From.__isset.NodeReport)
    return fromWire(From.NodeReport);
  if (From.__isset.Grants)
    return fromWire(From.Grants);
  if (From.__isset.DataCentreReport)
    return fromWire(From.DataCentreReport);
  throw Error(ResultCode::FrameMalformed, "unknown quota message type");
}

} // namespace Wire
