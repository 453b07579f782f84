#include "Kernel/Host.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <future>
#include <set>
#include <utility>

#include <spdlog/spdlog.h>

#include "Common/Error.h"

namespace Kernel {

namespace {

// A wait for signals that lasts longer means that the process did not run.
constexpr Common::Millis MaxSignalWait{250};

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

struct Host::ServiceEntry {
  std::string Name;
  Task *Owner;
  std::vector<std::string> Dependencies;
  std::function<void()> Start;
  // Empty if the service does not need it.
  std::function<void(Common::SteadyTime)> PrepareStop;
  std::function<void(std::function<void()>)> Drain;
  std::function<void()> Stop;
};

Host::Host() : Services(std::make_unique<Registry>()) {}
Host::Host(Host &&) noexcept = default;

Host::~Host() { stopStarted(); }

Registry &Host::services() { return *Services; }

std::vector<std::string> Host::startOrder() const {
  std::vector<std::string> Names;
  for (const auto &Entry : ServiceEntries)
    Names.push_back(Entry->Name);
  return Names;
}

void Host::start() {
  for (const auto &[Name, Worker] : Tasks)
    Worker->spawn();
  for (const auto &Entry : ServiceEntries) {
    // Incremented before the start, so that a service that fails halfway
    // through its start is stopped too.
    ++StartedCount;
    try {
      Entry->Owner->runAndWait(Entry->Start);
    } catch (...) {
      stopStarted();
      throw;
    }
    spdlog::debug("service {} started on task {}", Entry->Name,
                  Entry->Owner->name());
  }
}

void Host::waitForStopSignal(const std::function<void()> &OnReload,
                             const std::function<void()> &OnIdle,
                             Common::Duration IdleInterval) {
  const sigset_t Signals = handledSignals();
  const bool HasIdleInterval = IdleInterval > Common::Duration::zero();
  const Common::Duration WaitTime =
      HasIdleInterval ? std::min<Common::Duration>(IdleInterval, MaxSignalWait)
                      : MaxSignalWait;
  timespec Timeout = {};
  Timeout.tv_nsec = WaitTime.count();
  Common::SteadyTime LastWake = std::chrono::steady_clock::now();
  Common::SteadyTime LastCallback = LastWake;
  for (;;) {
    const int Signal = sigtimedwait(&Signals, nullptr, &Timeout);
    const int Error = errno;
    const Common::SteadyTime Now = std::chrono::steady_clock::now();
    const Common::SteadyTime PreviousWake = std::exchange(LastWake, Now);
    if (Signal == SIGHUP) {
      LastCallback = Now;
      OnReload();
    } else if (Signal > 0) {
      // A delay within the time of a wait cannot be told from no delay.
      SignalledAt = Now - PreviousWake > WaitTime ? PreviousWake : Now;
      spdlog::info(
          "event=stopping signal={} delay-ms={}", Signal,
          std::chrono::duration_cast<Common::Millis>(Now - *SignalledAt)
              .count());
      return;
    } else if (Error == EAGAIN) {
      if (HasIdleInterval && Now - LastCallback >= IdleInterval) {
        LastCallback = Now;
        OnIdle();
      }
    } else if (Error != EINTR) {
      Common::throwSystemError("waiting for a stop signal");
    }
  }
}

void Host::stop(Common::Duration Timeout) {
  const Common::SteadyTime Began = std::chrono::steady_clock::now();
  const Common::SteadyTime Deadline =
      std::max(Began, SignalledAt.value_or(Began) + Timeout);
  for (std::size_t Index = StartedCount; Index-- > 0;) {
    const ServiceEntry &Entry = *ServiceEntries[Index];
    if (Entry.PrepareStop)
      Entry.Owner->runAndWait([&] { Entry.PrepareStop(Deadline); });
  }
  for (std::size_t Index = StartedCount; Index-- > 0;) {
    ServiceEntry &Entry = *ServiceEntries[Index];
    auto Drained = std::make_shared<std::promise<void>>();
    std::future<void> Finished = Drained->get_future();
    Entry.Owner->post([&Entry, Drained] {
      Entry.Drain([Drained] { Drained->set_value(); });
    });
    const bool IsDrained =
        Finished.wait_until(Deadline) == std::future_status::ready;
    const auto SinceSignal = std::chrono::duration_cast<Common::Millis>(
        std::chrono::steady_clock::now() - Began);
    if (!IsDrained)
      spdlog::warn("event=drain-timed-out service={} after-ms={}", Entry.Name,
                   SinceSignal.count());
    else
      spdlog::info("event=drained service={} after-ms={}", Entry.Name,
                   SinceSignal.count());
  }
  stopStarted();
}

void Host::stopStarted() {
  while (StartedCount > 0) {
    const ServiceEntry &Entry = *ServiceEntries[--StartedCount];
    Entry.Owner->runAndWait(Entry.Stop);
  }
  for (const auto &[Name, Worker] : Tasks) {
    Worker->requestStop();
    Worker->join();
  }
}

HostBuilder::HostBuilder() : Result(new Host()) {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // Makes a write to a closed connection fail with EPIPE instead of raising a
  // signal that ends the process.
  std::signal(SIGPIPE, SIG_IGN);
}

HostBuilder::~HostBuilder() = default;

HostBuilder &HostBuilder::task(const std::string &Name) {
  Result->Tasks.emplace(Name, std::make_unique<Task>(Name));
  return *this;
}

Task &HostBuilder::findTask(const std::string &Name) {
  const auto Found = Result->Tasks.find(Name);
  if (Found == Result->Tasks.end())
    throw Common::Error(Common::ResultCode::ServiceNotFound,
                        "unknown task " + Name);
  return *Found->second;
}

Registry &HostBuilder::registry() { return Result->services(); }

void HostBuilder::addEntry(const std::string &Name, Task &Owner,
                           const std::vector<std::string> &Dependencies,
                           ServiceHooks Hooks) {
  auto NewEntry = std::make_unique<Host::ServiceEntry>();
  NewEntry->Name = Name;
  NewEntry->Owner = &Owner;
  NewEntry->Dependencies = Dependencies;
  NewEntry->Start = std::move(Hooks.Start);
  NewEntry->PrepareStop = std::move(Hooks.PrepareStop);
  NewEntry->Drain = std::move(Hooks.Drain);
  NewEntry->Stop = std::move(Hooks.Stop);
  Result->ServiceEntries.push_back(std::move(NewEntry));
}

Host HostBuilder::build() {
  std::vector<std::unique_ptr<Host::ServiceEntry>> Ordered;
  std::set<std::string> Resolved;
  while (!Result->ServiceEntries.empty()) {
    const auto Ready = std::find_if(
        Result->ServiceEntries.begin(), Result->ServiceEntries.end(),
        [&](const auto &Entry) {
          return std::all_of(Entry->Dependencies.begin(),
                             Entry->Dependencies.end(),
                             [&](const std::string &Dependency) {
                               return Resolved.contains(Dependency);
                             });
        });
    if (Ready == Result->ServiceEntries.end())
      throw Common::Error(Common::ResultCode::ServiceNotFound,
                          "unknown or circular dependency of " +
                              Result->ServiceEntries.front()->Name);
    Resolved.insert((*Ready)->Name);
    Ordered.push_back(std::move(*Ready));
    Result->ServiceEntries.erase(Ready);
  }
  Result->ServiceEntries = std::move(Ordered);
  return std::move(*Result);
}

} // namespace Kernel
