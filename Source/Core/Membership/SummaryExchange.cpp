#include "Membership/SummaryExchange.h"

#include <algorithm>

#include "Membership/Rendezvous.h"

namespace Membership {

namespace {

constexpr Common::Millis ChangeInterval{200};
// With six other data centres and datagrams of 1.2 KB, refreshes take 2.4 KB
// per second of the 3 KB per second that a node may use for control traffic.
constexpr Common::Millis RefreshInterval{3000};
constexpr int TransmitsPerChange = 3;
// Every fourth summary goes to any live member of the other data centre.
constexpr std::uint64_t AnyMemberPeriod = 4;

} // namespace

void SummaryExchange::onMemberChanged(const Member &Update) {
  for (auto &[Name, Remote] : ByDataCentre)
    Remote.Changes.push(Update);
}

std::vector<SummaryExchange::OutgoingSummary>
SummaryExchange::nextSummaries(const MemberTable &Table,
                               std::size_t MaxUpdateBytes,
                               Common::SteadyTime Now) {
  if (Now < NextAt)
    return {};
  NextAt = Now + ChangeInterval;
  const Member &Self = Table.self();
  std::vector<const Member *> Members = Table.others();
  for (const Member *Candidate : Members)
    if (Candidate->DataCentre != Self.DataCentre)
      ByDataCentre.try_emplace(Candidate->DataCentre);
  if (ByDataCentre.empty())
    return {};
  Members.push_back(&Self);
  const auto LocalRepresentatives = representatives(Members, Self.DataCentre);
  const auto SummarisedNodes = summarisedNodes(Members, Self.DataCentre);
  const bool IsRepresentative =
      std::find(LocalRepresentatives.begin(), LocalRepresentatives.end(),
                &Self) != LocalRepresentatives.end();

  std::vector<OutgoingSummary> Result;
  for (auto &[Name, Remote] : ByDataCentre) {
    std::vector<Member> Updates;
    if (!Remote.Changes.empty())
      Updates = Remote.Changes.takeBatch(MaxUpdateBytes, TransmitsPerChange);
    else if (Now >= Remote.NextRefreshAt)
      Updates = refresh(Remote, Table, MaxUpdateBytes, Now);
    // Members whose endpoints are beyond the bound are not sent, but those that
    // lost their endpoints are.
    std::erase_if(Updates, [&](const Member &Update) {
      return isLive(Update) && !Update.Endpoints.empty() &&
             !SummarisedNodes.contains(Update.Node);
    });
    const Member *To = pickReceiver(Members, Name);
    if (!IsRepresentative || Updates.empty() || !To)
      continue;
    Result.push_back({{To->Address, To->MemberPort}, std::move(Updates)});
  }
  return Result;
}

// Usually picks a representative of the other data centre. After a network
// partition the known representatives may be gone, so every fourth time any
// live member is picked. It disseminates the updates in its data centre just as
// a representative does.
const Member *
SummaryExchange::pickReceiver(const std::vector<const Member *> &Members,
                              const std::string &DataCentre) {
  std::vector<const Member *> Candidates = representatives(Members, DataCentre);
  if (++ReceiverPicks % AnyMemberPeriod == 0) {
    Candidates.clear();
    for (const Member *Candidate : Members)
      if (isLive(*Candidate) && Candidate->DataCentre == DataCentre)
        Candidates.push_back(Candidate);
  }
  if (Candidates.empty())
    return nullptr;
  return Candidates[Random() % Candidates.size()];
}

std::vector<Member> SummaryExchange::refresh(RemoteState &State,
                                             const MemberTable &Table,
                                             std::size_t MaxUpdateBytes,
                                             Common::SteadyTime Now) {
  State.NextRefreshAt = Now + RefreshInterval;
  std::vector<const Member *> Members = Table.others();
  Members.push_back(&Table.self());
  auto Names = summarisedNodes(Members, Table.self().DataCentre);
  // Dead and left members are included, so that the other data centre learns of
  // members that disappeared while the link between them was down.
  for (const Member *Departed : Members)
    if (!isLive(*Departed) && Departed->DataCentre == Table.self().DataCentre)
      Names.insert(Departed->Node);
  std::vector<Member> Result;
  std::size_t UsedBytes = 0;
  auto Next = Names.upper_bound(State.Cursor);
  for (std::size_t I = 0; I < Names.size(); ++I, ++Next) {
    if (Next == Names.end())
      Next = Names.begin();
    const Member *Found =
        *Next == Table.self().Node ? &Table.self() : Table.find(*Next);
    UsedBytes += maxEncodedSize(*Found);
    if (!Result.empty() && UsedBytes > MaxUpdateBytes)
      break;
    Result.push_back(*Found);
    // Suspicions are not reported to other data centres.
    if (Found->State == Health::Suspect)
      Result.back().State = Health::Alive;
    State.Cursor = *Next;
  }
  return Result;
}

} // namespace Membership
