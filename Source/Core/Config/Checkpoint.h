#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Config/AcceptedHistory.h"

namespace Config {

// One part of a checkpoint, as it is stored on the log.
struct CheckpointChunk {
  // Shared by all chunks of one checkpoint.
  std::string Id;
  Version Offset = 0;
  Version SetVersion = 0;
  RuleLevel Level = CurrentRuleLevel;
  int Index = 0;
  int Count = 0;
  // Hash of the whole text. The hash of Content is checked when the chunk is
  // decoded.
  std::uint64_t WholeHash = 0;
  std::string Content;
};

// Returns nothing when no version has been accepted yet.
std::vector<CheckpointChunk> splitCheckpoint(const std::string &Id,
                                             const AcceptedHistory &History,
                                             std::size_t ChunkBytes);

// Assembles checkpoints from their chunks, which may arrive in any order and be
// interleaved with those of other checkpoints. A checkpoint with a missing
// chunk or a wrong hash is never returned.
class CheckpointAssembler {
public:
  // Returns Ok also while the checkpoint is still incomplete.
  Common::ResultCode addChunk(const CheckpointChunk &Chunk);

  // The complete checkpoint with the highest offset.
  const std::optional<Checkpoint> &newest() const { return Newest; }

private:
  struct PartialCheckpoint {
    CheckpointChunk First;
    std::map<int, std::string> Chunks;
  };

  Common::ResultCode assemble(const PartialCheckpoint &Complete);

  std::map<std::string, PartialCheckpoint> Incomplete;
  std::optional<Checkpoint> Newest;
};

} // namespace Config
