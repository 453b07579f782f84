#include "Rollout/ReportCollector.h"

namespace Rollout {

namespace {

// A node without a report for longer may have calls again.
constexpr Common::Millis ReportLifetime{1'000};

} // namespace

void ReportCollector::handleReport(NodeReport Received,
                                   Common::SteadyTime Now) {
  const std::string Node = Received.Node;
  Reports.insert_or_assign(Node, KnownReport{std::move(Received), Now});
}

Report ReportCollector::summarise(const Progress &Known,
                                  Common::SteadyTime Now) const {
  Report Result;
  Result.DataCentre = DataCentre;
  Result.Service = Known.Ordered.Service;
  Result.Position = Known.Ordered.Position;
  // What servers did that have gone since counts as well.
  for (const auto &[Node, Entry] : Reports)
    if (Entry.Content.Followed.Position == Result.Position)
      add(Entry.Content.Followed.IsTarget ? Result.Target : Result.Base,
          Entry.Content.Calls);
  for (const ServerAtNode &Server : Servers) {
    if (Server.Service != Result.Service)
      continue;
    if (Server.Version == Known.Ordered.TargetVersion) {
      ++Result.TargetServers;
      continue;
    }
    const auto Found = Reports.find(Server.Node);
    const bool HasEnded =
        Found != Reports.end() &&
        Found->second.Content.Followed.Position == Result.Position &&
        Found->second.Content.Followed.IsClosed &&
        Found->second.Content.OpenCalls == 0 &&
        Now - Found->second.ReceivedAt < ReportLifetime;
    Result.OpenBaseServers += HasEnded ? 0 : 1;
  }
  return Result;
}

} // namespace Rollout
