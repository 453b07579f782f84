#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Report/CallWindow.h"

namespace Report {

// One parsed line of a metrics page.
struct MetricLine {
  std::string Name;
  std::map<std::string, std::string> Labels;
  double Value = 0;
};

// Skips lines that can't be parsed, as the page may come from a newer release.
std::vector<MetricLine> parseMetricsPage(const std::string &Page);

// Identifies the counts of one service and kind in one window.
struct WindowKey {
  std::string Service;
  std::string Kind;
  std::string Window;

  bool operator<(const WindowKey &Other) const {
    return std::tie(Service, Kind, Window) <
           std::tie(Other.Service, Other.Kind, Other.Window);
  }
};

// Adds the windows on one node's page to the totals over all nodes.
void addWindows(const std::vector<MetricLine> &Lines,
                std::map<WindowKey, CallCounts> &Totals);

} // namespace Report
