#pragma once

#include <functional>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Recovery/RewriteSchedule.h"

namespace Node {

// Learns from every service that talks to the platform's store, and from other
// nodes, when the store has come back from an older copy. Tells the services
// that keep positions in it at once, and those that have entries there after a
// delay that differs from node to node.
template <Kernel::MessageSink<StoreEraChanged> Config,
          Kernel::MessageSink<DirectoryMessage> Directory,
          Kernel::MessageSink<EntriesLost> Announcements,
          Kernel::MessageSink<StoreEraChanged> Rollouts>
class RecoveryService {
public:
  using Message = RecoveryMessage;

  struct Sinks {
    Config ToConfig;
    Directory ToDirectory;
    Announcements ToAnnouncements;
    // Closed if services are not moved between versions.
    Rollouts ToRollouts;
  };

  RecoveryService(Kernel::Context Context, std::function<Sinks()> FindSinks,
                  std::uint64_t Seed)
      : Task(Context.ServiceTask), FindSinks(std::move(FindSinks)),
        Schedule(Seed) {}

  void start() { Targets = FindSinks(); }
  void handle(const Message &Content) {
    std::visit([this](const auto &Event) { this->onMessage(Event); }, Content);
  }
  void stop() {}

private:
  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void onMessage(const StoreEraSeen &Event) {
    const auto Before = Schedule.current();
    const bool WasDue = Schedule.dueAt().has_value();
    const Recovery::EraOrder Order = Schedule.observe(Event.Era, now());
    if (Order == Recovery::EraOrder::Same)
      return;
    // Whoever stated an earlier era is told as well.
    const StoreEraChanged Changed{*Schedule.current()};
    Targets.ToConfig.post(Changed);
    Targets.ToDirectory.post(Changed);
    Targets.ToRollouts.post(Changed);
    if (Order != Recovery::EraOrder::Later)
      return;
    spdlog::warn(
        "event=store-restored era={} before={} source=\"{}\" "
        "entries-again-in-ms={}",
        Event.Era, *Before, Event.Source,
        std::chrono::duration_cast<Common::Millis>(*Schedule.dueAt() - now())
            .count());
    if (!WasDue)
      awaitRewrite();
  }

  void awaitRewrite() {
    Clock.after(*Schedule.dueAt() - now(), [this] { rewrite(); });
  }

  void rewrite() {
    if (!Schedule.takeDue(now())) {
      awaitRewrite();
      return;
    }
    Targets.ToDirectory.post(EntriesLost{});
    Targets.ToAnnouncements.post(EntriesLost{});
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Recovery::RewriteSchedule Schedule;
};

} // namespace Node
