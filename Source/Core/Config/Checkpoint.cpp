#include "Config/Checkpoint.h"
#include "Common/Hash.h"

#include <algorithm>

namespace Config {

using Common::ResultCode;

namespace {

constexpr std::size_t MaxUnfinished = 32;
constexpr int MaxChunks = 4096;

bool belongTogether(const CheckpointChunk &Left, const CheckpointChunk &Right) {
  return Left.Offset == Right.Offset && Left.Number == Right.Number &&
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
  CheckpointChunk Part;
  Part.Id = Id;
  Part.Offset = History.lastOffset();
  Part.Number = Current.Number;
  Part.Level = Current.Level;
  Part.Count = static_cast<int>((Text.size() + ChunkBytes - 1) / ChunkBytes);
  Part.WholeHash = Common::hashOf(Text);
  for (; Part.Index < Part.Count; ++Part.Index) {
    Part.Content = Text.substr(Part.Index * ChunkBytes, ChunkBytes);
    Result.push_back(Part);
  }
  return Result;
}

ResultCode CheckpointAssembler::take(const CheckpointChunk &Part) {
  if (Part.Count < 1 || Part.Count > MaxChunks || Part.Index < 0 ||
      Part.Index >= Part.Count)
    return ResultCode::CheckpointDamaged;
  if (Newest && Part.Offset <= Newest->Offset)
    return ResultCode::Ok;
  const auto [Found, IsNew] = Unfinished.try_emplace(Part.Id, Open{Part, {}});
  Open &Target = Found->second;
  if (!belongTogether(Target.First, Part))
    return ResultCode::CheckpointDamaged;
  Target.Parts.emplace(Part.Index, Part.Content);
  if (Target.Parts.size() == static_cast<std::size_t>(Part.Count)) {
    const Open Done = std::move(Target);
    Unfinished.erase(Found);
    return finish(Done);
  }
  if (Unfinished.size() > MaxUnfinished)
    Unfinished.erase(std::min_element(Unfinished.begin(), Unfinished.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second.First.Offset <
                                               Right.second.First.Offset;
                                      }));
  return ResultCode::Ok;
}

ResultCode CheckpointAssembler::finish(const Open &Done) {
  Checkpoint Whole;
  for (const auto &[Index, Content] : Done.Parts)
    Whole.SetText += Content;
  if (Common::hashOf(Whole.SetText) != Done.First.WholeHash)
    return ResultCode::CheckpointDamaged;
  Whole.Offset = Done.First.Offset;
  Whole.Number = Done.First.Number;
  Whole.Level = Done.First.Level;
  Newest = std::move(Whole);
  std::erase_if(Unfinished, [this](const auto &Each) {
    return Each.second.First.Offset <= Newest->Offset;
  });
  return ResultCode::Ok;
}

} // namespace Config
