#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/ResultCode.h"
#include "Common/Time.h"

namespace Once {

// Names one call that wants to run, unique among all nodes and their restarts.
using HolderId = std::string;

// The wish of one call to be the only one that runs under its key.
struct Claim {
  // CallKey::scoped().
  std::string Key;
  HolderId Holder;
  // Hash of method, target and body.
  std::uint64_t Fingerprint = 0;
  Common::WallTime IssuedAt;
};

// How the call that holds a key ended. Result is Ok for an answered call.
struct Outcome {
  std::string Key;
  HolderId Holder;
  Common::ResultCode Result = Common::ResultCode::Ok;
  int HttpStatus = 0;
  std::map<std::string, std::string> Fields;
  std::string Body;
  // The answer was too large to be recorded.
  bool WithoutBody = false;
};

// One record of the stream of claims.
struct Batch {
  std::string Id;
  std::vector<Claim> Claims;
  std::vector<Outcome> Outcomes;
};

enum class VerdictKind : std::int32_t {
  // The claim is the first of its key on the log.
  Won = 0,
  // Another call holds the key and may still run.
  HeldByOther = 1,
  // The call that holds the key has ended.
  Ended = 2,
  // The key was used for another request.
  OtherRequest = 3,
  // The claim landed outside the window of its key.
  Expired = 4,
  // The batcher has not read the whole window yet.
  NotYetKnown = 5,
  // The batcher takes no more claims for now.
  Refused = 6,
};

// What a batcher tells the node that asked for a claim.
struct Verdict {
  HolderId Holder;
  VerdictKind Kind = VerdictKind::Refused;
  std::optional<Outcome> Ended;
};

} // namespace Once
