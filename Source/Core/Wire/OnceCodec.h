#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "Once/Claim.h"

namespace Wire {

// A node asks a batcher for a claim. The time left travels, as clocks differ.
struct ClaimAsk {
  Once::Claim Wanted;
  Common::Micros Remaining{0};
};

using ClaimsEnvelope =
    std::variant<ClaimAsk, Once::ClaimDecision, Once::Outcome>;

std::string encodeClaimsEnvelope(const ClaimsEnvelope &Content);
// Throws FrameMalformed.
ClaimsEnvelope decodeClaimsEnvelope(std::string_view Bytes);

std::string encodeClaimBatch(const Once::Batch &Content);
// Throws RecordMalformed.
Once::Batch decodeClaimBatch(std::string_view Bytes);

} // namespace Wire
