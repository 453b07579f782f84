#include "Wire/OnceCodec.h"

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Common/Error.h"
#include "Once_types.h"

namespace Wire {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Common::Error;
using Common::ResultCode;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// The latest issue time, in milliseconds since the epoch, to which WallTime can
// still add a key window without overflow.
constexpr std::int64_t MaxIssuedMillis = 9'000'000'000'000;

template <class Struct> std::string pack(const Struct &Content) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  Protocol Out(Buffer);
  Content.write(&Out);
  return Buffer->getBufferAsString();
}

template <class Struct>
Struct unpack(std::string_view Bytes, ResultCode OnFailure) {
  // TMemoryBuffer takes a mutable pointer, but in OBSERVE mode it only reads.
  auto *Data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE);
  // Limits the sizes of strings and containers to the size of the input, so
  // that a corrupt length cannot cause a huge allocation.
  Protocol In(Buffer, static_cast<std::int32_t>(Bytes.size()),
              static_cast<std::int32_t>(Bytes.size()));
  Struct Content;
  try {
    Content.read(&In);
  } catch (const std::exception &Failure) {
    throw Error(OnFailure, Failure.what());
  }
  return Content;
}

Generated::OnceClaim toWire(const Once::Claim &From) {
  Generated::OnceClaim Result;
  Result.Key = From.Key;
  Result.Holder = From.Holder;
  Result.Fingerprint = static_cast<std::int64_t>(From.Fingerprint);
  Result.IssuedMillis = std::chrono::duration_cast<Common::Millis>(
                            From.IssuedAt.time_since_epoch())
                            .count();
  return Result;
}

Once::Claim fromWire(const Generated::OnceClaim &From, ResultCode OnFailure) {
  if (From.IssuedMillis < 0 || From.IssuedMillis > MaxIssuedMillis)
    throw Error(OnFailure, "claim issue time is out of range");
  Once::Claim Result;
  Result.Key = From.Key;
  Result.Holder = From.Holder;
  Result.Fingerprint = static_cast<std::uint64_t>(From.Fingerprint);
  Result.IssuedAt = Common::WallTime(Common::Millis(From.IssuedMillis));
  return Result;
}

Generated::OnceOutcome toWire(const Once::Outcome &From) {
  Generated::OnceOutcome Result;
  Result.Key = From.Key;
  Result.Holder = From.Holder;
  Result.Result = Common::resultCodeNumber(From.Result);
  Result.HttpStatus = From.HttpStatus;
  Result.Headers = From.Fields;
  Result.Body = From.Body;
  Result.WithoutBody = From.WithoutBody;
  return Result;
}

Once::Outcome fromWire(const Generated::OnceOutcome &From) {
  Once::Outcome Result;
  Result.Key = From.Key;
  Result.Holder = From.Holder;
  Result.Result = static_cast<ResultCode>(From.Result);
  Result.HttpStatus = From.HttpStatus;
  Result.Fields = From.Headers;
  Result.Body = From.Body;
  Result.WithoutBody = From.WithoutBody;
  return Result;
}

Generated::OnceMessage wrap(const ClaimRequest &From) {
  Generated::OnceAsk Part;
  Part.Wanted = toWire(From.RequestedClaim);
  Part.RemainingMicros = From.Remaining.count();
  Generated::OnceMessage Result;
  Result.__set_Ask(Part);
  return Result;
}

Generated::OnceMessage wrap(const Once::ClaimDecision &From) {
  Generated::OnceVerdict Part;
  Part.Holder = From.Holder;
  Part.Kind = static_cast<std::int32_t>(From.Kind);
  if (From.Recorded)
    Part.__set_Ended(toWire(*From.Recorded));
  Generated::OnceMessage Result;
  Result.__set_Told(Part);
  return Result;
}

Generated::OnceMessage wrap(const Once::Outcome &From) {
  Generated::OnceMessage Result;
  Result.__set_Ended(toWire(From));
  return Result;
}

Once::ClaimDecision fromWire(const Generated::OnceVerdict &From) {
  constexpr auto MaxKind =
      static_cast<std::int32_t>(Once::DecisionKind::Refused);
  if (From.Kind < 0 || From.Kind > MaxKind)
    throw Error(ResultCode::FrameMalformed,
                "kind of claim decision is out of range");
  Once::ClaimDecision Result;
  Result.Holder = From.Holder;
  Result.Kind = static_cast<Once::DecisionKind>(From.Kind);
  if (From.__isset.Ended)
    Result.Recorded = fromWire(From.Ended);
  return Result;
}

} // namespace

std::string encodeClaimsEnvelope(const ClaimsEnvelope &Content) {
  return std::visit([](const auto &Part) { return pack(wrap(Part)); }, Content);
}

ClaimsEnvelope decodeClaimsEnvelope(std::string_view Bytes) {
  const auto From =
      unpack<Generated::OnceMessage>(Bytes, ResultCode::FrameMalformed);
  if (From.__isset.Ask)
    return ClaimRequest{fromWire(From.Ask.Wanted, ResultCode::FrameMalformed),
                        Common::Micros(From.Ask.RemainingMicros)};
  if (From.__isset.Told)
    return fromWire(From.Told);
  if (From.__isset.Ended)
    return fromWire(From.Ended);
  throw Error(ResultCode::FrameMalformed, "unknown claims message type");
}

std::string encodeClaimBatch(const Once::Batch &Content) {
  Generated::OnceBatch Result;
  Result.Id = Content.Id;
  for (const Once::Claim &Claim : Content.Claims)
    Result.Claims.push_back(toWire(Claim));
  for (const Once::Outcome &Outcome : Content.Outcomes)
    Result.Outcomes.push_back(toWire(Outcome));
  return pack(Result);
}

Once::Batch decodeClaimBatch(std::string_view Bytes) {
  const auto From =
      unpack<Generated::OnceBatch>(Bytes, ResultCode::RecordMalformed);
  Once::Batch Result;
  Result.Id = From.Id;
  for (const Generated::OnceClaim &Claim : From.Claims)
    Result.Claims.push_back(fromWire(Claim, ResultCode::RecordMalformed));
  for (const Generated::OnceOutcome &Outcome : From.Outcomes)
    Result.Outcomes.push_back(fromWire(Outcome));
  return Result;
}

} // namespace Wire
