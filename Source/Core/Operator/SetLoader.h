#pragma once

#include <string>
#include <vector>

#include "Config/ObjectSetBuilder.h"

namespace Operator {

// Adds files, and the *.ini files of folders, to a set. Throws
// SettingsUnreadable.
void loadInto(Config::ObjectSetBuilder &Builder,
              const std::vector<std::string> &Paths);

} // namespace Operator
