#include "Kernel/Host.h"

#include <cerrno>
#include <csignal>
#include <future>
#include <set>

#include <spdlog/spdlog.h>

#include "Common/Error.h"

namespace Kernel {

namespace {

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

struct Host::Unit {
  std::string Name;
  Task *Home;
  std::vector<std::string> Needs;
  std::function<void()> Start;
  std::function<void(std::function<void()>)> Drain;
  std::function<void()> Stop;
};

Host::Host() : Services(std::make_unique<Registry>()) {}
Host::Host(Host &&) noexcept = default;

Host::~Host() { stopStarted(); }

Registry &Host::services() { return *Services; }

void Host::start() {
  for (const auto &[Name, Each] : Tasks)
    Each->spawn();
  for (const auto &Each : Units) {
    // Counted first: a service that failed half-way is stopped as well.
    ++StartedUnits;
    try {
      Each->Home->runAndWait(Each->Start);
    } catch (...) {
      stopStarted();
      throw;
    }
    spdlog::debug("service {} started on task {}", Each->Name,
                  Each->Home->name());
  }
}

void Host::waitForStopSignal(const std::function<void()> &OnReload,
                             const std::function<void()> &OnIdle,
                             Common::Duration IdleInterval) {
  const sigset_t Signals = handledSignals();
  const auto Whole =
      std::chrono::duration_cast<std::chrono::seconds>(IdleInterval);
  timespec Limit = {};
  Limit.tv_sec = Whole.count();
  Limit.tv_nsec = (IdleInterval - Whole).count();
  const bool HasLimit = IdleInterval > Common::Duration::zero();
  for (;;) {
    const int Received =
        sigtimedwait(&Signals, nullptr, HasLimit ? &Limit : nullptr);
    if (Received == SIGHUP) {
      OnReload();
    } else if (Received > 0) {
      spdlog::info("event=stopping signal={}", Received);
      return;
    } else if (errno == EAGAIN) {
      OnIdle();
    } else if (errno != EINTR) {
      Common::throwSystemError("waiting for a signal");
    }
  }
}

void Host::stop(Common::Duration Limit) {
  const Common::SteadyTime End = std::chrono::steady_clock::now() + Limit;
  for (std::size_t Index = StartedUnits; Index-- > 0;) {
    Unit &Each = *Units[Index];
    auto Drained = std::make_shared<std::promise<void>>();
    std::future<void> Finished = Drained->get_future();
    Each.Home->post(
        [&Each, Drained] { Each.Drain([Drained] { Drained->set_value(); }); });
    if (Finished.wait_until(End) != std::future_status::ready)
      spdlog::warn("service {} did not drain in time", Each.Name);
  }
  stopStarted();
}

void Host::stopStarted() {
  while (StartedUnits > 0) {
    const Unit &Each = *Units[--StartedUnits];
    Each.Home->runAndWait(Each.Stop);
  }
  for (const auto &[Name, Each] : Tasks) {
    Each->requestStop();
    Each->join();
  }
}

HostBuilder::HostBuilder() : Result(new Host()) {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that went away shows as a failed write, not as a signal.
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
    throw Common::Error(Common::ResultCode::ServiceNotFound, "task " + Name);
  return *Found->second;
}

Registry &HostBuilder::registry() { return Result->services(); }

void HostBuilder::addUnit(const std::string &Name, Task &Home,
                          const std::vector<std::string> &Needs, Life Steps) {
  auto Added = std::make_unique<Host::Unit>();
  Added->Name = Name;
  Added->Home = &Home;
  Added->Needs = Needs;
  Added->Start = std::move(Steps.Start);
  Added->Drain = std::move(Steps.Drain);
  Added->Stop = std::move(Steps.Stop);
  Result->Units.push_back(std::move(Added));
}

Host HostBuilder::build() {
  std::vector<std::unique_ptr<Host::Unit>> Ordered;
  std::set<std::string> Placed;
  while (!Result->Units.empty()) {
    const auto Ready = std::find_if(
        Result->Units.begin(), Result->Units.end(), [&](const auto &Each) {
          return std::all_of(
              Each->Needs.begin(), Each->Needs.end(),
              [&](const std::string &Need) { return Placed.contains(Need); });
        });
    if (Ready == Result->Units.end())
      throw Common::Error(Common::ResultCode::ServiceNotFound,
                          "a need of " + Result->Units.front()->Name);
    Placed.insert((*Ready)->Name);
    Ordered.push_back(std::move(*Ready));
    Result->Units.erase(Ready);
  }
  Result->Units = std::move(Ordered);
  return std::move(*Result);
}

} // namespace Kernel
