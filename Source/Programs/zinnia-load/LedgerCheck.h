#pragma once

#include <string>
#include <vector>

#include "Kernel/Task.h"

namespace Load {

// Counts the calls of this run that more than one server, or one server more
// than once, has run.
int countDoubled(Kernel::Task &Worker, const std::string &IdPrefix,
                 const std::vector<std::string> &Servers);

} // namespace Load
