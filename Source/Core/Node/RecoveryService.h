#pragma once

#include <functional>

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Recovery/EraTracker.h"

namespace Node {

// Learns from every service that talks to the platform's store, and from other
// nodes, when the store has come back from an older copy. Tells the services
// that keep positions in it.
template <Kernel::MessageSink<StoreEraChanged> Config,
          Kernel::MessageSink<StoreEraChanged> Directory>
class RecoveryService {
public:
  using Message = RecoveryMessage;

  struct Sinks {
    Config ToConfig;
    Directory ToDirectory;
  };

  RecoveryService(Kernel::Context, std::function<Sinks()> FindSinks)
      : FindSinks(std::move(FindSinks)) {}

  void start() { Targets = FindSinks(); }
  void handle(const Message &Content) {
    std::visit([this](const auto &Event) { this->onMessage(Event); }, Content);
  }
  void stop() {}

private:
  void onMessage(const StoreEraSeen &Event) {
    const auto Before = Eras.current();
    const Recovery::EraOrder Order = Eras.observe(Event.Era);
    if (Order == Recovery::EraOrder::Same)
      return;
    // Whoever stated an earlier era is told as well.
    const StoreEraChanged Changed{*Eras.current()};
    Targets.ToConfig.post(Changed);
    Targets.ToDirectory.post(Changed);
    if (Order == Recovery::EraOrder::Later)
      spdlog::warn("event=store-restored era={} before={} source=\"{}\"",
                   Event.Era, *Before, Event.Source);
  }

  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Recovery::EraTracker Eras;
};

} // namespace Node
