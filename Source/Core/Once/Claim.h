#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Once {

// Identifies a call that claims a key. Unique across all nodes and their
// restarts.
using HolderId = std::string;

// A request to run a call under an idempotency key. At most one of the calls
// that claim a key may run.
struct Claim {
  // CallKey::scoped().
  std::string Key;
  HolderId Holder;
  // Hash of method, target and body.
  std::uint64_t Fingerprint = 0;
  Common::WallTime IssuedAt;
};

// The outcome of the call that holds a key. Result is Ok when the call got a
// response.
struct Outcome {
  std::string Key;
  HolderId Holder;
  Common::ResultCode Result = Common::ResultCode::Ok;
  int HttpStatus = 0;
  std::map<std::string, std::string> Fields;
  std::string Body;
  // The response was too large to be recorded.
  bool WithoutBody = false;
};

// One record of the claim stream in the log.
struct Batch {
  std::string Id;
  std::vector<Claim> Claims;
  std::vector<Outcome> Outcomes;
};

enum class DecisionKind : std::int32_t {
  // The claim is the first one for its key in the log.
  Won = 0,
  // Another call holds the key and may still run.
  HeldByOther = 1,
  // The call that holds the key has ended, and its outcome is recorded.
  Completed = 2,
  // The key was used for a request with another fingerprint.
  FingerprintMismatch = 3,
  // The claim was appended outside the validity window of its key.
  Expired = 4,
  // The batcher has not read all claims of the window from the log yet.
  NotReady = 5,
  // The batcher is at its limit of pending or indexed claims.
  Refused = 6,
};

// The reply of a batcher to the node that sent a claim.
struct ClaimDecision {
  HolderId Holder;
  DecisionKind Kind = DecisionKind::Refused;
  // Set for DecisionKind::Completed only.
  std::optional<Outcome> Recorded;
};

} // namespace Once
