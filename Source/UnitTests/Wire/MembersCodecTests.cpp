#include <random>

#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Wire/MembersCodec.h"

BOOST_AUTO_TEST_SUITE(MembersCodecs)

namespace {

using namespace Membership;

Member sampleMember() {
  return {.Node = "node",
          .DataCentre = "leicester",
          .Address = "10.200.200.200",
          .PeerPort = 65535,
          .MemberPort = 65535,
          .ControlPort = 65535,
          .Incarnation = INT64_MAX,
          .State = Health::Suspect,
          .Endpoints = {{"service", "server", INT32_MAX, true}},
          .ConfigVersion = INT64_MAX};
}

Datagram sampleDatagram(DatagramBody Body) {
  return {.From = "node",
          .DataCentre = "leicester",
          .ReplyTo = {"10.200.200.200", 65535},
          .Incarnation = INT64_MAX,
          .ConfigVersion = INT64_MAX,
          .Digest = UINT64_MAX / 2,
          .Body = std::move(Body),
          .Updates = {sampleMember(), sampleMember()}};
}

const std::vector<DatagramBody> AllBodies = {
    Probe{INT64_MAX, "target"},
    ProbeRequest{INT64_MAX, "target", {"10.200.200.201", 65535}},
    Ack{INT64_MAX},
    Gossip{},
    ListRequest{"after"},
    ListPiece{"last", true},
    Summary{}};

} // namespace

BOOST_AUTO_TEST_CASE(DatagramsRoundTripWithinTheirSizeLimit) {
  for (const DatagramBody &Body : AllBodies) {
    const Datagram Sent = sampleDatagram(Body);
    const std::string Bytes = Wire::encodeDatagram(Sent);
    BOOST_TEST(Bytes.size() <=
               maxEncodedHeaderSize(Sent) + 2 * maxEncodedSize(sampleMember()));
    const Datagram Decoded = Wire::decodeDatagram(Bytes);
    BOOST_TEST(Decoded.Body.index() == Body.index());
    BOOST_TEST((Decoded.Updates == Sent.Updates));
    BOOST_TEST(Decoded.Digest == Sent.Digest);
    BOOST_TEST(Wire::encodeDatagram(Decoded) == Bytes);
  }
}

BOOST_AUTO_TEST_CASE(DecodesOrRejectsMutatedDatagrams) {
  std::mt19937_64 Random(20261204);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Wire::encodeDatagram(
        sampleDatagram(AllBodies[Random() % AllBodies.size()]));
    for (std::size_t Change = 0; Change <= Random() % 8; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    try {
      Wire::decodeDatagram(Bytes);
    } catch (const Common::Error &Failure) {
      BOOST_REQUIRE((Failure.code() == Common::ResultCode::FrameMalformed));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
