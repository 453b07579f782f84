#pragma once

#include <string>
#include <vector>

#include "Common/Time.h"
#include "Operator/HistoryReader.h"

namespace Control {

// The command-line options that the commands use.
struct CommandOptions {
  Operator::LogLocation Log;
  std::string Author;
  std::string Note;
  std::string Base;
  std::vector<std::string> Nodes;
  bool Wait = false;
  Common::Micros Limit{0};
};

using Arguments = std::vector<std::string>;

// Every command returns the exit code of the program.
int checkSet(const Arguments &Paths);
int publishSet(const CommandOptions &Options, const Arguments &Paths);
// Publishes the set of an earlier version as a new version.
int rollBack(const CommandOptions &Options, const std::string &Version);
// Prints what publishing the files would change.
int showDifference(const CommandOptions &Options, const Arguments &Paths);
// Prints who published a record, what it changed and whether it was accepted.
int explainRecord(const CommandOptions &Options, const std::string &Offset);
// Prints new records with their validation results until Limit has passed.
int watchRecords(const CommandOptions &Options);
// Prints the status pages of the nodes.
int showStatus(const CommandOptions &Options);

} // namespace Control
