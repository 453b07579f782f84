#pragma once

#include <functional>
#include <string>

#include "Common/Time.h"

namespace Node {

// Where the service on this VM is stated, which may change without a signal.
struct ServiceSetting {
  // Whether the settings may have changed since the last call that returned
  // true.
  std::function<bool(Common::SteadyTime)> HasChanged;
  // Reads the service from the settings. Throws an Error if they are invalid.
  std::function<std::string()> Read;
};

} // namespace Node
