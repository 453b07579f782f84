#pragma once

#include <cstdint>
#include <optional>

#include "Config/ObjectSet.h"
#include "Once/CallKey.h"
#include "Once/Claim.h"
#include "Routing/Dispatcher.h"

namespace Node {

// The limit of a call whose kind is not idempotent; empty for other calls, and
// for those without a route, which the dispatcher refuses.
std::optional<Common::Micros> limitOfClaimed(const Config::ObjectSet *Set,
                                             const Routing::CallStart &Start);

// The key in Idempotency-Key. Its caller is the name in Idempotency-Caller, or
// the IP number that the request came from.
Once::ParsedKey keyOf(const Routing::CallStart &Start,
                      const Once::KeyWindow &Window, Common::WallTime Now);

// Hash of method, target and body.
std::uint64_t fingerprintOf(const Routing::CallStart &Start);

// Key and holder are left to the claims. A body over BodyLimit is left out.
Once::Outcome toOutcome(const Routing::CallReply &Reply, std::size_t BodyLimit);
// The answer for another call with the same key.
Routing::CallReply toReply(const Once::Outcome &Ended);

} // namespace Node
