#pragma once

#include <string>
#include <vector>

#include "Common/Time.h"
#include "Operator/HistoryReader.h"

namespace Control {

struct Options {
  Operator::LogPlace Log;
  std::string Author;
  std::string Note;
  std::string Base;
  std::vector<std::string> Nodes;
  bool Wait = false;
  Common::Micros Limit{0};
};

using Arguments = std::vector<std::string>;

// Each returns the program's exit code.
int checkSet(const Arguments &Paths);
int publishSet(const Options &Given, const Arguments &Paths);
// Publishes the set of an earlier version as a new one.
int rollBack(const Options &Given, const std::string &Version);
// Shows what publishing the files would change.
int showDifference(const Options &Given, const Arguments &Paths);
// Shows who published a record, what it changed and what became of it.
int explainRecord(const Options &Given, const std::string &Offset);
// Shows records as they are judged, for as long as Limit says.
int watchRecords(const Options &Given);
int showStatus(const Options &Given);

} // namespace Control
