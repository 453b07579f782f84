#include <cstdio>

#include <spdlog/spdlog.h>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/Log.h"
#include "Common/Memory.h"
#include "Node/NodeBuilder.h"

namespace {

Common::Settings readSettings(const std::string &File) {
  return Common::readSettingsFile(Node::nodeSettingRules(), File);
}

int runNode(int ArgCount, const char **Args) {
  Common::returnLargeBlocks();
  std::string File;
  bool CheckOnly = false;
  const auto Operands =
      Common::CommandLine("zinnia-node", "--settings FILE")
          .option("settings", "FILE", "Settings file (INI)", File)
          .flag("check-settings", "Check the settings and exit", CheckOnly)
          .parse(ArgCount, Args);
  if (File.empty() || !Operands.empty())
    throw Common::Error(
        Common::ResultCode::UsageError,
        "--settings FILE is required, without further arguments");
  const Common::Settings Values = readSettings(File);
  const Node::NodeSettings Settings = Node::readNodeSettings(Values);
  Common::startLog(Settings.Name, Values.text("output", "log-level"),
                   Values.text("output", "log-pattern"));
  if (CheckOnly) {
    std::printf("%s: settings are valid\n", File.c_str());
    return 0;
  }
  Kernel::Host Host = Node::NodeBuilder().settings(Settings).build();
  Host.start();
  spdlog::info("node {} in data centre {} started", Settings.Name,
               Settings.DataCentre);
  // Settings don't change while a node runs. The file is only checked, so that
  // an operator learns of faults before the next start.
  Host.waitForStopSignal([&File] {
    try {
      Node::readNodeSettings(readSettings(File));
      spdlog::info("{}: settings are valid and take effect at the next start",
                   File);
    } catch (const Common::Error &Failure) {
      spdlog::error(
          "invalid settings, the settings of the last start stay in effect: {}",
          Failure.what());
    }
  });
  Host.stop(Settings.DrainLimit);
  spdlog::info("node {} stopped", Settings.Name);
  return 0;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-node", runNode, ArgCount, Args);
}
