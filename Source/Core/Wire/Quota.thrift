// Messages between the quota services of two nodes. Lists of one message that
// belong together have the same length: a struct for each tenant would need
// more bytes.
namespace cpp Wire.Generated

struct QuotaNodeReport {
  1: string Node,
  2: i64 PeriodMicros,
  3: list<i32> Tenants,
  4: list<i32> Demanded,
  5: list<i32> Admitted,
  6: list<i32> Limited,
  7: list<i32> LimitedRates,
}

// Rates are in thousandths of a request per second.
struct QuotaGrants {
  1: list<i32> Tenants,
  2: list<i32> Rates,
}

struct QuotaDataCentreReport {
  1: string DataCentre,
  2: string Node,
  3: list<i32> Tenants,
  4: list<i32> DemandRates,
  5: list<i32> AdmittedRates,
  6: list<i64> AdmittedTotals,
}

union QuotaMessage {
  1: QuotaNodeReport NodeReport,
  2: QuotaGrants Grants,
  3: QuotaDataCentreReport DataCentreReport,
}
