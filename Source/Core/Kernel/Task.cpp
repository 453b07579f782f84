#include "Kernel/Task.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <future>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "Common/Error.h"
#include "Common/UniqueFd.h"

namespace Kernel {

namespace {

using Common::Duration;
using Common::SteadyTime;

// Upper bound of the descriptors that a task can watch. RLIMIT_NOFILE of the
// process may lower it.
constexpr rlim_t MaxWatchedDescriptors = 16384;

std::size_t descriptorLimit() {
  rlimit Limits = {};
  if (::getrlimit(RLIMIT_NOFILE, &Limits) < 0)
    Common::throwSystemError("reading RLIMIT_NOFILE");
  return static_cast<std::size_t>(
      std::min(Limits.rlim_cur, MaxWatchedDescriptors));
}

// The reactor needs no notification pipe, because a task has its own eventfd
// for wake-ups. It needs no signal masks either, because signals are blocked in
// all threads; masking them would cost two system calls per change of a
// handler.
ACE_Reactor_Impl *makeReactor() {
  constexpr bool Restart = true;
  constexpr int WithoutNotifyPipe = 1;
  constexpr int WithoutSignalMasks = 0;
  auto Result = std::make_unique<ACE_Dev_Poll_Reactor>(
      descriptorLimit(), Restart, nullptr, nullptr, WithoutNotifyPipe, nullptr,
      WithoutSignalMasks);
  if (!Result->initialized())
    Common::throwSystemError("initializing the reactor of a task");
  return Result.release();
}

ACE_Reactor_Mask toMask(IoReadiness Interest) {
  ACE_Reactor_Mask Mask = ACE_Event_Handler::NULL_MASK;
  if (Interest.Read)
    Mask |= ACE_Event_Handler::READ_MASK;
  if (Interest.Write)
    Mask |= ACE_Event_Handler::WRITE_MASK;
  return Mask;
}

bool removeHandler(ACE_Reactor &Reactor, int Fd) {
  return Reactor.remove_handler(Fd, ACE_Event_Handler::ALL_EVENTS_MASK |
                                        ACE_Event_Handler::DONT_CALL) == 0;
}

void drainCounter(int Fd) {
  std::uint64_t Count = 0;
  while (::read(Fd, &Count, sizeof Count) > 0) {
  }
}

} // namespace

struct SocketWatch::Handler : ACE_Event_Handler {
  int Fd = -1;
  std::function<void(IoReadiness)> OnReady;
  // Whether the reactor has this handler. It cannot remove a handler without an
  // interest, so it has only those with one.
  bool IsRegistered = false;
  bool HasEnded = false;

  ACE_HANDLE get_handle() const override { return Fd; }
  int handle_input(ACE_HANDLE Handle) override {
    (void)Handle;
    return report({.Read = true});
  }
  int handle_output(ACE_HANDLE Handle) override {
    (void)Handle;
    return report({.Write = true});
  }

private:
  int report(IoReadiness Ready) const {
    if (!HasEnded)
      OnReady(Ready);
    return 0;
  }
};

struct Task::Impl {
  explicit Impl(std::string TaskName)
      : Name(std::move(TaskName)), Reactor(makeReactor(), true),
        WakeFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        TimerFd(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (!WakeFd.isOpen() || !TimerFd.isOpen())
      Common::throwSystemError("creating the eventfd and timerfd of a task");
  }

  void setInterest(SocketWatch::Handler &Watched, IoReadiness Interest);
  void endWatch(std::unique_ptr<SocketWatch::Handler> Watched);
  void releaseStranded(int Fd);
  void armTimer();
  void runDueTimers();
  bool runJobs();
  void runGuarded(const Job &Work);

  std::string Name;
  // Handlers whose watch has ended but which the reactor failed to remove,
  // because their descriptor was closed. Declared before the reactor, which
  // refers to them.
  std::unordered_map<int, std::unique_ptr<SocketWatch::Handler>> Stranded;
  ACE_Reactor Reactor;
  Common::UniqueFd WakeFd;
  // Timers use a timerfd because the timeout of epoll_wait has a resolution of
  // one millisecond: rounding it down makes the loop spin, and rounding it up
  // delays calls.
  Common::UniqueFd TimerFd;

  std::mutex Lock;
  std::vector<Job> Jobs;
  bool WakePending = false;
  std::atomic<std::thread::id> LoopThread;
  std::atomic<bool> Stopping = false;

  std::map<std::pair<SteadyTime, TimerId>, Job> Timers;
  std::unordered_map<TimerId, SteadyTime> DueTimes;
  TimerId NextTimer = 1;
  SteadyTime ArmedFor = SteadyTime::max();
  // Handlers whose watch has ended. They are destroyed after handle_events
  // returns, because the reactor may still be running one of them.
  std::vector<std::unique_ptr<SocketWatch::Handler>> RetiredHandlers;
};

void Task::Impl::setInterest(SocketWatch::Handler &Watched,
                             IoReadiness Interest) {
  const ACE_Reactor_Mask Mask = toMask(Interest);
  if (Mask == ACE_Event_Handler::NULL_MASK) {
    if (Watched.IsRegistered)
      Watched.IsRegistered = !removeHandler(Reactor, Watched.Fd);
  } else if (Watched.IsRegistered) {
    Reactor.mask_ops(Watched.Fd, Mask, ACE_Reactor::SET_MASK);
  } else {
    if (Reactor.register_handler(Watched.Fd, &Watched, Mask) < 0)
      Common::throwSystemError("registering a socket with the reactor");
    Watched.IsRegistered = true;
  }
}

void Task::Impl::endWatch(std::unique_ptr<SocketWatch::Handler> Watched) {
  Watched->HasEnded = true;
  if (!Watched->IsRegistered || removeHandler(Reactor, Watched->Fd)) {
    RetiredHandlers.push_back(std::move(Watched));
    return;
  }
  spdlog::error("task {}: the reactor keeps the handler of descriptor {}: {}",
                Name, Watched->Fd, std::strerror(errno));
  const int Fd = Watched->Fd;
  Stranded[Fd] = std::move(Watched);
}

// Removes the handler of an earlier descriptor with the same number, which is
// possible again now that the number is in use.
void Task::Impl::releaseStranded(int Fd) {
  const auto Found = Stranded.find(Fd);
  if (Found == Stranded.end())
    return;
  Reactor.mask_ops(Fd, ACE_Event_Handler::READ_MASK, ACE_Reactor::SET_MASK);
  if (!removeHandler(Reactor, Fd))
    Common::throwSystemError("removing the handler of a closed socket");
  RetiredHandlers.push_back(std::move(Found->second));
  Stranded.erase(Found);
}

void Task::Impl::armTimer() {
  const SteadyTime Due =
      Timers.empty() ? SteadyTime::max() : Timers.begin()->first.first;
  if (Due == ArmedFor)
    return;
  ArmedFor = Due;
  itimerspec Spec = {};
  if (Due != SteadyTime::max()) {
    const auto SinceEpoch = Due.time_since_epoch();
    const auto Seconds =
        std::chrono::duration_cast<std::chrono::seconds>(SinceEpoch);
    Spec.it_value.tv_sec = Seconds.count();
    // timerfd_settime with a zero time would disarm the timer.
    Spec.it_value.tv_nsec =
        std::max<std::int64_t>((SinceEpoch - Seconds).count(), 1);
  }
  ::timerfd_settime(TimerFd.value(), TFD_TIMER_ABSTIME, &Spec, nullptr);
}

void Task::Impl::runGuarded(const Job &Work) {
  try {
    Work();
  } catch (const std::exception &Failure) {
    spdlog::error("task {}: unhandled exception: {}", Name, Failure.what());
  }
}

void Task::Impl::runDueTimers() {
  const SteadyTime Now = std::chrono::steady_clock::now();
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    auto Node = Timers.extract(Timers.begin());
    DueTimes.erase(Node.key().second);
    runGuarded(Node.mapped());
  }
}

bool Task::Impl::runJobs() {
  std::vector<Job> Batch;
  {
    const std::scoped_lock Guard(Lock);
    Batch.swap(Jobs);
  }
  for (const Job &Work : Batch)
    runGuarded(Work);
  const std::scoped_lock Guard(Lock);
  return !Jobs.empty();
}

Task::Task(std::string Name) : Self(std::make_unique<Impl>(std::move(Name))) {}

Task::~Task() {
  requestStop();
  join();
}

const std::string &Task::name() const { return Self->Name; }

void Task::spawn() {
  Thread = std::thread([this] { run(); });
}

void Task::run() {
  Impl &State = *Self;
  State.LoopThread = std::this_thread::get_id();
  State.Reactor.owner(ACE_Thread::self());
  const auto WakeWatch =
      watch(State.WakeFd.value(), {.Read = true}, [&State](IoReadiness) {
        drainCounter(State.WakeFd.value());
        const std::scoped_lock Guard(State.Lock);
        State.WakePending = false;
      });
  const auto TimerWatch =
      watch(State.TimerFd.value(), {.Read = true}, [&State](IoReadiness) {
        drainCounter(State.TimerFd.value());
        State.ArmedFor = SteadyTime::max();
      });

  while (!State.Stopping) {
    State.runDueTimers();
    const bool MoreJobs = State.runJobs();
    if (State.Stopping)
      break;
    if (MoreJobs) {
      ACE_Time_Value Immediately = ACE_Time_Value::zero;
      State.Reactor.handle_events(Immediately);
    } else {
      State.armTimer();
      State.Reactor.handle_events();
    }
    State.RetiredHandlers.clear();
  }
  while (State.runJobs()) {
  }
}

void Task::post(Job Work) {
  bool MustWake = false;
  {
    const std::scoped_lock Guard(Self->Lock);
    Self->Jobs.push_back(std::move(Work));
    MustWake = !Self->WakePending &&
               Self->LoopThread.load() != std::this_thread::get_id();
    if (MustWake)
      Self->WakePending = true;
  }
  if (MustWake) {
    const std::uint64_t One = 1;
    // A write that fails because the counter is full can be ignored: a wake-up
    // is already pending.
    [[maybe_unused]] const auto Written =
        ::write(Self->WakeFd.value(), &One, sizeof One);
  }
}

void Task::runAndWait(const Job &Work) {
  std::promise<void> Finished;
  std::exception_ptr Failure;
  post([&] {
    try {
      Work();
    } catch (...) {
      Failure = std::current_exception();
    }
    Finished.set_value();
  });
  Finished.get_future().wait();
  if (Failure)
    std::rethrow_exception(Failure);
}

void Task::requestStop() {
  post([this] { Self->Stopping = true; });
}

void Task::join() {
  if (Thread.joinable())
    Thread.join();
}

TimerId Task::after(Duration Delay, Job Work) {
  const SteadyTime Due = std::chrono::steady_clock::now() + Delay;
  const TimerId Id = Self->NextTimer++;
  Self->Timers.emplace(std::pair(Due, Id), std::move(Work));
  Self->DueTimes.emplace(Id, Due);
  return Id;
}

void Task::cancel(TimerId Timer) {
  const auto Found = Self->DueTimes.find(Timer);
  if (Found == Self->DueTimes.end())
    return;
  Self->Timers.erase(std::pair(Found->second, Timer));
  Self->DueTimes.erase(Found);
}

Timers::~Timers() {
  for (const auto &[Key, Id] : Pending)
    Owner.cancel(Id);
}

TimerId Timers::after(Duration Delay, Job Work) {
  const TimerId Key = NextKey++;
  Pending[Key] = Owner.after(Delay, [this, Key, Callback = std::move(Work)] {
    Pending.erase(Key);
    Callback();
  });
  return Key;
}

void Timers::cancel(TimerId Timer) {
  const auto Node = Pending.extract(Timer);
  if (!Node.empty())
    Owner.cancel(Node.mapped());
}

std::unique_ptr<SocketWatch>
Task::watch(int Fd, IoReadiness Interest,
            std::function<void(IoReadiness)> OnReady) {
  auto Watched = std::make_unique<SocketWatch::Handler>();
  Watched->Fd = Fd;
  Watched->OnReady = [this, Callback = std::move(OnReady)](IoReadiness Ready) {
    Self->runGuarded([&] { Callback(Ready); });
  };
  Self->releaseStranded(Fd);
  Self->setInterest(*Watched, Interest);
  return std::unique_ptr<SocketWatch>(
      new SocketWatch(*this, std::move(Watched)));
}

SocketWatch::SocketWatch(Task &Owner, std::unique_ptr<Handler> Watched)
    : Owner(Owner), Watched(std::move(Watched)) {}

SocketWatch::~SocketWatch() { Owner.Self->endWatch(std::move(Watched)); }

void SocketWatch::setInterest(IoReadiness Interest) {
  Owner.Self->setInterest(*Watched, Interest);
}

} // namespace Kernel
