#include <cstdio>
#include <filesystem>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/ScopeGuard.h"
#include "Programs/zinnia-scenario/Words.h"

namespace {

std::string makeRunFolder() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "zinnia-XXXXXX").string();
  if (!mkdtemp(Template.data()))
    Common::throwSystemError("cannot create the folder of the run");
  return Template;
}

int runScenario(int ArgCount, const char **Args) {
  std::string KeepFolder;
  bool ListCommands = false;
  const auto Scripts =
      Common::CommandLine("zinnia-scenario", "SCRIPT...")
          .option("keep", "FOLDER", "Folder in which to keep settings and logs",
                  KeepFolder)
          .flag("words", "List the commands that scripts can use", ListCommands)
          .parse(ArgCount, Args);
  if (ListCommands) {
    std::printf("%s", Scenario::commandList().c_str());
    return 0;
  }
  if (Scripts.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "at least one script is required");
  const std::string BinFolder =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  for (const std::string &Script : Scripts) {
    const std::string RunFolder =
        KeepFolder.empty() ? makeRunFolder() : KeepFolder;
    const Common::ScopeGuard RemoveFolder([&] {
      if (KeepFolder.empty())
        std::filesystem::remove_all(RunFolder);
    });
    std::filesystem::create_directories(RunFolder);
    Scenario::Mesh Mesh(BinFolder, RunFolder);
    Scenario::runScript(Mesh, Script);
    std::printf("%s: passed\n", Script.c_str());
  }
  return 0;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-scenario", runScenario, ArgCount, Args);
}
