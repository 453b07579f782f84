#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Report/CallSample.h"
#include "Report/CallWindow.h"

namespace Report {

// The windows over which burn rates are computed.
struct NamedWindow {
  const char *Name;
  std::chrono::minutes Length;
};
constexpr std::array<NamedWindow, 4> BurnWindows = {{
    {"5m", std::chrono::minutes(5)},
    {"30m", std::chrono::minutes(30)},
    {"1h", std::chrono::minutes(60)},
    {"6h", std::chrono::minutes(360)},
}};

// Counts the calls of one node and formats them as a metrics page in the
// Prometheus text format.
class CallMetrics {
public:
  CallMetrics();
  ~CallMetrics();

  void record(const CallSample &Sample, Common::SteadyTime Now);
  std::string page(Common::SteadyTime Now) const;

private:
  struct Series;
  using SeriesKey = std::pair<std::string, std::string>;

  std::map<SeriesKey, std::unique_ptr<Series>> SeriesByKey;
};

} // namespace Report
