#pragma once

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Kernel/Registry.h"
#include "Kernel/Task.h"

namespace Kernel {

// What a service gets from the kernel when it is built.
struct Context {
  Task &Home;
  Registry &Services;
};

// A service owns its state and is reached by messages alone. All its
// functions run on the thread of its task.
template <class S>
concept Service = requires(S &Instance, typename S::Message Content) {
  Instance.start();
  Instance.handle(std::move(Content));
  Instance.stop();
};

// A service that needs time to finish its work before it stops.
template <class S>
concept DrainingService = requires(S &Instance, std::function<void()> Done) {
  Instance.drain(std::move(Done));
};

// Runs the tasks and the services on them: starts services after those they
// need, and drains and stops them in the reverse order.
class Host {
public:
  Host(Host &&) noexcept;
  ~Host();

  // Starts everything. When a service fails to start, those that had started
  // are stopped and the failure is thrown on.
  void start();
  // Waits for SIGTERM or SIGINT. Meanwhile OnReload is called at each SIGHUP,
  // and OnIdle every IdleInterval if that is not zero.
  void waitForStopSignal(
      const std::function<void()> &OnReload = [] {},
      const std::function<void()> &OnIdle = [] {},
      Common::Duration IdleInterval = Common::Duration::zero());
  // Drains each service, for at most Limit in all, then stops them.
  void stop(Common::Duration Limit);

  Registry &services();

private:
  friend class HostBuilder;
  struct Unit;
  Host();

  void stopStarted();

  std::unique_ptr<Registry> Services;
  std::map<std::string, std::unique_ptr<Task>> Tasks;
  std::vector<std::unique_ptr<Unit>> Units;
  std::size_t StartedUnits = 0;
};

class HostBuilder {
public:
  static constexpr std::size_t DefaultMailboxCapacity = 65536;

  // Blocks the stop signals in this thread and in those it starts, so that
  // they arrive as events.
  HostBuilder();
  ~HostBuilder();

  HostBuilder &task(const std::string &Name);

  // Factory is called on the service's task with its Context.
  template <class S>
  requires Service<S> HostBuilder &
  service(const std::string &Name, const std::string &TaskName,
          const std::vector<std::string> &Needs,
          std::function<std::unique_ptr<S>(Context)> Factory,
          std::size_t Capacity = DefaultMailboxCapacity);

  // Throws ServiceNotFound for an unknown need or a circle of needs.
  Host build();

private:
  struct Life {
    std::function<void()> Start;
    std::function<void(std::function<void()>)> Drain;
    std::function<void()> Stop;
  };

  Task &findTask(const std::string &Name);
  Registry &registry();
  void addUnit(const std::string &Name, Task &Home,
               const std::vector<std::string> &Needs, Life Steps);

  std::unique_ptr<Host> Result;
};

template <class S>
requires Service<S> HostBuilder &
HostBuilder::service(const std::string &Name, const std::string &TaskName,
                     const std::vector<std::string> &Needs,
                     std::function<std::unique_ptr<S>(Context)> Factory,
                     std::size_t Capacity) {
  using Message = typename S::Message;
  Task &Home = findTask(TaskName);
  auto Box = std::make_shared<Mailbox<Message>>(Home, Capacity);
  auto Instance = std::make_shared<std::unique_ptr<S>>();
  registry().add<Message>(Name, Box);

  Life Steps;
  Steps.Start = [=, &Home, &Services = registry()] {
    *Instance = Factory(Context{Home, Services});
    (*Instance)->start();
    std::size_t Early = Box->open([Instance](Message Content) {
      (*Instance)->handle(std::move(Content));
    });
    for (; Early > 0; --Early)
      Home.post([Box] { Box->deliverOne(); });
  };
  Steps.Drain = [Instance](std::function<void()> Done) {
    if constexpr (DrainingService<S>)
      (*Instance)->drain(std::move(Done));
    else
      Done();
  };
  Steps.Stop = [Instance, Box] {
    if (*Instance)
      (*Instance)->stop();
    Box->close();
    Instance->reset();
  };
  addUnit(Name, Home, Needs, std::move(Steps));
  return *this;
}

} // namespace Kernel
