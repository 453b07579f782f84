#pragma once

#include <string>

namespace Common {

// Sets up spdlog's default logger on standard error. Level is one of spdlog's
// level names; an unknown one is refused with SettingsOutOfRange.
void startLog(const std::string &Program, const std::string &Level,
              const std::string &Pattern);

} // namespace Common
