#pragma once

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Registry.h"
#include "Kernel/Task.h"

namespace Kernel {

// What the kernel passes to the factory of a service.
struct Context {
  Task &ServiceTask;
  Registry &Services;
};

// A service owns its state and communicates only through messages. All its
// functions run on the thread of its task.
template <class S>
concept Service = requires(S &Instance, typename S::Message Content) {
  Instance.start();
  Instance.handle(std::move(Content));
  Instance.stop();
};

// A service that finishes outstanding work before it stops. It calls Done when
// it has drained.
template <class S>
concept DrainingService = requires(S &Instance, std::function<void()> Done) {
  Instance.drain(std::move(Done));
};

// A service that has to know when the host stops, whether or not the services
// have drained by then. It is told before the first service drains.
template <class S>
concept StopPreparingService = requires(S &Instance,
                                        Common::SteadyTime Deadline) {
  Instance.prepareStop(Deadline);
};

// Runs the tasks and their services. Services start after their dependencies
// and are drained and stopped in reverse order.
class Host {
public:
  Host(Host &&) noexcept;
  ~Host();

  // Starts all tasks and services. If a service fails to start, stops the ones
  // already started and rethrows the exception.
  void start();
  // Blocks until SIGTERM or SIGINT. Calls OnReload for each SIGHUP. A nonzero
  // IdleInterval makes it call OnIdle whenever no signal arrives for that long.
  void waitForStopSignal(
      const std::function<void()> &OnReload = [] {},
      const std::function<void()> &OnIdle = [] {},
      Common::Duration IdleInterval = Common::Duration::zero());
  // Tells the services when the host stops, drains all of them within Timeout
  // in total, then stops them. Timeout counts from when the stop signal was
  // sent, as far as that is known.
  void stop(Common::Duration Timeout);

  Registry &services();
  // The names of the services in the order in which they start.
  std::vector<std::string> startOrder() const;

private:
  friend class HostBuilder;
  struct ServiceEntry;
  Host();

  void stopStarted();

  std::unique_ptr<Registry> Services;
  std::map<std::string, std::unique_ptr<Task>> Tasks;
  std::vector<std::unique_ptr<ServiceEntry>> ServiceEntries;
  std::size_t StartedCount = 0;
  // The earliest time at which the stop signal may have been sent.
  std::optional<Common::SteadyTime> SignalledAt;
};

// Declares the tasks and services of a Host.
class HostBuilder {
public:
  static constexpr std::size_t DefaultMailboxCapacity = 65536;

  // Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and the threads it
  // starts later, so that Host::waitForStopSignal can receive them.
  HostBuilder();
  ~HostBuilder();

  HostBuilder &task(const std::string &Name);

  // Adds a service to a task declared before. Dependencies are the names of the
  // services that start first. Factory runs on the task of the service.
  template <class S>
  requires Service<S> HostBuilder &
  service(const std::string &Name, const std::string &TaskName,
          const std::vector<std::string> &Dependencies,
          std::function<std::unique_ptr<S>(Context)> Factory,
          std::size_t Capacity = DefaultMailboxCapacity);

  // Throws ServiceNotFound for an unknown or circular dependency.
  Host build();

private:
  struct ServiceHooks {
    std::function<void()> Start;
    std::function<void(Common::SteadyTime)> PrepareStop;
    std::function<void(std::function<void()>)> Drain;
    std::function<void()> Stop;
  };

  Task &findTask(const std::string &Name);
  Registry &registry();
  void addEntry(const std::string &Name, Task &Owner,
                const std::vector<std::string> &Dependencies,
                ServiceHooks Hooks);

  std::unique_ptr<Host> Result;
};

template <class S>
requires Service<S> HostBuilder &
HostBuilder::service(const std::string &Name, const std::string &TaskName,
                     const std::vector<std::string> &Dependencies,
                     std::function<std::unique_ptr<S>(Context)> Factory,
                     std::size_t Capacity) {
  using Message = typename S::Message;
  Task &Owner = findTask(TaskName);
  auto Inbox = std::make_shared<Mailbox<Message>>(Owner, Capacity);
  auto Instance = std::make_shared<std::unique_ptr<S>>();
  registry().add<Message>(Name, Inbox);

  ServiceHooks Hooks;
  Hooks.Start = [=, &Owner, &Services = registry()] {
    *Instance = Factory(Context{Owner, Services});
    (*Instance)->start();
    // Schedules the delivery of messages that were posted before the start.
    std::size_t QueuedCount = Inbox->open([Instance](Message Content) {
      (*Instance)->handle(std::move(Content));
    });
    for (; QueuedCount > 0; --QueuedCount)
      Owner.post([Inbox] { Inbox->deliverOne(); });
  };
  if constexpr (StopPreparingService<S>)
    Hooks.PrepareStop = [Instance](Common::SteadyTime Deadline) {
      (*Instance)->prepareStop(Deadline);
    };
  Hooks.Drain = [Instance](std::function<void()> Done) {
    if constexpr (DrainingService<S>)
      (*Instance)->drain(std::move(Done));
    else
      Done();
  };
  Hooks.Stop = [Instance, Inbox] {
    if (*Instance)
      (*Instance)->stop();
    Inbox->close();
    Instance->reset();
  };
  addEntry(Name, Owner, Dependencies, std::move(Hooks));
  return *this;
}

} // namespace Kernel
