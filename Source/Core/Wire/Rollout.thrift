// Messages between the roll-out services of two nodes.
namespace cpp Wire.Generated

struct RolloutProgress {
  1: string Service,
  2: string TargetVersion,
  3: i64 DurationMicros,
  4: i64 Position,
  5: i32 Stage,
  6: i64 ElapsedMicros,
}

struct RolloutNews {
  1: string Node,
  2: bool FromCoordinator,
  3: list<RolloutProgress> Known,
}

struct RolloutCounts {
  1: i64 Answered,
  2: i64 Failed,
  3: i64 Unanswered,
  4: list<i64> ByTime,
}

struct RolloutNodeReport {
  1: string Node,
  2: i64 Position,
  3: bool IsTarget,
  4: bool IsClosed,
  5: i64 OpenCalls,
  6: map<string, RolloutCounts> Calls,
}

struct RolloutReport {
  1: string DataCentre,
  2: string Service,
  3: i64 Position,
  4: map<string, RolloutCounts> Target,
  5: map<string, RolloutCounts> Base,
  6: i32 TargetServers,
  7: i32 OpenBaseServers,
}

union RolloutMessage {
  1: RolloutNews News,
  2: RolloutNodeReport FromNode,
  3: RolloutReport FromDataCentre,
}
