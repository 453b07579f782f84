#pragma once

#include <string>

#include "Programs/zinnia-scenario/Mesh.h"

namespace Scenario {

// Runs a script, in Lua with the words of Words.cpp. Throws UsageError for a
// script that is wrong, and an Error of another code when an expectation is
// not met; both name file and line.
void runScript(Mesh &Running, const std::string &File);

// The words and what they do, one a line.
std::string wordList();

} // namespace Scenario
