#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Hash.h"
#include "Common/Time.h"

// What the nodes tell each other about the quotas of tenants.
namespace Tenants {

// Short form of a tenant's name, since bytes between data centres are dear.
using TenantId = std::uint32_t;

inline TenantId tenantIdOf(std::string_view Name) {
  return static_cast<TenantId>(Common::hashOf(Name));
}

// How often a node reports what the tenants asked of it.
constexpr Common::Millis ReportInterval{500};

struct TenantCount {
  TenantId Tenant = 0;
  std::uint32_t Demanded = 0;
  // Negative if more of the earlier requests turned out not to have run.
  std::int32_t Admitted = 0;

  bool operator==(const TenantCount &) const = default;
};

// A node's share of the quota of a tenant that must be limited.
struct Grant {
  TenantId Tenant = 0;
  double RatePerSecond = 0;

  bool operator==(const Grant &) const = default;
};

// What a node received and admitted within a period. Sent to the head, the node
// that keeps the totals of its data centre.
struct NodeReport {
  std::string Node;
  Common::Micros Period{0};
  // Tenants without demand are left out.
  std::vector<TenantCount> Counts;
  // The last grants that the node had, for a new head.
  std::vector<Grant> Limited;
};

// The head's answer to a node: its share for every tenant that must be limited.
// All other tenants are within their quotas.
struct Grants {
  std::vector<Grant> Limited;
};

struct TenantRate {
  TenantId Tenant = 0;
  double DemandPerSecond = 0;
  double AdmittedPerSecond = 0;
  // All that the data centre has admitted since its head started to count.
  std::int64_t AdmittedTotal = 0;
};

// Sent between the heads of data centres. Tenants whose rates are still as last
// sent are left out.
struct DataCentreReport {
  std::string DataCentre;
  // Identifies the process that counts, as its totals begin at 0.
  std::string Node;
  std::vector<TenantRate> Rates;
};

} // namespace Tenants
