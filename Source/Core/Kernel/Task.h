#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>

#include "Common/Time.h"

namespace Kernel {

using Job = std::function<void()>;
using TimerId = std::uint64_t;

// The events that a socket is ready for or that its owner is interested in.
struct IoReadiness {
  bool Read = false;
  bool Write = false;
};

class SocketWatch;
class Timers;

// A thread with an event loop that dispatches socket events, timers and posted
// jobs. A service runs only on the thread of its task.
class Task {
public:
  explicit Task(std::string Name);
  ~Task();

  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  const std::string &name() const;

  // Runs the event loop on a new thread.
  void spawn();
  // Runs the event loop on the calling thread until requestStop is called.
  void run();

  // post, runAndWait, requestStop and join may be called from any thread.
  void post(Job Work);
  // Runs Work on the task and blocks until it returns. Rethrows its exception.
  void runAndWait(const Job &Work);
  void requestStop();
  void join();

  // Calls OnReady whenever Fd is ready, until the returned object is destroyed.
  // Only for the thread of the task.
  [[nodiscard]] std::unique_ptr<SocketWatch>
  watch(int Fd, IoReadiness Interest, std::function<void(IoReadiness)> OnReady);

private:
  friend class SocketWatch;
  friend class Timers;
  TimerId after(Common::Duration Delay, Job Work);
  void cancel(TimerId Timer);

  struct Impl;
  std::unique_ptr<Impl> Self;
  std::thread Thread;
};

// The timers of one owner on a task. Destroying this object cancels them, so
// that no timer fires after its owner is destroyed. Only for the thread of the
// task.
class Timers {
public:
  explicit Timers(Task &Owner) : Owner(Owner) {}
  ~Timers();
  Timers(const Timers &) = delete;
  Timers &operator=(const Timers &) = delete;

  TimerId after(Common::Duration Delay, Job Work);
  // Does nothing if the timer has fired or is already cancelled.
  void cancel(TimerId Timer);

private:
  Task &Owner;
  std::unordered_map<TimerId, TimerId> Pending;
  TimerId NextKey = 1;
};

// Watches a socket for events until it is destroyed. Only for the thread of the
// task.
class SocketWatch {
public:
  ~SocketWatch();
  SocketWatch(const SocketWatch &) = delete;
  SocketWatch &operator=(const SocketWatch &) = delete;

  void setInterest(IoReadiness Interest);

private:
  friend class Task;
  struct Handler;
  SocketWatch(Task &Owner, std::unique_ptr<Handler> Watched);

  Task &Owner;
  std::unique_ptr<Handler> Watched;
};

} // namespace Kernel
