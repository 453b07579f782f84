#include "Common/CommandLine.h"

#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <memory>

#include <popt.h>

#include "Common/Error.h"

namespace Common {

namespace {

constexpr int FirstOptionValue = 1000;
constexpr int VersionValue = 1;

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextHolder = std::unique_ptr<poptContext_s, ContextDeleter>;

} // namespace

CommandLine::CommandLine(std::string Program, std::string ArgumentHelp)
    : Program(std::move(Program)), ArgumentHelp(std::move(ArgumentHelp)) {}

CommandLine &CommandLine::option(const std::string &Name,
                                 const std::string &ValueName,
                                 const std::string &Help, std::string &Value) {
  Options.push_back({Name, ValueName, Help, &Value, nullptr, nullptr});
  return *this;
}

CommandLine &CommandLine::list(const std::string &Name,
                               const std::string &ValueName,
                               const std::string &Help,
                               std::vector<std::string> &Values) {
  Options.push_back({Name, ValueName, Help, nullptr, &Values, nullptr});
  return *this;
}

CommandLine &CommandLine::flag(const std::string &Name, const std::string &Help,
                               bool &Value) {
  Options.push_back({Name, "", Help, nullptr, nullptr, &Value});
  return *this;
}

std::vector<std::string> CommandLine::parse(int Count, const char **Words) {
  std::vector<poptOption> Table;
  for (std::size_t Index = 0; Index < Options.size(); ++Index) {
    const Option &Each = Options[Index];
    Table.push_back(
        {Each.Name.c_str(), '\0',
         static_cast<unsigned>(Each.Flag ? POPT_ARG_NONE : POPT_ARG_STRING),
         nullptr, FirstOptionValue + static_cast<int>(Index), Each.Help.c_str(),
         Each.Flag ? nullptr : Each.ValueName.c_str()});
  }
  Table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, VersionValue,
                   "Show the version", nullptr});
  const poptOption Ending[] = {POPT_AUTOHELP POPT_TABLEEND};
  Table.insert(Table.end(), std::begin(Ending), std::end(Ending));

  const ContextHolder Context(
      poptGetContext(Program.c_str(), Count, Words, Table.data(), 0));
  poptSetOtherOptionHelp(Context.get(), ArgumentHelp.c_str());
  int Found = 0;
  while ((Found = poptGetNextOpt(Context.get())) > 0) {
    if (Found == VersionValue) {
      std::printf("%s %s\n", Program.c_str(), ZINNIA_VERSION);
      std::exit(0);
    }
    const Option &Each =
        Options[static_cast<std::size_t>(Found - FirstOptionValue)];
    char *Value = poptGetOptArg(Context.get());
    if (Each.Flag)
      *Each.Flag = true;
    else if (Each.Text)
      *Each.Text = Value;
    else
      Each.List->emplace_back(Value);
    std::free(Value);
  }
  if (Found < -1)
    throw Error(ResultCode::UsageError,
                std::string(poptBadOption(Context.get(), 0)) + ": " +
                    poptStrerror(Found) + "; --help shows what is allowed");
  std::vector<std::string> Rest;
  if (const char **Left = poptGetArgs(Context.get()))
    for (; *Left; ++Left)
      Rest.emplace_back(*Left);
  return Rest;
}

int runProgram(const std::string &Program, int (*Body)(int, const char **),
               int Count, const char **Words) {
  try {
    return Body(Count, Words);
  } catch (const Error &Failure) {
    std::fprintf(stderr, "%s: %s\n", Program.c_str(), Failure.what());
    const int Number = resultCodeNumber(Failure.code());
    const bool IsUsage = Number >= 300 && Number < 400;
    return IsUsage ? UsageExitCode : 1;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s: %s\n", Program.c_str(), Failure.what());
    return 1;
  }
}

} // namespace Common
