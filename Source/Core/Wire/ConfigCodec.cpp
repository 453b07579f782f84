#include "Wire/ConfigCodec.h"

#include "Common/Hash.h"
#include "Config_types.h"
#include "Wire/CompactBytes.h"
#include "Wire/Compression.h"

namespace Wire {

namespace {

using Common::Error;
using Common::ResultCode;

constexpr std::size_t MaxSetBytes = 64 << 20;

Generated::SpreadPart toWire(const Config::HeldVersion &From) {
  Generated::SpreadHeld Part;
  Part.Node = From.Node;
  Part.Held = From.Held;
  Part.ReadsLog = From.ReadsLog;
  if (From.SourceEra)
    Part.__set_SourceEra(*From.SourceEra);
  Generated::SpreadPart Result;
  Result.__set_Held(Part);
  return Result;
}

Generated::SpreadPart toWire(const Config::SetRequest &From) {
  Generated::SpreadRequest Part;
  Part.Node = From.Node;
  Part.Held = From.Held;
  Part.WholeOnly = From.WholeOnly;
  Part.WaitMicros = From.Wait.count();
  Generated::SpreadPart Result;
  Result.__set_Request(Part);
  return Result;
}

Generated::SpreadPart toWire(const Config::SetSnapshot &From) {
  Generated::SpreadSnapshot Part;
  Part.Node = From.Node;
  Part.Number = From.SetVersion;
  Part.Level = From.Level;
  Part.Base = From.Base;
  Part.CompressedText = compress(From.Content.Changed);
  Part.Removed = From.Content.Removed;
  Part.Hash = static_cast<std::int64_t>(From.Hash);
  if (From.SourceEra)
    Part.__set_SourceEra(*From.SourceEra);
  Generated::SpreadPart Result;
  Result.__set_Snapshot(Part);
  return Result;
}

Generated::SpreadPart toWire(const Config::RequestRefused &From) {
  Generated::SpreadRefused Part;
  Part.Node = From.Node;
  Generated::SpreadPart Result;
  Result.__set_Refused(Part);
  return Result;
}

Config::HeldVersion fromWire(const Generated::SpreadHeld &From) {
  Config::HeldVersion Result{From.Node, From.Held, From.ReadsLog};
  if (From.__isset.SourceEra)
    Result.SourceEra = From.SourceEra;
  return Result;
}

Config::SetSnapshot fromWire(const Generated::SpreadSnapshot &From) {
  Config::SetSnapshot Result;
  Result.Node = From.Node;
  Result.SetVersion = From.Number;
  Result.Level = From.Level;
  Result.Base = From.Base;
  Result.Content.Changed = decompress(From.CompressedText, MaxSetBytes);
  Result.Content.Removed = From.Removed;
  Result.Hash = static_cast<std::uint64_t>(From.Hash);
  if (From.__isset.SourceEra)
    Result.SourceEra = From.SourceEra;
  return Result;
}

} // namespace

std::string encodeReplication(const Config::ReplicationMessage &Content) {
  return std::visit([](const auto &Part) { return packCompact(toWire(Part)); },
                    Content);
}

Config::ReplicationMessage decodeReplication(std::string_view Bytes) {
  auto Decoded =
      unpackCompact<Generated::SpreadPart>(Bytes, ResultCode::FrameMalformed);
  if (Decoded.__isset.Held)
    return fromWire(Decoded.Held);
  if (Decoded.__isset.Request)
    return Config::SetRequest{std::move(Decoded.Request.Node),
                              Decoded.Request.Held, Decoded.Request.WholeOnly,
                              Common::Micros(Decoded.Request.WaitMicros)};
  if (Decoded.__isset.Snapshot)
    return fromWire(Decoded.Snapshot);
  if (Decoded.__isset.Refused)
    return Config::RequestRefused{std::move(Decoded.Refused.Node)};
  throw Error(ResultCode::FrameMalformed, "unknown replication message type");
}

std::string encodeChunk(const Config::CheckpointChunk &Content) {
  Generated::CheckpointPart Part;
  Part.Id = Content.Id;
  Part.Offset = Content.Offset;
  Part.Number = Content.SetVersion;
  Part.Level = Content.Level;
  Part.Index = Content.Index;
  Part.Count = Content.Count;
  Part.WholeHash = static_cast<std::int64_t>(Content.WholeHash);
  Part.CompressedContent = compress(Content.Content);
  Part.Hash = static_cast<std::int64_t>(Common::hashOf(Content.Content));
  return packCompact(Part);
}

Config::CheckpointChunk decodeChunk(std::string_view Bytes) {
  auto Decoded = unpackCompact<Generated::CheckpointPart>(
      Bytes, ResultCode::CheckpointDamaged);
  Config::CheckpointChunk Result;
  Result.Id = std::move(Decoded.Id);
  Result.Offset = Decoded.Offset;
  Result.SetVersion = Decoded.Number;
  Result.Level = Decoded.Level;
  Result.Index = Decoded.Index;
  Result.Count = Decoded.Count;
  Result.WholeHash = static_cast<std::uint64_t>(Decoded.WholeHash);
  try {
    Result.Content = decompress(Decoded.CompressedContent, MaxSetBytes);
  } catch (const Error &Failure) {
    throw Error(ResultCode::CheckpointDamaged, Failure.what());
  }
  if (static_cast<std::int64_t>(Common::hashOf(Result.Content)) != Decoded.Hash)
    throw Error(ResultCode::CheckpointDamaged,
                "hash of the checkpoint chunk does not match");
  return Result;
}

} // namespace Wire
