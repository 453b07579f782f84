#include "Routing/ChoicePolicy.h"

#include <algorithm>

namespace Routing {

namespace {

double expectedWait(const ServerEntry &Server, const ServerRecords &Records) {
  const ServerRecord *Record = Records.find(Server.Server);
  if (!Record)
    return 0;
  const double Pending = Record->OwnInFlight + Record->ReportedLoad.Queued +
                         0.5 * Record->ReportedLoad.BusySlots;
  return Pending / std::max(Server.Slots, 1);
}

} // namespace

std::vector<std::size_t> eligibleServers(const ChoiceInput &Input) {
  std::vector<std::size_t> Local;
  std::vector<std::size_t> Remote;
  for (std::size_t Index = 0; Index < Input.Servers.size(); ++Index) {
    const ServerEntry &Server = Input.Servers[Index];
    if (!Input.mayChoose(Server))
      continue;
    (Server.DataCentre == Input.LocalDataCentre ? Local : Remote)
        .push_back(Index);
  }
  return Local.empty() ? Remote : Local;
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

std::optional<std::size_t> LeastRequests::choose(const ChoiceInput &Input) {
  std::vector<std::size_t> Eligible = eligibleServers(Input);
  if (Eligible.empty())
    return std::nullopt;
  // min_element returns the first of equal servers, so their order is random.
  std::shuffle(Eligible.begin(), Eligible.end(), Random);
  const auto Load = [&](std::size_t Index) {
    const ServerEntry &Server = Input.Servers[Index];
    const ServerRecord *Record = Input.Records.find(Server.Server);
    return Record ? static_cast<double>(Record->OwnInFlight) /
                        std::max(Server.Slots, 1)
                  : 0.0;
  };
  return *std::min_element(
      Eligible.begin(), Eligible.end(),
      [&](std::size_t A, std::size_t B) { return Load(A) < Load(B); });
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
