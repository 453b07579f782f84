#pragma once

#include <string>

#include "Common/BoundedLog.h"

namespace Common {

// Sets up spdlog's default logger on standard error. Level is one of spdlog's
// level names; an unknown one is refused with SettingsOutOfRange.
void startLog(const std::string &Program, const std::string &Level,
              const std::string &Pattern);

// The same on standard output and within bounds: lines beyond them are dropped
// and counted, and a reader that stalls holds nothing up.
void startBoundedLog(const std::string &Program, const std::string &Level,
                     const std::string &Pattern, const LogBounds &Bounds);

} // namespace Common
