#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Config/AcceptedHistory.h"

namespace Config {

// One part of a checkpoint, as it stands on the log.
struct CheckpointChunk {
  // The same for all chunks of one writing.
  std::string Id;
  Version Offset = 0;
  Version Number = 0;
  RuleLevel Level = CurrentRuleLevel;
  int Index = 0;
  int Count = 0;
  // Hash of the whole text; that of Content is checked by the encoding.
  std::uint64_t WholeHash = 0;
  std::string Content;
};

// Empty when no version was accepted yet.
std::vector<CheckpointChunk> splitCheckpoint(const std::string &Id,
                                             const AcceptedHistory &History,
                                             std::size_t ChunkBytes);

// Puts chunks together, in any order and with others between them. What lacks a
// chunk or has a wrong hash is never given out.
class CheckpointAssembler {
public:
  // Ok also for a checkpoint that is not whole yet.
  Common::ResultCode take(const CheckpointChunk &Part);

  // The whole checkpoint that stands for the highest offset.
  const std::optional<Checkpoint> &newest() const { return Newest; }

private:
  struct Open {
    CheckpointChunk First;
    std::map<int, std::string> Parts;
  };

  Common::ResultCode finish(const Open &Done);

  std::map<std::string, Open> Unfinished;
  std::optional<Checkpoint> Newest;
};

} // namespace Config
