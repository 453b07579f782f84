#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace Scenario {

// A child process of a scenario. The destructor kills it and waits for it.
class Process {
public:
  // Starts Args[0] with standard output and standard error redirected to the
  // files. Throws SystemCallFailed.
  Process(const std::vector<std::string> &Args, const std::string &OutFile,
          const std::string &ErrorFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  // Sends a signal unless the process has exited.
  void signal(int Signal);
  bool hasExited();
  // The exit code after the process has exited, or 128 plus the number of the
  // signal that ended it.
  int exitCode() const { return ExitCode; }

private:
  pid_t Id = -1;
  bool Exited = false;
  int ExitCode = 0;
};

} // namespace Scenario
