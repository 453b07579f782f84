#include "Wire/MembersCodec.h"

#include "Members_types.h"
#include "Wire/CompactBytes.h"

namespace Wire {

namespace {

using Common::Error;
using Common::ResultCode;
using namespace Membership;

std::int64_t toMicros(Common::WallTime Time) {
  return std::chrono::duration_cast<Common::Micros>(Time.time_since_epoch())
      .count();
}

// Throws FrameMalformed if WallTime cannot hold the time.
Common::WallTime fromMicros(std::int64_t Micros) {
  constexpr auto Max = std::chrono::duration_cast<Common::Micros>(
      Common::WallTime::duration::max());
  if (Micros < 0 || Micros > Max.count())
    throw Error(ResultCode::FrameMalformed, "time is out of range");
  return Common::WallTime(Common::Micros(Micros));
}

Generated::MemberState toWire(const Member &From) {
  Generated::MemberState Result;
  Result.Node = From.Node;
  Result.DataCentre = From.DataCentre;
  Result.Address = From.Address;
  Result.PeerPort = From.PeerPort;
  Result.MemberPort = From.MemberPort;
  Result.ControlPort = From.ControlPort;
  Result.Incarnation = From.Incarnation;
  Result.Health = static_cast<std::int32_t>(From.State);
  Result.ConfigVersion = From.ConfigVersion;
  for (const Endpoint &Source : From.Endpoints) {
    Generated::EndpointState Part;
    Part.Service = Source.Service;
    Part.Server = Source.Server;
    Part.Slots = Source.Slots;
    Part.Leaving = Source.Leaving;
    Part.Version = Source.Version;
    Result.Endpoints.push_back(std::move(Part));
  }
  if (From.Departed) {
    Generated::DepartedServerState Part;
    Part.Server = From.Departed->Server;
    Part.LastStartMicros = toMicros(From.Departed->LastStart);
    Part.ReceivedAtMicros = toMicros(From.Departed->ReceivedAt);
    Result.__set_Departed(Part);
  }
  return Result;
}

Member fromWire(const Generated::MemberState &From) {
  if (From.Health < static_cast<int>(Health::Alive) ||
      From.Health > static_cast<int>(Health::Left))
    throw Error(ResultCode::FrameMalformed, "member health is out of range");
  Member Result;
  Result.Node = From.Node;
  Result.DataCentre = From.DataCentre;
  Result.Address = From.Address;
  Result.PeerPort = From.PeerPort;
  Result.MemberPort = From.MemberPort;
  Result.ControlPort = From.ControlPort;
  Result.Incarnation = From.Incarnation;
  Result.State = static_cast<Health>(From.Health);
  Result.ConfigVersion = From.ConfigVersion;
  for (const Generated::EndpointState &Part : From.Endpoints)
    Result.Endpoints.push_back(
        {Part.Service, Part.Server, Part.Slots, Part.Leaving, Part.Version});
  if (From.__isset.Departed)
    Result.Departed = DepartedServer{
        From.Departed.Server, fromMicros(From.Departed.LastStartMicros),
        fromMicros(From.Departed.ReceivedAtMicros)};
  return Result;
}

// Sets the member of the Thrift union that matches the type of the body.
struct BodyWriter {
  Generated::MemberBody &To;

  void operator()(const Probe &From) const {
    Generated::MemberProbe Part;
    Part.Sequence = From.Sequence;
    Part.Target = From.Target;
    To.__set_Probe(Part);
  }
  void operator()(const ProbeRequest &From) const {
    Generated::MemberProbeRequest Part;
    Part.Sequence = From.Sequence;
    Part.Target = From.Target;
    Part.TargetAddress = From.TargetSocketAddress.Address;
    Part.TargetPort = From.TargetSocketAddress.Port;
    To.__set_ProbeRequest(Part);
  }
  void operator()(const Ack &From) const {
    Generated::MemberAck Part;
    Part.Sequence = From.Sequence;
    To.__set_Ack(Part);
  }
  void operator()(const Gossip &) const { To.__set_Gossip({}); }
  void operator()(const ListRequest &From) const {
    Generated::MemberListRequest Part;
    Part.After = From.After;
    To.__set_ListRequest(Part);
  }
  void operator()(const ListPiece &From) const {
    Generated::MemberListPiece Part;
    Part.LastName = From.LastName;
    Part.IsLast = From.IsLast;
    To.__set_ListPiece(Part);
  }
  void operator()(const Summary &) const { To.__set_Summary({}); }
};

DatagramBody fromWire(const Generated::MemberBody &From) {
  if (From.__isset.Probe)
    return Probe{From.Probe.Sequence, From.Probe.Target};
  if (From.__isset.ProbeRequest)
    return ProbeRequest{
        From.ProbeRequest.Sequence,
        From.ProbeRequest.Target,
        {From.ProbeRequest.TargetAddress, From.ProbeRequest.TargetPort}};
  if (From.__isset.Ack)
    return Ack{From.Ack.Sequence};
  if (From.__isset.Gossip)
    return Gossip{};
  if (From.__isset.ListRequest)
    return ListRequest{From.ListRequest.After};
  if (From.__isset.ListPiece)
    return ListPiece{From.ListPiece.LastName, From.ListPiece.IsLast};
  if (From.__isset.Summary)
    return Summary{};
  throw Error(ResultCode::FrameMalformed, "unknown datagram type");
}

} // namespace

std::string encodeDatagram(const Datagram &Content) {
  Generated::MemberDatagram Result;
  Result.From = Content.From;
  Result.DataCentre = Content.DataCentre;
  Result.Address = Content.ReplyTo.Address;
  Result.Port = Content.ReplyTo.Port;
  Result.Incarnation = Content.Incarnation;
  Result.ConfigVersion = Content.ConfigVersion;
  Result.Digest = static_cast<std::int64_t>(Content.Digest);
  std::visit(BodyWriter{Result.Body}, Content.Body);
  for (const Member &Update : Content.Updates)
    Result.Updates.push_back(toWire(Update));
  return packCompact(Result);
}

Datagram decodeDatagram(std::string_view Bytes) {
  const auto Decoded = unpackCompact<Generated::MemberDatagram>(
      Bytes, ResultCode::FrameMalformed);
  Datagram Result;
  Result.From = Decoded.From;
  Result.DataCentre = Decoded.DataCentre;
  Result.ReplyTo = {Decoded.Address, Decoded.Port};
  Result.Incarnation = Decoded.Incarnation;
  Result.ConfigVersion = Decoded.ConfigVersion;
  Result.Digest = static_cast<std::uint64_t>(Decoded.Digest);
  Result.Body = fromWire(Decoded.Body);
  for (const Generated::MemberState &Update : Decoded.Updates)
    Result.Updates.push_back(fromWire(Update));
  return Result;
}

} // namespace Wire
