#pragma once

#include <string>
#include <vector>

namespace Common {

// Parses the options and positional arguments of a program.
class CommandLine {
public:
  // ArgumentHelp describes the positional arguments in the output of --help.
  CommandLine(std::string Program, std::string ArgumentHelp);

  // Adds an option that takes a value. Value keeps its content if the option is
  // absent.
  CommandLine &option(const std::string &Name, const std::string &ValueName,
                      const std::string &Help, std::string &Value);
  // Adds an option that may be given several times.
  CommandLine &list(const std::string &Name, const std::string &ValueName,
                    const std::string &Help, std::vector<std::string> &Values);
  // Adds an option without a value.
  CommandLine &flag(const std::string &Name, const std::string &Help,
                    bool &Value);

  // Returns the positional arguments. --help and --version print their text and
  // exit. Throws UsageError for an unknown or incomplete option.
  std::vector<std::string> parse(int Count, const char **Arguments);

private:
  struct Option {
    std::string Name;
    std::string ValueName;
    std::string Help;
    std::string *Text = nullptr;
    std::vector<std::string> *List = nullptr;
    bool *Flag = nullptr;
  };

  std::string Program;
  std::string ArgumentHelp;
  std::vector<Option> Options;
};

constexpr int UsageExitCode = 2;

// Runs the body of a program and returns its exit code. Prints an exception to
// standard error and returns 2 for usage or settings errors and 1 for all
// others.
int runProgram(const std::string &Program, int (*Body)(int, const char **),
               int Count, const char **Arguments);

} // namespace Common
