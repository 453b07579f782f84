#pragma once

#include <string>
#include <vector>

#include "Kernel/Task.h"

namespace Load {

// Counts the calls of this run that were executed more than once, by one or by
// several servers.
int countRepeatedCalls(Kernel::Task &Worker, const std::string &IdPrefix,
                       const std::vector<std::string> &Servers);

} // namespace Load
