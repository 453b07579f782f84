#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "Once/Claim.h"

namespace Wire {

// A request of a node to a batcher for a claim. It carries the remaining time
// instead of a deadline, because the clocks of nodes differ.
struct ClaimRequest {
  Once::Claim RequestedClaim;
  Common::Micros Remaining{0};
};

using ClaimsEnvelope =
    std::variant<ClaimRequest, Once::ClaimDecision, Once::Outcome>;

std::string encodeClaimsEnvelope(const ClaimsEnvelope &Content);
// Throws FrameMalformed if Bytes cannot be decoded.
ClaimsEnvelope decodeClaimsEnvelope(std::string_view Bytes);

std::string encodeClaimBatch(const Once::Batch &Content);
// Throws RecordMalformed if Bytes cannot be decoded.
Once::Batch decodeClaimBatch(std::string_view Bytes);

} // namespace Wire
