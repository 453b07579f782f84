#include "Membership/Datagram.h"

#include <array>

namespace Membership {

namespace {

// Field headers, lengths and numbers of the encoded structs.
constexpr std::size_t MemberOverhead = 64;
constexpr std::size_t EndpointOverhead = 20;
constexpr std::size_t HeaderOverhead = 96;

std::size_t bodyBytes(const DatagramBody &Body) {
  if (const auto *Asked = std::get_if<Probe>(&Body))
    return Asked->Target.size();
  if (const auto *Asked = std::get_if<ProbeRequest>(&Body))
    return Asked->Target.size() + Asked->TargetPlace.Address.size();
  if (const auto *Asked = std::get_if<ListRequest>(&Body))
    return Asked->After.size();
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

std::size_t encodedLimit(const Member &Update) {
  std::size_t Result = MemberOverhead + Update.Node.size() +
                       Update.DataCentre.size() + Update.Address.size();
  for (const Endpoint &Each : Update.Endpoints)
    Result += EndpointOverhead + Each.Service.size() + Each.Server.size();
  return Result;
}

std::size_t encodedLimitOfHeader(const Datagram &Content) {
  return HeaderOverhead + Content.From.size() + Content.DataCentre.size() +
         Content.ReplyTo.Address.size() + bodyBytes(Content.Body);
}

} // namespace Membership
