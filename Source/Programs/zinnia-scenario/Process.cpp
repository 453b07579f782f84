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

Process::Process(const std::vector<std::string> &Args,
                 const std::string &OutFile, const std::string &ErrorFile) {
  constexpr int FileFlags = O_WRONLY | O_CREAT | O_APPEND;
  constexpr mode_t FileMode = 0644;
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  const Common::ScopeGuard DestroyFiles(
      [&] { posix_spawn_file_actions_destroy(&Files); });
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutFile.c_str(),
                                   FileFlags, FileMode);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, ErrorFile.c_str(),
                                   FileFlags, FileMode);
  std::vector<char *> ArgPointers;
  ArgPointers.reserve(Args.size() + 1);
  for (const std::string &Arg : Args)
    ArgPointers.push_back(const_cast<char *>(Arg.c_str()));
  ArgPointers.push_back(nullptr);
  const int Failure = posix_spawn(&Id, Args[0].c_str(), &Files, nullptr,
                                  ArgPointers.data(), environ);
  if (Failure != 0) {
    errno = Failure;
    Common::throwSystemError("cannot start " + Args[0]);
  }
}

Process::~Process() {
  if (hasExited())
    return;
  ::kill(Id, SIGKILL);
  ::waitpid(Id, nullptr, 0);
}

void Process::signal(int Signal) {
  if (!hasExited())
    ::kill(Id, Signal);
}

bool Process::hasExited() {
  if (Exited)
    return true;
  int Status = 0;
  if (::waitpid(Id, &Status, WNOHANG) != Id)
    return false;
  Exited = true;
  constexpr int SignalBase = 128;
  ExitCode =
      WIFEXITED(Status) ? WEXITSTATUS(Status) : SignalBase + WTERMSIG(Status);
  return true;
}

} // namespace Scenario
