#include "Membership/Datagram.h"

#include <array>

namespace Membership {

namespace {

// Bytes for the field headers, lengths and integers of the encoded structs.
constexpr std::size_t MemberOverhead = 64;
constexpr std::size_t EndpointOverhead = 20;
constexpr std::size_t DepartureOverhead = 32;
constexpr std::size_t HeaderOverhead = 96;

std::size_t bodyBytes(const DatagramBody &Body) {
  if (const auto *Request = std::get_if<Probe>(&Body))
    return Request->Target.size();
  if (const auto *Request = std::get_if<ProbeRequest>(&Body))
    return Request->Target.size() + Request->TargetSocketAddress.Address.size();
  if (const auto *Request = std::get_if<ListRequest>(&Body))
    return Request->After.size();
  if (const auto *Piece = std::get_if<ListPiece>(&Body))
    return Piece->LastName.size();
  return 0;
}

} // namespace

std::string kindName(const DatagramBody &Body) {
  static const std::array<const char *, std::variant_size_v<DatagramBody>>
      Names = {"probe",        "probe-request", "ack",    "gossip",
               "list-request", "list-piece",    "summary"};
  return Names.at(Body.index());
}

std::size_t maxEncodedSize(const Member &Update) {
  std::size_t Result = MemberOverhead + Update.Node.size() +
                       Update.DataCentre.size() + Update.Address.size();
  for (const Endpoint &Server : Update.Endpoints)
    Result += EndpointOverhead + Server.Service.size() + Server.Server.size();
  if (Update.Departed)
    Result += DepartureOverhead + Update.Departed->Server.size();
  return Result;
}

std::size_t maxEncodedHeaderSize(const Datagram &Content) {
  return HeaderOverhead + Content.From.size() + Content.DataCentre.size() +
         Content.ReplyTo.Address.size() + bodyBytes(Content.Body);
}

} // namespace Membership
