#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Rollout/Coordinator.h"
#include "Rollout/ReportCollector.h"

namespace Wire {

// The progress of a roll-out. It carries the time since the order instead of a
// point in time, because the clocks of nodes differ.
struct SentProgress {
  Rollout::Order Ordered;
  Rollout::Stage Reached = Rollout::Stage::Trial;
  Common::Micros Elapsed{0};
};

// What a node knows of all roll-outs.
struct RolloutNews {
  std::string Node;
  bool FromCoordinator = false;
  std::vector<SentProgress> Known;
};

using RolloutEnvelope =
    std::variant<RolloutNews, Rollout::NodeReport, Rollout::Report>;

std::string encodeRollout(const RolloutEnvelope &Content);
// Throws FrameMalformed if Bytes cannot be decoded.
RolloutEnvelope decodeRollout(std::string_view Bytes);

} // namespace Wire
