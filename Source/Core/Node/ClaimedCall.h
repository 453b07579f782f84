#pragma once

#include <cstdint>
#include <optional>

#include "Config/ObjectSet.h"
#include "Once/CallKey.h"
#include "Once/Claim.h"
#include "Routing/Dispatcher.h"

namespace Node {

// The time limit of a call whose kind is not idempotent. Empty for other calls
// and for calls without a route, which the dispatcher refuses.
std::optional<Common::Micros> claimedCallLimit(const Config::ObjectSet *Set,
                                               const Routing::CallStart &Start);

// Parses the Idempotency-Key field. The caller of the key is the name in
// Idempotency-Caller, or else the IP address that the request came from.
Once::ParsedKey keyOf(const Routing::CallStart &Start,
                      const Once::KeyWindow &Window, Common::WallTime Now);

// Hashes the method, the target and the body.
std::uint64_t fingerprintOf(const Routing::CallStart &Start);

// Builds the outcome to record for a reply; the claim client adds key and
// holder. Leaves out the header fields and the body when they exceed BodyLimit
// bytes together.
Once::Outcome toOutcome(const Routing::CallReply &Reply, std::size_t BodyLimit);
// Builds the reply for another call with the same key.
Routing::CallReply toReply(const Once::Outcome &Recorded);

} // namespace Node
