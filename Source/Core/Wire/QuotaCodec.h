#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "Tenants/QuotaMessages.h"

namespace Wire {

using QuotaEnvelope = std::variant<Tenants::NodeReport, Tenants::Grants,
                                   Tenants::DataCentreReport>;

std::string encodeQuotaEnvelope(const QuotaEnvelope &Content);
// Throws FrameMalformed if Bytes cannot be decoded.
QuotaEnvelope decodeQuotaEnvelope(std::string_view Bytes);

} // namespace Wire
