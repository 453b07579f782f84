#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace Scenario {

// A child process of a scenario. It is killed and waited for at the end.
class Process {
public:
  // Standard output and standard error go to the files. Throws
  // SystemCallFailed.
  Process(const std::vector<std::string> &Words, const std::string &OutFile,
          const std::string &ErrorFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number);
  bool hasEnded();
  // The exit code once it has ended; a signal counts as 128 and its number.
  int exitCode() const { return ExitCode; }

private:
  pid_t Id = -1;
  bool Ended = false;
  int ExitCode = 0;
};

} // namespace Scenario
