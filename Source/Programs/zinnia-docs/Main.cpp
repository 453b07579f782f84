#include <cstdio>
#include <string>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/ResultCode.h"
#include "Node/NodeSettings.h"

namespace {

void printResultCodes() {
  std::printf("# Result codes\n\n"
              "Written by `zinnia-docs result-codes` from "
              "`Source/Core/Common/ResultCode.cpp`; CI compares the two.\n\n"
              "Calls: 1xx certainly did not run, 2xx have an unknown "
              "outcome.\n\n"
              "| number | name | meaning |\n|---|---|---|\n");
  for (const Common::ResultCodeInfo &Each : Common::resultCodeTable())
    std::printf("| %d | %s | %s |\n", Common::resultCodeNumber(Each.Code),
                std::string(Each.Name).c_str(),
                std::string(Each.Meaning).c_str());
}

void printRules(const char *Program,
                const std::vector<Common::SettingRule> &Rules) {
  std::printf("\n## %s\n\n| section | key | default | allowed | meaning |\n"
              "|---|---|---|---|---|\n",
              Program);
  for (const Common::SettingRule &Each : Rules) {
    const std::string Default =
        Each.Default ? (Each.Default->empty() ? "empty" : *Each.Default)
                     : "must be given";
    std::printf("| %s | %s | %s | %s | %s |\n", Each.Section.c_str(),
                Each.Key.c_str(), Default.c_str(),
                Common::describeAllowed(Each).c_str(), Each.Help.c_str());
  }
}

void printSettings() {
  std::printf("# Settings\n\n"
              "Written by `zinnia-docs settings` from the rules in the code; "
              "CI compares the two.\nFiles are INI: `[section]`, "
              "`key = value`, `; comment`. Every fault is named with file and "
              "line.\n");
  printRules("zinnia-node", Node::nodeSettingRules());
}

int printPage(int Count, const char **Words) {
  const auto Rest =
      Common::CommandLine("zinnia-docs", "result-codes | settings")
          .parse(Count, Words);
  if (Rest.size() != 1)
    throw Common::Error(Common::ResultCode::UsageError,
                        "wanted is result-codes or settings");
  if (Rest[0] == "result-codes")
    printResultCodes();
  else if (Rest[0] == "settings")
    printSettings();
  else
    throw Common::Error(Common::ResultCode::UsageError, "no page " + Rest[0]);
  return 0;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-docs", printPage, Count, Words);
}
