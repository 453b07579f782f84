#pragma once

#include <algorithm>

#include "Http/EdgeServer.h"
#include "Node/NodeSettings.h"

namespace Node {

// How the memory and the descriptors of the machine are divided. Each service
// keeps to its own share, so that none has to know what the others hold. The
// process itself and what exists only for a moment, such as a frame while it is
// encoded, have no share: they count on the others not being full together.

// For what callers send and have not taken yet. A body counts twice, so that
// one of 64 MiB fits into the share of 260 MB.
constexpr std::size_t CallerPercent = 55;
// For the requests of other nodes' callers that wait for the backend server.
constexpr std::size_t ServerPercent = 12;
// For the frames that a single peer has not taken yet.
constexpr std::size_t PeerPercent = 6;
// For the replies that all peers together have not taken yet, when one of them
// has stalled.
constexpr std::size_t ReplyPercent = 18;
// The same while all peers read. This limit comes before the other shares,
// which are rarely full at the same time.
constexpr std::size_t MaxReplyPercent = 36;
// The part of it that a single peer may take up.
constexpr std::size_t PeerReplyPercent = 12;
// For the calls of the backend server to its own node.
constexpr std::size_t ControlPercent = 4;
constexpr std::size_t ReadyPercent = 2;
// For operators.
constexpr std::size_t AdminPercent = 3;
// How many connections each listener takes that isn't for callers. The
// platform, the backend server and operators use a few at a time.
constexpr std::size_t ServiceConnections = 64;
// The rest is for peers, for the backend server and for files.
constexpr std::size_t CallerDescriptorPercent = 75;

constexpr std::size_t percentOf(std::size_t Whole, std::size_t Percent) {
  return Whole * Percent / 100;
}

// Of a listener that isn't for callers.
inline Http::EdgeCapacity serviceCapacity(const NodeSettings &Settings,
                                          std::size_t MemoryPercent) {
  return {percentOf(Settings.MemoryLimit, MemoryPercent), ServiceConnections};
}

inline Http::EdgeCapacity callerCapacity(const NodeSettings &Settings) {
  return {percentOf(Settings.MemoryLimit, CallerPercent),
          std::max<std::size_t>(
              1, percentOf(Settings.DescriptorLimit, CallerDescriptorPercent))};
}

} // namespace Node
