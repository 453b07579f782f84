#include "Wire/Codec.h"

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Wire/CompactBytes.h"
#include "Wire/Compression.h"
#include "Zinnia_types.h"

namespace Wire {

namespace {

using Common::Error;
using Common::ResultCode;

constexpr std::size_t MaxSetBytes = 64 << 20;

Generated::Frame toWire(const Hello &From) {
  Generated::Hello Part;
  Part.Node = From.Node;
  Part.DataCentre = From.DataCentre;
  Part.ProtocolLevel = From.Level;
  Generated::Frame Result;
  Result.__set_HelloFrame(Part);
  return Result;
}

Generated::Frame toWire(const Routing::CallRequest &From) {
  // Filled in place, since the setters copy, and bodies may be large.
  Generated::Frame Result;
  Result.__isset.Request = true;
  Generated::CallRequest &Part = Result.Request;
  Part.CallId = From.Attempt;
  Part.Service = From.Service;
  Part.Kind = From.Kind;
  Part.Method = From.Method;
  Part.Target = From.Target;
  Part.Body = From.Body.str();
  Part.Headers = From.Fields;
  Part.RemainingMicros = From.Remaining.count();
  Part.AttemptsLeft = From.AttemptsLeft;
  Part.LongLane = From.LongLane;
  Part.CorrelationId = From.CorrelationId;
  Part.Caller = From.Caller;
  Part.ConfigVersion = From.ConfigVersion;
  Part.Idempotent = From.Idempotent;
  Part.TargetMicros = From.TargetTimeLeft.count();
  Part.TargetLengthMicros = From.TargetLatency.count();
  Part.Priority = From.Priority;
  if (From.WaitLimit)
    Part.__set_WaitLimitMicros(From.WaitLimit->count());
  Part.Server = From.Server;
  Part.Tenant = From.Tenant;
  Part.ExpectedCostMicros = From.ExpectedCost.count();
  return Result;
}

Generated::Frame toWire(Routing::CallReply From) {
  // Filled in place, since the setters copy, and bodies may be large.
  Generated::Frame Result;
  Result.__isset.Reply = true;
  Generated::CallReply &Part = Result.Reply;
  Part.CallId = From.Attempt;
  Part.Result = Common::resultCodeNumber(From.Result);
  Part.HttpStatus = From.HttpStatus;
  Part.Body = std::move(From.Body);
  Part.Headers = std::move(From.Fields);
  Part.Queued = From.Load.Queued;
  Part.BusySlots = From.Load.BusySlots;
  Part.Slots = From.Load.Slots;
  Part.QueueMicros = From.QueueTime.count();
  Part.ServiceMicros = From.ServiceTime.count();
  Part.Server = From.Server;
  Part.SlotMicros = From.Load.SlotTime.count();
  Part.FailurePercent = From.Load.FailurePercent;
  Part.BacklogMicros = From.Load.Backlog.count();
  Part.SlownessPercent = From.Load.SlownessPercent;
  return Result;
}

Generated::Frame toWire(const CancelCall &From) {
  Generated::CancelCall Part;
  Part.CallId = From.Attempt;
  Generated::Frame Result;
  Result.__set_Cancel(Part);
  return Result;
}

Generated::Frame toWire(const Echo &From) {
  Generated::Echo Part;
  Part.Sequence = From.Sequence;
  Part.IsAnswer = From.IsAnswer;
  Generated::Frame Result;
  Result.__set_EchoFrame(Part);
  return Result;
}

Generated::Frame toWire(const Envelope &From) {
  Generated::Envelope Part;
  Part.Service = From.Service;
  Part.Content = From.Content;
  Generated::Frame Result;
  Result.__set_EnvelopeFrame(Part);
  return Result;
}

Generated::Frame toWire(const LoadReport &From) {
  Generated::LoadReport Part;
  Part.Server = From.Server;
  Part.Queued = From.Load.Queued;
  Part.BusySlots = From.Load.BusySlots;
  Part.Slots = From.Load.Slots;
  Part.SlotMicros = From.Load.SlotTime.count();
  Part.FailurePercent = From.Load.FailurePercent;
  Part.BacklogMicros = From.Load.Backlog.count();
  Part.SlownessPercent = From.Load.SlownessPercent;
  Generated::Frame Result;
  Result.__set_Load(Part);
  return Result;
}

LoadReport fromWire(Generated::LoadReport &Part) {
  return {std::move(Part.Server),
          {.Queued = Part.Queued,
           .BusySlots = Part.BusySlots,
           .Slots = Part.Slots,
           .SlotTime = Common::Micros(Part.SlotMicros),
           .FailurePercent = Part.FailurePercent,
           .Backlog = Common::Micros(Part.BacklogMicros),
           .SlownessPercent = Part.SlownessPercent}};
}

Routing::CallRequest fromWire(Generated::CallRequest &Part) {
  Routing::CallRequest Result;
  Result.Attempt = Part.CallId;
  Result.Service = std::move(Part.Service);
  Result.Kind = std::move(Part.Kind);
  Result.Method = std::move(Part.Method);
  Result.Target = std::move(Part.Target);
  Result.Body = std::move(Part.Body);
  Result.Fields = std::move(Part.Headers);
  Result.Remaining = Common::Micros(Part.RemainingMicros);
  Result.AttemptsLeft = Part.AttemptsLeft;
  Result.LongLane = Part.LongLane;
  Result.Idempotent = Part.Idempotent;
  Result.TargetTimeLeft = Common::Micros(Part.TargetMicros);
  Result.TargetLatency = Common::Micros(Part.TargetLengthMicros);
  Result.Priority = Part.Priority;
  if (Part.__isset.WaitLimitMicros)
    Result.WaitLimit = Common::Micros(Part.WaitLimitMicros);
  Result.Server = std::move(Part.Server);
  Result.Tenant = std::move(Part.Tenant);
  Result.ExpectedCost = Common::Micros(Part.ExpectedCostMicros);
  Result.CorrelationId = std::move(Part.CorrelationId);
  Result.Caller = std::move(Part.Caller);
  Result.ConfigVersion = Part.ConfigVersion;
  return Result;
}

Routing::CallReply fromWire(Generated::CallReply &Part) {
  Routing::CallReply Result;
  Result.Attempt = Part.CallId;
  Result.Result = static_cast<ResultCode>(Part.Result);
  Result.HttpStatus = Part.HttpStatus;
  Result.Body = std::move(Part.Body);
  Result.Fields = std::move(Part.Headers);
  Result.Load = {.Queued = Part.Queued,
                 .BusySlots = Part.BusySlots,
                 .Slots = Part.Slots,
                 .SlotTime = Common::Micros(Part.SlotMicros),
                 .FailurePercent = Part.FailurePercent,
                 .Backlog = Common::Micros(Part.BacklogMicros),
                 .SlownessPercent = Part.SlownessPercent};
  Result.QueueTime = Common::Micros(Part.QueueMicros);
  Result.ServiceTime = Common::Micros(Part.ServiceMicros);
  Result.Server = std::move(Part.Server);
  return Result;
}

} // namespace

std::string encodeFrame(Frame Content) {
  return std::visit(
      [](auto &Part) { return packCompact(toWire(std::move(Part))); }, Content);
}

Frame decodeFrame(std::string_view Bytes) {
  auto Decoded =
      unpackCompact<Generated::Frame>(Bytes, ResultCode::FrameMalformed);
  if (Decoded.__isset.Request)
    return fromWire(Decoded.Request);
  if (Decoded.__isset.Reply)
    return fromWire(Decoded.Reply);
  if (Decoded.__isset.Cancel)
    return CancelCall{Decoded.Cancel.CallId};
  if (Decoded.__isset.EchoFrame)
    return Echo{Decoded.EchoFrame.Sequence, Decoded.EchoFrame.IsAnswer};
  if (Decoded.__isset.EnvelopeFrame)
    return Envelope{std::move(Decoded.EnvelopeFrame.Service),
                    std::move(Decoded.EnvelopeFrame.Content)};
  if (Decoded.__isset.Load)
    return fromWire(Decoded.Load);
  if (Decoded.__isset.HelloFrame)
    return Hello{std::move(Decoded.HelloFrame.Node),
                 std::move(Decoded.HelloFrame.DataCentre),
                 Decoded.HelloFrame.ProtocolLevel};
  throw Error(ResultCode::FrameMalformed, "unknown frame type");
}

std::string encodeRecord(const Config::Record &Content) {
  Generated::ConfigRecord Result;
  Result.Id = Content.Id;
  Result.Base = Content.Base;
  Result.Level = Content.Level;
  Result.Author = Content.Author;
  Result.Note = Content.Note;
  Result.CompressedSet = compress(Content.SetText);
  Result.Hash = static_cast<std::int64_t>(Common::hashOf(Content.SetText));
  return packCompact(Result);
}

Config::Record decodeRecord(std::string_view Bytes) {
  auto Decoded = unpackCompact<Generated::ConfigRecord>(
      Bytes, ResultCode::RecordMalformed);
  Config::Record Result;
  Result.Id = std::move(Decoded.Id);
  Result.Base = Decoded.Base;
  Result.Level = Decoded.Level;
  Result.Author = std::move(Decoded.Author);
  Result.Note = std::move(Decoded.Note);
  try {
    Result.SetText = decompress(Decoded.CompressedSet, MaxSetBytes);
  } catch (const Error &Failure) {
    throw Error(ResultCode::RecordMalformed, Failure.what());
  }
  if (static_cast<std::int64_t>(Common::hashOf(Result.SetText)) != Decoded.Hash)
    throw Error(ResultCode::RecordMalformed,
                "hash of the configuration set does not match");
  return Result;
}

} // namespace Wire
