#pragma once

#include <functional>
#include <utility>
#include <variant>

#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Report/CallMetrics.h"

namespace Node {

// Keeps the metrics of the calls that this node answered. The ingress sends
// samples in batches, since a message for each call would wake up this task for
// each call.
template <Kernel::MessageSink<AdminMessage> Admin> class MetricsService {
public:
  using Message = MetricsMessage;

  MetricsService(Kernel::Context Context, std::function<Admin()> FindAdmin)
      : FindAdmin(std::move(FindAdmin)) {
    (void)Context;
  }

  void start() { ToAdmin = FindAdmin(); }

  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
  }

  void stop() {}

private:
  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void onMessage(const CallsEnded &Event) {
    const Common::SteadyTime Now = now();
    for (const Report::CallSample &Sample : Event.Samples)
      Metrics.record(Sample, Now);
  }

  void onMessage(const MetricsRequested &Event) {
    ToAdmin.post(MetricsReady{Event.Exchange, Metrics.page(now())});
  }

  std::function<Admin()> FindAdmin;
  Admin ToAdmin;
  Report::CallMetrics Metrics;
};

} // namespace Node
