#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Common/IniDocument.h"
#include "Common/Time.h"

namespace Report {

// A service-level objective: the share of calls that must be good, and the
// latency above which a call does not count as good.
struct Objective {
  std::string Name;
  std::string Service;
  // Empty matches every kind of the service.
  std::string Kind;
  double TargetShare = 0.999;
  std::optional<Common::Micros> LatencyLimit;
};

// The settings of zinnia-burn: the nodes to query and the objectives.
struct BurnSettings {
  std::vector<std::string> Nodes;
  Common::Micros NodeTimeout{2'000'000};
  std::vector<Objective> Objectives;
};

// Reads INI: [nodes] admin = IP:PORT ... and timeout; [objective NAME] service,
// kind, target-percent, latency. Appends the faults found to Faults.
BurnSettings readBurnSettings(const std::string &File, const std::string &Text,
                              std::vector<Common::Fault> &Faults);

} // namespace Report
