#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Rollout/Evidence.h"
#include "Rollout/Progress.h"

namespace Rollout {

// What the nodes of one data centre report of one roll-out.
struct Report {
  std::string DataCentre;
  std::string Service;
  std::int64_t Position = 0;
  Evidence Target;
  Evidence Base;
  int TargetServers = 0;
  // The servers of other versions that may still take or run calls, or whose
  // nodes did not report.
  int OpenBaseServers = 0;

  bool operator==(const Report &) const = default;
};

// A stage that a roll-out should enter, and why.
struct Decision {
  Progress Next;
  std::string Reason;
};

// Decides on each roll-out from the reports of all data centres. Decisions only
// lead to later stages, so two coordinators do no harm. The final stages take
// effect when they were written for the operator.
class Coordinator {
public:
  void handleReport(const Report &Received, Common::SteadyTime Now);
  // The data centres that have live nodes.
  void setDataCentres(std::vector<std::string> Names) {
    DataCentres = std::move(Names);
  }

  // The decisions that are due. A decision is repeated until the table that is
  // passed in holds its stage or a later one.
  std::vector<Decision> decide(const ProgressTable &Table,
                               Common::SteadyTime Now);

private:
  struct Snapshot {
    Common::SteadyTime TakenAt;
    Evidence Target;
    Evidence Base;
  };
  struct DataCentreReport {
    Report Content;
    Common::SteadyTime ReceivedAt;
  };
  struct Trail {
    std::int64_t Position = 0;
    Stage Reached = Stage::Trial;
    Common::SteadyTime StageSince;
    bool IsStageNew = true;
    // The calls of the target version that were known when the stage began.
    std::int64_t CallsBeforeStage = 0;
    // When the first call of the target version was reported.
    std::optional<Common::SteadyTime> FirstCall;
    std::map<std::string, DataCentreReport> Reports;
    // The sums of all reports in the time that is looked at, oldest first.
    std::deque<Snapshot> Recent;
  };

  std::optional<Decision> decideOne(const Progress &Known, Trail &State,
                                    Common::SteadyTime Now);
  static Decision advance(const Progress &Known, Stage Next,
                          std::string Reason);
  bool haveOthersEnded(const Trail &State, Common::SteadyTime Now) const;

  std::vector<std::string> DataCentres;
  std::map<std::string, Trail> Trails;
};

} // namespace Rollout
