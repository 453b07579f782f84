#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Membership/Member.h"

namespace Membership {

// Decides when a departure may be acknowledged: only after it has been recorded
// outside of this process, because a new process of this node has to know it.
// Records one departure at a time.
class DepartureRecorder {
public:
  using RequestId = std::uint64_t;

  // Returns true if the departure is recorded. Otherwise the request is
  // answered by onRecorded().
  bool request(RequestId Request, const DepartedServer &Departed);
  // Returns the departure to record now, if there is one. Its result has to be
  // reported before the next one is returned.
  std::optional<DepartedServer> next();
  // Reports the result for the departure that next() returned. Returns the
  // requests that it answers.
  std::vector<RequestId> onRecorded(bool Succeeded);
  // A departure that an earlier process recorded.
  void adopt(const DepartedServer &Earlier);
  // The record may be lost, and has to be written again.
  void loseRecord();
  // Whether the record was lost and is not written again yet.
  bool isRecordOwed() const { return IsRecordOwed; }
  // Has next() return the departure although no request waits for it.
  void recordOwed(const DepartedServer &Departed);

private:
  struct Waiting {
    // Empty if nobody waits for the answer.
    std::optional<RequestId> Request;
    DepartedServer Departed;
  };

  std::optional<DepartedServer> Recorded;
  std::optional<DepartedServer> Pending;
  std::vector<Waiting> Requests;
  bool IsRecordOwed = false;
};

} // namespace Membership
