#pragma once

#include <string>
#include <vector>

#include "Programs/zinnia-load/LoadRun.h"

namespace Load {

// The parsed command line.
struct LoadJob {
  LoadOptions Options;
  // Backend servers that get the same load directly first, for comparison.
  std::vector<std::string> DirectTargets;
  // Backend servers whose ledgers are checked for calls that ran twice.
  std::vector<std::string> Ledgers;
  // The CSV file to write the windows of the run to; empty writes none.
  std::string CsvFile;
  // The number of threads that share the load.
  int Tasks = 1;
};

// Parses the command line of zinnia-load. Throws UsageError.
LoadJob parseCommandLine(int ArgCount, const char **Args);

} // namespace Load
