#include "Wire/RolloutCodec.h"

#include <algorithm>

#include "Common/Error.h"
#include "Rollout_types.h"
#include "Wire/CompactBytes.h"

namespace Wire {

namespace {

using Common::ResultCode;

// Longer than any roll-out takes; a larger number is an error.
constexpr Common::Micros MaxTime = std::chrono::hours(24 * 366);

std::map<std::string, Generated::RolloutCounts>
toWire(const Rollout::Evidence &From) {
  std::map<std::string, Generated::RolloutCounts> Result;
  for (const auto &[Kind, Calls] : From) {
    Generated::RolloutCounts &Counts = Result[Kind];
    Counts.Answered = Calls.Answered;
    Counts.Failed = Calls.Failed;
    Counts.Unanswered = Calls.Unanswered;
    Counts.ByTime.assign(Calls.ByTime.begin(), Calls.ByTime.end());
  }
  return Result;
}

Rollout::Evidence
fromWire(const std::map<std::string, Generated::RolloutCounts> &From) {
  Rollout::Evidence Result;
  for (const auto &[Kind, Counts] : From) {
    Rollout::KindEvidence &Calls = Result[Kind];
    Calls.Answered = Counts.Answered;
    Calls.Failed = Counts.Failed;
    Calls.Unanswered = Counts.Unanswered;
    std::copy_n(Counts.ByTime.begin(),
                std::min(Counts.ByTime.size(), Calls.ByTime.size()),
                Calls.ByTime.begin());
  }
  return Result;
}

Generated::RolloutMessage wrap(const RolloutNews &From) {
  Generated::RolloutNews Part;
  Part.Node = From.Node;
  Part.FromCoordinator = From.FromCoordinator;
  for (const SentProgress &Sent : From.Known) {
    Generated::RolloutProgress Known;
    Known.Service = Sent.Ordered.Service;
    Known.TargetVersion = Sent.Ordered.TargetVersion;
    Known.DurationMicros = Sent.Ordered.Duration.count();
    Known.Position = Sent.Ordered.Position;
    Known.Stage = static_cast<std::int32_t>(Sent.Reached);
    Known.ElapsedMicros = Sent.Elapsed.count();
    Part.Known.push_back(std::move(Known));
  }
  Generated::RolloutMessage Result;
  Result.__set_News(Part);
  return Result;
}

Generated::RolloutMessage wrap(const Rollout::NodeReport &From) {
  Generated::RolloutNodeReport Part;
  Part.Node = From.Node;
  Part.Position = From.Followed.Position;
  Part.IsTarget = From.Followed.IsTarget;
  Part.IsClosed = From.Followed.IsClosed;
  Part.OpenCalls = From.OpenCalls;
  Part.Calls = toWire(From.Calls);
  Generated::RolloutMessage Result;
  Result.__set_FromNode(Part);
  return Result;
}

Generated::RolloutMessage wrap(const Rollout::Report &From) {
  Generated::RolloutReport Part;
  Part.DataCentre = From.DataCentre;
  Part.Service = From.Service;
  Part.Position = From.Position;
  Part.Target = toWire(From.Target);
  Part.Base = toWire(From.Base);
  Part.TargetServers = From.TargetServers;
  Part.OpenBaseServers = From.OpenBaseServers;
  Generated::RolloutMessage Result;
  Result.__set_FromDataCentre(Part);
  return Result;
}

SentProgress fromWire(const Generated::RolloutProgress &From) {
  const auto IsTime = [](std::int64_t Value) {
    return Value >= 0 && Value <= MaxTime.count();
  };
  if (From.Stage < 0 ||
      From.Stage > static_cast<std::int32_t>(Rollout::Stage::Completed) ||
      !IsTime(From.DurationMicros) || !IsTime(From.ElapsedMicros))
    throw Common::Error(ResultCode::FrameMalformed,
                        "stage or time of a roll-out is out of range");
  SentProgress Result;
  Result.Ordered = {From.Service, From.TargetVersion,
                    Common::Micros(From.DurationMicros), From.Position};
  Result.Reached = static_cast<Rollout::Stage>(From.Stage);
  Result.Elapsed = Common::Micros(From.ElapsedMicros);
  return Result;
}

RolloutNews fromWire(const Generated::RolloutNews &From) {
  RolloutNews Result{From.Node, From.FromCoordinator, {}};
  for (const Generated::RolloutProgress &Known : From.Known)
    Result.Known.push_back(fromWire(Known));
  return Result;
}

Rollout::NodeReport fromWire(const Generated::RolloutNodeReport &From) {
  return {From.Node,
          {From.Position, From.IsTarget, From.IsClosed},
          From.OpenCalls,
          fromWire(From.Calls)};
}

Rollout::Report fromWire(const Generated::RolloutReport &From) {
  Rollout::Report Result;
  Result.DataCentre = From.DataCentre;
  Result.Service = From.Service;
  Result.Position = From.Position;
  Result.Target = fromWire(From.Target);
  Result.Base = fromWire(From.Base);
  Result.TargetServers = From.TargetServers;
  Result.OpenBaseServers = From.OpenBaseServers;
  return Result;
}

} // namespace

std::string encodeRollout(const RolloutEnvelope &Content) {
  return std::visit([](const auto &Part) { return packCompact(wrap(Part)); },
                    Content);
}

RolloutEnvelope decodeRollout(std::string_view Bytes) {
  const auto From = unpackCompact<Generated::RolloutMessage>(
      Bytes, ResultCode::FrameMalformed);
  if (From.__isset.News)
    return fromWire(From.News);
  if (From.__isset.FromNode)
    return fromWire(From.FromNode);
  if (From.__isset.FromDataCentre)
    return fromWire(From.FromDataCentre);
  throw Common::Error(ResultCode::FrameMalformed,
                      "unknown roll-out message type");
}

} // namespace Wire
