#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Common/IniDocument.h"
#include "Common/Time.h"

namespace Report {

// The share of calls that must be good, and from which latency on a call does
// not count as good.
struct Objective {
  std::string Name;
  std::string Service;
  // Empty takes every kind of the service.
  std::string Kind;
  double TargetShare = 0.999;
  std::optional<Common::Micros> LatencyLimit;
};

// What zinnia-burn is told: the nodes to read and the objectives.
struct BurnSettings {
  std::vector<std::string> Nodes;
  Common::Micros NodeLimit{2'000'000};
  std::vector<Objective> Objectives;
};

// Reads INI: [nodes] admin = IP:PORT ... and timeout; [objective NAME] service,
// kind, target-percent, latency. Adds to Faults whatever is wrong.
BurnSettings readBurnSettings(const std::string &File, const std::string &Text,
                              std::vector<Common::Fault> &Faults);

} // namespace Report
