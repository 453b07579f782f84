#include "Programs/zinnia-scenario/Process.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Common/Error.h"
#include "Common/ScopeGuard.h"

namespace Scenario {

Process::Process(const std::vector<std::string> &Words,
                 const std::string &OutFile, const std::string &ErrorFile) {
  constexpr int FileFlags = O_WRONLY | O_CREAT | O_APPEND;
  constexpr mode_t FileMode = 0644;
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  const Common::ScopeGuard Release(
      [&] { posix_spawn_file_actions_destroy(&Files); });
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutFile.c_str(),
                                   FileFlags, FileMode);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, ErrorFile.c_str(),
                                   FileFlags, FileMode);
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (const std::string &Word : Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  const int Failure = posix_spawn(&Id, Words[0].c_str(), &Files, nullptr,
                                  Arguments.data(), environ);
  if (Failure != 0) {
    errno = Failure;
    Common::throwSystemError("starting " + Words[0]);
  }
}

Process::~Process() {
  if (hasEnded())
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
}

void Process::signal(int Number) {
  if (!hasEnded())
    ::kill(Id, Number);
}

bool Process::hasEnded() {
  if (Ended)
    return true;
  int Status = 0;
  if (::waitpid(Id, &Status, WNOHANG) != Id)
    return false;
  Ended = true;
  constexpr int SignalBase = 128;
  ExitCode =
      WIFEXITED(Status) ? WEXITSTATUS(Status) : SignalBase + WTERMSIG(Status);
  return true;
}

} // namespace Scenario
