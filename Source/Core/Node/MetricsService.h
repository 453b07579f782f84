#pragma once

#include <functional>
#include <utility>
#include <variant>

#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Report/CallMetrics.h"

namespace Node {

// Keeps the figures of the calls that this node answered. The front sends
// them in batches: a message for each call would wake this task each time.
template <Kernel::MessageSink<AdminMessage> Admin> class MetricsService {
public:
  using Message = MetricsMessage;

  MetricsService(Kernel::Context Around, std::function<Admin()> FindAdmin)
      : FindAdmin(std::move(FindAdmin)) {
    (void)Around;
  }

  void start() { ToAdmin = FindAdmin(); }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
  }

  void stop() {}

private:
  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void take(const CallsEnded &Part) {
    const Common::SteadyTime Now = now();
    for (const Report::CallSample &Each : Part.Samples)
      Metrics.record(Each, Now);
  }

  void take(const MetricsWanted &Part) {
    ToAdmin.post(MetricsReady{Part.Exchange, Metrics.page(now())});
  }

  std::function<Admin()> FindAdmin;
  Admin ToAdmin;
  Report::CallMetrics Metrics;
};

} // namespace Node
