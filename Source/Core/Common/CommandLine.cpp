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

std::vector<std::string> CommandLine::parse(int Count, const char **Arguments) {
  std::vector<poptOption> Table;
  for (std::size_t Index = 0; Index < Options.size(); ++Index) {
    const Option &Entry = Options[Index];
    Table.push_back(
        {Entry.Name.c_str(), '\0',
         static_cast<unsigned>(Entry.Flag ? POPT_ARG_NONE : POPT_ARG_STRING),
         nullptr, FirstOptionValue + static_cast<int>(Index),
         Entry.Help.c_str(), Entry.Flag ? nullptr : Entry.ValueName.c_str()});
  }
  Table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, VersionValue,
                   "Show the version", nullptr});
  const poptOption TableEnd[] = {POPT_AUTOHELP POPT_TABLEEND};
  Table.insert(Table.end(), std::begin(TableEnd), std::end(TableEnd));

  const ContextHolder Context(
      poptGetContext(Program.c_str(), Count, Arguments, Table.data(), 0));
  poptSetOtherOptionHelp(Context.get(), ArgumentHelp.c_str());
  int OptionValue = 0;
  while ((OptionValue = poptGetNextOpt(Context.get())) > 0) {
    if (OptionValue == VersionValue) {
      std::printf("%s %s\n", Program.c_str(), ZINNIA_VERSION);
      std::exit(0);
    }
    const Option &Entry =
        Options[static_cast<std::size_t>(OptionValue - FirstOptionValue)];
    char *Value = poptGetOptArg(Context.get());
    if (Entry.Flag)
      *Entry.Flag = true;
    else if (Entry.Text)
      *Entry.Text = Value;
    else
      Entry.List->emplace_back(Value);
    std::free(Value);
  }
  if (OptionValue < -1)
    throw Error(ResultCode::UsageError,
                std::string(poptBadOption(Context.get(), 0)) + ": " +
                    poptStrerror(OptionValue) + "; run with --help for usage");
  std::vector<std::string> Positional;
  if (const char **Remaining = poptGetArgs(Context.get()))
    for (; *Remaining; ++Remaining)
      Positional.emplace_back(*Remaining);
  return Positional;
}

int runProgram(const std::string &Program, int (*Body)(int, const char **),
               int Count, const char **Arguments) {
  try {
    return Body(Count, Arguments);
  } catch (const Error &Failure) {
    std::fprintf(stderr, "%s: %s\n", Program.c_str(), Failure.what());
    const int Number = resultCodeNumber(Failure.code());
    const bool IsUsageError = Number >= 300 && Number < 400;
    return IsUsageError ? UsageExitCode : 1;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s: %s\n", Program.c_str(), Failure.what());
    return 1;
  }
}

} // namespace Common
