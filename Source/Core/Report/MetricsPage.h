#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Report/CallWindow.h"

namespace Report {

// One line of a metrics page.
struct MetricLine {
  std::string Name;
  std::map<std::string, std::string> Labels;
  double Value = 0;
};

// Lines that make no sense are left out; a page may be of a newer release.
std::vector<MetricLine> parseMetricsPage(const std::string &Page);

struct WindowKey {
  std::string Service;
  std::string Kind;
  std::string Window;

  bool operator<(const WindowKey &Other) const {
    return std::tie(Service, Kind, Window) <
           std::tie(Other.Service, Other.Kind, Other.Window);
  }
};

// Adds the windows of one node's page to the sum over nodes.
void addWindows(const std::vector<MetricLine> &Lines,
                std::map<WindowKey, CallCounts> &Sum);

} // namespace Report
