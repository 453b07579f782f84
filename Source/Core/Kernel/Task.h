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

// What a socket is ready for, or what its owner waits for.
struct IoReadiness {
  bool Read = false;
  bool Write = false;
};

class SocketWatch;
class Timers;

// A thread that owns sockets, timers and mail and waits for all three in one
// place. Services live on a task and run only on its thread.
class Task {
public:
  explicit Task(std::string Name);
  ~Task();

  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  const std::string &name() const;

  // Runs the loop on a thread of its own.
  void spawn();
  // Runs the loop on the calling thread until requestStop.
  void run();

  // The next calls may come from any thread.
  void post(Job Work);
  // Runs Work on the task and returns when it has run.
  void runAndWait(const Job &Work);
  void requestStop();
  void join();

  // The calls below are for the task's own thread alone.
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

// The timers of one owner. They end with it, so that none can reach an owner
// that is gone. For the task's own thread alone.
class Timers {
public:
  explicit Timers(Task &Home) : Home(Home) {}
  ~Timers();
  Timers(const Timers &) = delete;
  Timers &operator=(const Timers &) = delete;

  TimerId after(Common::Duration Delay, Job Work);
  // A timer that has fired or was cancelled is ignored.
  void cancel(TimerId Timer);

private:
  Task &Home;
  std::unordered_map<TimerId, TimerId> Pending;
  TimerId NextKey = 1;
};

// Watches one socket for as long as it lives.
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
