#include "Membership/SummaryExchange.h"

#include <algorithm>

#include "Membership/Rendezvous.h"

namespace Membership {

namespace {

constexpr Common::Millis ChangeInterval{200};
// Six other data centres and datagrams of 1.2 KB are 2.4 KB a second, of the
// three that a node may use for control.
constexpr Common::Millis RefreshInterval{3000};
constexpr int TransmitsPerChange = 3;
constexpr std::uint64_t AnyMemberShare = 4;

} // namespace

void SummaryExchange::changed(const Member &Update) {
  for (auto &[Name, Each] : ByDataCentre)
    Each.Changes.push(Update);
}

std::vector<SummaryExchange::Told>
SummaryExchange::due(const MemberTable &Table, std::size_t Bytes,
                     Common::SteadyTime Now) {
  if (Now < NextAt)
    return {};
  NextAt = Now + ChangeInterval;
  const Member &Self = Table.self();
  std::vector<const Member *> Members = Table.others();
  for (const Member *Each : Members)
    if (Each->DataCentre != Self.DataCentre)
      ByDataCentre.try_emplace(Each->DataCentre);
  if (ByDataCentre.empty())
    return {};
  Members.push_back(&Self);
  const auto Own = representatives(Members, Self.DataCentre);
  const auto Bounded = summarised(Members, Self.DataCentre);
  const bool Speaks = std::find(Own.begin(), Own.end(), &Self) != Own.end();

  std::vector<Told> Result;
  for (auto &[Name, Each] : ByDataCentre) {
    std::vector<Member> Updates;
    if (!Each.Changes.empty())
      Updates = Each.Changes.take(Bytes, TransmitsPerChange);
    else if (Now >= Each.RefreshAt)
      Updates = refresh(Each, Table, Bytes, Now);
    // Who has endpoints beyond the bound is not told; who lost them is.
    std::erase_if(Updates, [&](const Member &Update) {
      return isLive(Update) && !Update.Endpoints.empty() &&
             !Bounded.contains(Update.Node);
    });
    const Member *To = listener(Members, Name);
    if (!Speaks || Updates.empty() || !To)
      continue;
    Result.push_back({{To->Address, To->MemberPort}, std::move(Updates)});
  }
  return Result;
}

// Mostly a representative. After a cut those known may be gone, so that now and
// then any member is taken; it tells its own data centre all the same.
const Member *
SummaryExchange::listener(const std::vector<const Member *> &Members,
                          const std::string &DataCentre) {
  std::vector<const Member *> Candidates = representatives(Members, DataCentre);
  if (++Turns % AnyMemberShare == 0) {
    Candidates.clear();
    for (const Member *Each : Members)
      if (isLive(*Each) && Each->DataCentre == DataCentre)
        Candidates.push_back(Each);
  }
  if (Candidates.empty())
    return nullptr;
  return Candidates[Random() % Candidates.size()];
}

std::vector<Member> SummaryExchange::refresh(Far &State,
                                             const MemberTable &Table,
                                             std::size_t Bytes,
                                             Common::SteadyTime Now) {
  State.RefreshAt = Now + RefreshInterval;
  std::vector<const Member *> Members = Table.others();
  Members.push_back(&Table.self());
  auto Names = summarised(Members, Table.self().DataCentre);
  // Who went while the link to the other data centre was cut is told after it.
  for (const Member *Each : Members)
    if (!isLive(*Each) && Each->DataCentre == Table.self().DataCentre)
      Names.insert(Each->Node);
  std::vector<Member> Result;
  std::size_t Used = 0;
  auto Next = Names.upper_bound(State.Cursor);
  for (std::size_t I = 0; I < Names.size(); ++I, ++Next) {
    if (Next == Names.end())
      Next = Names.begin();
    const Member *Found =
        *Next == Table.self().Node ? &Table.self() : Table.find(*Next);
    Used += encodedLimit(*Found);
    if (!Result.empty() && Used > Bytes)
      break;
    Result.push_back(*Found);
    // Others need not know who is suspected here.
    if (Found->State == Health::Suspect)
      Result.back().State = Health::Alive;
    State.Cursor = *Next;
  }
  return Result;
}

} // namespace Membership
