#pragma once

#include <string>

#include "Programs/zinnia-scenario/Mesh.h"

namespace Scenario {

// Runs a Lua script, which can use the commands in Words.cpp. Throws
// ScenarioFailed with file and line when the script has an error or an
// expectation is not met.
void runScript(Mesh &TestMesh, const std::string &File);

// The commands and their parameters, one per line.
std::string commandList();

} // namespace Scenario
