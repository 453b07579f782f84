#include "Config/Checkpoint.h"
#include "Common/Hash.h"

#include <algorithm>

namespace Config {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxIncomplete = 32;
constexpr int MaxChunks = 4096;

bool isSameCheckpoint(const CheckpointChunk &Left,
                      const CheckpointChunk &Right) {
  return Left.Offset == Right.Offset && Left.SetVersion == Right.SetVersion &&
         Left.Level == Right.Level && Left.Count == Right.Count &&
         Left.WholeHash == Right.WholeHash;
}

} // namespace

std::vector<CheckpointChunk> splitCheckpoint(const std::string &Id,
                                             const AcceptedHistory &History,
                                             std::size_t ChunkBytes) {
  std::vector<CheckpointChunk> Result;
  const AcceptedSet &Current = History.current();
  if (!Current.Set)
    return Result;
  const std::string Text = Current.Set->canonicalText();
  CheckpointChunk Chunk;
  Chunk.Id = Id;
  Chunk.Offset = History.lastOffset();
  Chunk.SetVersion = Current.SetVersion;
  Chunk.Level = Current.Level;
  Chunk.Count = static_cast<int>((Text.size() + ChunkBytes - 1) / ChunkBytes);
  Chunk.WholeHash = Common::hashOf(Text);
  for (; Chunk.Index < Chunk.Count; ++Chunk.Index) {
    Chunk.Content = Text.substr(Chunk.Index * ChunkBytes, ChunkBytes);
    Result.push_back(Chunk);
  }
  return Result;
}

ResultCode CheckpointAssembler::addChunk(const CheckpointChunk &Chunk) {
  if (Chunk.Count < 1 || Chunk.Count > MaxChunks || Chunk.Index < 0 ||
      Chunk.Index >= Chunk.Count)
    return ResultCode::CheckpointDamaged;
  if (Newest && Chunk.Offset <= Newest->Offset)
    return ResultCode::Ok;
  const auto [Found, IsNew] =
      Incomplete.try_emplace(Chunk.Id, PartialCheckpoint{Chunk, {}});
  PartialCheckpoint &Partial = Found->second;
  if (!isSameCheckpoint(Partial.First, Chunk))
    return ResultCode::CheckpointDamaged;
  Partial.Chunks.emplace(Chunk.Index, Chunk.Content);
  if (Partial.Chunks.size() == static_cast<std::size_t>(Chunk.Count)) {
    const PartialCheckpoint Complete = std::move(Partial);
    Incomplete.erase(Found);
    return assemble(Complete);
  }
  if (Incomplete.size() > MaxIncomplete)
    Incomplete.erase(std::min_element(Incomplete.begin(), Incomplete.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second.First.Offset <
                                               Right.second.First.Offset;
                                      }));
  return ResultCode::Ok;
}

ResultCode CheckpointAssembler::assemble(const PartialCheckpoint &Complete) {
  Checkpoint Assembled;
  for (const auto &[Index, Content] : Complete.Chunks)
    Assembled.SetText += Content;
  if (Common::hashOf(Assembled.SetText) != Complete.First.WholeHash)
    return ResultCode::CheckpointDamaged;
  Assembled.Offset = Complete.First.Offset;
  Assembled.SetVersion = Complete.First.SetVersion;
  Assembled.Level = Complete.First.Level;
  Newest = std::move(Assembled);
  std::erase_if(Incomplete, [this](const auto &Entry) {
    return Entry.second.First.Offset <= Newest->Offset;
  });
  return ResultCode::Ok;
}

} // namespace Config
