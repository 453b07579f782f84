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
  for (const Common::ResultCodeInfo &Info : Common::resultCodeTable())
    std::printf("| %d | %s | %s |\n", Common::resultCodeNumber(Info.Code),
                std::string(Info.Name).c_str(),
                std::string(Info.Meaning).c_str());
}

void printRules(const char *Program,
                const std::vector<Common::SettingRule> &Rules) {
  std::printf("\n## %s\n\n| section | key | default | allowed | meaning |\n"
              "|---|---|---|---|---|\n",
              Program);
  for (const Common::SettingRule &Rule : Rules) {
    const std::string Default =
        Rule.Default ? (Rule.Default->empty() ? "empty" : *Rule.Default)
                     : "must be given";
    std::printf("| %s | %s | %s | %s | %s |\n", Rule.Section.c_str(),
                Rule.Key.c_str(), Default.c_str(),
                Common::describeAllowed(Rule).c_str(), Rule.Help.c_str());
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

int printPage(int ArgCount, const char **Args) {
  const auto Operands =
      Common::CommandLine("zinnia-docs", "result-codes | settings")
          .parse(ArgCount, Args);
  if (Operands.size() != 1)
    throw Common::Error(
        Common::ResultCode::UsageError,
        "exactly one page is required: result-codes or settings");
  if (Operands[0] == "result-codes")
    printResultCodes();
  else if (Operands[0] == "settings")
    printSettings();
  else
    throw Common::Error(Common::ResultCode::UsageError,
                        "unknown page " + Operands[0]);
  return 0;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-docs", printPage, ArgCount, Args);
}
