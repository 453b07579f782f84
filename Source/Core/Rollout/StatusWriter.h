#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Rollout/OrderStore.h"
#include "Rollout/Progress.h"

namespace Rollout {

// What to do after the statuses were read.
struct WriteStep {
  // Progress that other coordinators have written.
  std::vector<Progress> Adopted;
  // Written on the condition that the statuses still end where they did.
  std::optional<Status> Write;
};

// Decides which status a coordinator writes. Of two coordinators the one whose
// final status is written first decides; the other one adopts it. The owner
// reads the statuses before each write.
class StatusWriter {
public:
  // An order that was just written: any status is of an earlier one.
  void begin(const Progress &Ordered);
  // An order that may have ended before this coordinator knew it.
  void resume(const Progress &Ordered);
  // The roll-out has to end with this final stage.
  void request(const Progress &Final);
  // The store may have lost the status of this roll-out.
  void restore(const Progress &Known);

  bool isDue(Common::SteadyTime Now) const;
  void onStarted() { IsBusy = true; }
  WriteStep onStatuses(const StatusesRead &Read, Common::SteadyTime Now);
  // Returns the progress that is now in force.
  std::vector<Progress> onWritten(Common::ResultCode Code,
                                  Common::SteadyTime Now);

private:
  enum class Origin { Begun, Resumed, Decided, Restored };
  struct Pending {
    Progress Wanted;
    Origin From = Origin::Begun;
  };

  void retryAt(Common::SteadyTime Time);

  // The next write of each service.
  std::map<std::string, Pending> ByService;
  std::optional<Pending> InFlight;
  bool IsBusy = false;
  Common::SteadyTime NextAt;
};

} // namespace Rollout
