#pragma once

#include <string>
#include <vector>

#include "Programs/zinnia-load/LoadRun.h"

namespace Load {

struct LoadJob {
  LoadOptions Options;
  // Backend servers to call directly before, for comparison.
  std::vector<std::string> Direct;
  std::vector<std::string> Ledgers;
  std::string CsvFile;
  // Tasks that share the load.
  int Tasks = 1;
};

// Throws UsageError.
LoadJob parseCommandLine(int Count, const char **Words);

} // namespace Load
