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
    Common::throwSystemError("making a folder for the run");
  return Template;
}

int runScenario(int Count, const char **Words) {
  std::string Kept;
  bool ListWords = false;
  const auto Rest =
      Common::CommandLine("zinnia-scenario", "SCRIPT...")
          .option("keep", "FOLDER", "Keep settings and logs in this folder",
                  Kept)
          .flag("words", "List the words of the language", ListWords)
          .parse(Count, Words);
  if (ListWords) {
    std::printf("%s", Scenario::wordList().c_str());
    return 0;
  }
  if (Rest.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "wanted is at least one script");
  const std::string Bin =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  for (const std::string &Script : Rest) {
    const std::string Run = Kept.empty() ? makeRunFolder() : Kept;
    const Common::ScopeGuard Remove([&] {
      if (Kept.empty())
        std::filesystem::remove_all(Run);
    });
    std::filesystem::create_directories(Run);
    Scenario::Mesh Running(Bin, Run);
    Scenario::runScript(Running, Script);
    std::printf("%s: passed\n", Script.c_str());
  }
  return 0;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-scenario", runScenario, Count, Words);
}
