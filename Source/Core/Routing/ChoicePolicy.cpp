#include "Routing/ChoicePolicy.h"

#include <algorithm>

namespace Routing {

namespace {

double expectedWait(const ServerEntry &Server, const ServerRecords &Records) {
  const auto Found = Records.find(Server.Server);
  if (Found == Records.end())
    return 0;
  const ServerRecord &Record = Found->second;
  const double Work = Record.OwnInFlight + Record.Reported.Queued +
                      0.5 * Record.Reported.BusySlots;
  return Work / std::max(Server.Slots, 1);
}

} // namespace

std::vector<std::size_t> eligibleServers(const ChoiceInput &Input) {
  std::vector<std::size_t> Own;
  std::vector<std::size_t> Others;
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    const ServerEntry &Each = Input.Servers[Index];
    if (Input.Excluded.contains(Each.Server))
      continue;
    (Each.DataCentre == Input.OwnDataCentre ? Own : Others).push_back(Index);
  }
  return Own.empty() ? Others : Own;
}

std::optional<std::size_t> RandomChoice::choose(const ChoiceInput &Input) {
  const std::vector<std::size_t> Eligible = eligibleServers(Input);
  if (Eligible.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Pick(0, Eligible.size() - 1);
  return Eligible[Pick(Random)];
}

std::optional<std::size_t> RoundRobinChoice::choose(const ChoiceInput &Input) {
  const std::vector<std::size_t> Eligible = eligibleServers(Input);
  if (Eligible.empty())
    return std::nullopt;
  return Eligible[Next++ % Eligible.size()];
}

std::optional<std::size_t> TwoChoices::choose(const ChoiceInput &Input) {
  const std::vector<std::size_t> Eligible = eligibleServers(Input);
  if (Eligible.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Pick(0, Eligible.size() - 1);
  const std::size_t First = Eligible[Pick(Random)];
  const std::size_t Second = Eligible[Pick(Random)];
  const double FirstWait = expectedWait(Input.Servers[First], Input.Records);
  const double SecondWait = expectedWait(Input.Servers[Second], Input.Records);
  return SecondWait < FirstWait ? Second : First;
}

} // namespace Routing
