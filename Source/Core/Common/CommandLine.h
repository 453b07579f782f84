#pragma once

#include <string>
#include <vector>

namespace Common {

// The options and arguments of a program.
class CommandLine {
public:
  // Asks for an option that takes a value; Default is kept when it is absent.
  CommandLine(std::string Program, std::string ArgumentHelp);

  CommandLine &option(const std::string &Name, const std::string &ValueName,
                      const std::string &Help, std::string &Value);
  // An option that may be given several times.
  CommandLine &list(const std::string &Name, const std::string &ValueName,
                    const std::string &Help, std::vector<std::string> &Values);
  CommandLine &flag(const std::string &Name, const std::string &Help,
                    bool &Value);

  // Handles --help and --version, which end the program. Returns what is no
  // option; throws UsageError.
  std::vector<std::string> parse(int Count, const char **Words);

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

// Runs the body of a program: prints an Error and turns it into the exit code,
// 2 for wrong usage or settings and 1 for all else.
int runProgram(const std::string &Program, int (*Body)(int, const char **),
               int Count, const char **Words);

} // namespace Common
