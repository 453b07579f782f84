// Messages between the configuration services of two nodes, and the records of
// checkpoints on the platform's log.
namespace cpp Wire.Generated

struct SpreadHeld {
  1: string Node,
  2: i64 Held,
  3: bool ReadsLog,
  4: optional i64 SourceEra,
}

struct SpreadRequest {
  1: string Node,
  2: i64 Held,
  3: bool WholeOnly,
  4: i64 WaitMicros,
}

struct SpreadSnapshot {
  1: string Node,
  2: i64 Number,
  3: i32 Level,
  4: i64 Base,
  5: binary CompressedText,
  6: list<string> Removed,
  7: i64 Hash,
  8: optional i64 SourceEra,
}

struct SpreadRefused {
  1: string Node,
}

union SpreadPart {
  1: SpreadHeld Held,
  2: SpreadRequest Request,
  3: SpreadSnapshot Snapshot,
  4: SpreadRefused Refused,
}

struct CheckpointPart {
  1: string Id,
  2: i64 Offset,
  3: i64 Number,
  4: i32 Level,
  5: i32 Index,
  6: i32 Count,
  7: i64 WholeHash,
  8: binary CompressedContent,
  9: i64 Hash,
}
