#include "Common/Log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "Common/Error.h"

namespace Common {

void startLog(const std::string &Program, const std::string &Level,
              const std::string &Pattern) {
  const auto Parsed = spdlog::level::from_str(Level);
  if (Parsed == spdlog::level::off && Level != "off")
    throw Error(ResultCode::SettingsOutOfRange, "log level " + Level);
  auto Logger = spdlog::stderr_logger_mt(Program);
  Logger->set_level(Parsed);
  Logger->set_pattern(Pattern);
  spdlog::set_default_logger(std::move(Logger));
}

} // namespace Common
