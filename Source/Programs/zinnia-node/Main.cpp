#include <cstdio>

#include <spdlog/spdlog.h>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/Log.h"
#include "Node/NodeBuilder.h"

namespace {

Common::Settings readSettings(const std::string &File) {
  return Common::readSettingsFile(Node::nodeSettingRules(), File);
}

int runNode(int Count, const char **Words) {
  std::string File;
  bool OnlyCheck = false;
  const auto Rest = Common::CommandLine("zinnia-node", "--settings FILE")
                        .option("settings", "FILE", "Settings (INI)", File)
                        .flag("check-settings",
                              "Check the settings and do not start", OnlyCheck)
                        .parse(Count, Words);
  if (File.empty() || !Rest.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "wanted is --settings FILE and no more");
  const Common::Settings Read = readSettings(File);
  const Node::NodeSettings Settings = Node::readNodeSettings(Read);
  Common::startLog(Settings.Name, Read.text("output", "log-level"),
                   Read.text("output", "log-pattern"));
  if (OnlyCheck) {
    std::printf("%s: settings are sound\n", File.c_str());
    return 0;
  }
  Kernel::Host Running = Node::NodeBuilder().settings(Settings).build();
  Running.start();
  spdlog::info("node {} in {} started", Settings.Name, Settings.DataCentre);
  // No setting of a node changes while it runs; a faulty file is told before
  // the next start needs it.
  Running.waitForStopSignal([&File] {
    try {
      Node::readNodeSettings(readSettings(File));
      spdlog::info("{}: settings are sound; they hold from the next start",
                   File);
    } catch (const Common::Error &Refused) {
      spdlog::error("the settings of the start stay: {}", Refused.what());
    }
  });
  Running.stop(Settings.DrainLimit);
  spdlog::info("node {} stopped", Settings.Name);
  return 0;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-node", runNode, Count, Words);
}
