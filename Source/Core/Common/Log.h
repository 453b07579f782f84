#pragma once

#include <string>

#include "Common/BoundedLog.h"

namespace Common {

// Makes spdlog's default logger write to standard error. Level is the name of a
// spdlog level. Throws SettingsOutOfRange for an unknown level.
void startLog(const std::string &Program, const std::string &Level,
              const std::string &Pattern);

// Makes spdlog's default logger write to standard output within Bounds. Lines
// beyond them are dropped and counted. A stalled reader never blocks the
// program.
void startBoundedLog(const std::string &Program, const std::string &Level,
                     const std::string &Pattern, const LogBounds &Bounds);

} // namespace Common
