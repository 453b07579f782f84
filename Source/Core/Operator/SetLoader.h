#pragma once

#include <string>
#include <vector>

#include "Config/ObjectSetBuilder.h"

namespace Operator {

// Adds the given files, and the *.ini files in the given folders, to the input
// of Builder. Throws SettingsUnreadable.
void addFiles(Config::ObjectSetBuilder &Builder,
              const std::vector<std::string> &Paths);

} // namespace Operator
