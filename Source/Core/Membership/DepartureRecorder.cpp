#include "Membership/DepartureRecorder.h"

#include <algorithm>

namespace Membership {

bool DepartureRecorder::request(RequestId Request,
                                const DepartedServer &Departed) {
  if (Recorded == Departed)
    return true;
  Requests.push_back({Request, Departed});
  return false;
}

std::optional<DepartedServer> DepartureRecorder::next() {
  if (Pending || Requests.empty())
    return std::nullopt;
  Pending = Requests.back().Departed;
  return Pending;
}

std::vector<DepartureRecorder::RequestId>
DepartureRecorder::onRecorded(bool Succeeded) {
  std::vector<RequestId> Result;
  if (!Pending)
    return Result;
  if (Succeeded) {
    Recorded = Pending;
    IsRecordOwed = false;
  }
  for (const Waiting &Entry : Requests)
    if (Entry.Departed == *Pending && Entry.Request)
      Result.push_back(*Entry.Request);
  std::erase_if(Requests, [this](const Waiting &Entry) {
    return Entry.Departed == *Pending;
  });
  Pending.reset();
  return Result;
}

void DepartureRecorder::adopt(const DepartedServer &Earlier) {
  if (!Recorded)
    Recorded = Earlier;
}

void DepartureRecorder::loseRecord() {
  Recorded.reset();
  IsRecordOwed = true;
}

void DepartureRecorder::recordOwed(const DepartedServer &Departed) {
  if (IsRecordOwed)
    Requests.push_back({std::nullopt, Departed});
}

} // namespace Membership
