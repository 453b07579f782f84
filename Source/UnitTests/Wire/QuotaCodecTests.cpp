#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Wire/QuotaCodec.h"

BOOST_AUTO_TEST_SUITE(QuotaCodecs)

namespace {

template <class Message> Message roundTrip(const Message &Content) {
  return std::get<Message>(
      Wire::decodeQuotaEnvelope(Wire::encodeQuotaEnvelope(Content)));
}

} // namespace

BOOST_AUTO_TEST_CASE(NodeReportsRoundTrip) {
  const Tenants::NodeReport Sent{"n",
                                 Common::Micros(500'000),
                                 {{0xfedcba98, 7, 5}, {3, 1, -2}},
                                 {{9, 0.25}}};
  const Tenants::NodeReport Received = roundTrip(Sent);
  BOOST_TEST(Received.Node == "n");
  BOOST_TEST((Received.Period == Sent.Period));
  BOOST_TEST((Received.Counts == Sent.Counts));
  BOOST_TEST((Received.Limited == Sent.Limited));
}

BOOST_AUTO_TEST_CASE(GrantsRoundTrip) {
  const Tenants::Grants Sent{{{1, 12.5}, {2, 0}}};
  BOOST_TEST((roundTrip(Sent).Limited == Sent.Limited));
  BOOST_TEST(roundTrip(Tenants::Grants()).Limited.empty());
}

BOOST_AUTO_TEST_CASE(DataCentreReportsRoundTrip) {
  const Tenants::DataCentreReport Received = roundTrip(
      Tenants::DataCentreReport{"a", "n", {{5, 1.5, 0.75, 9'000'000'000}}});
  BOOST_TEST(Received.DataCentre == "a");
  BOOST_TEST(Received.Node == "n");
  BOOST_REQUIRE(Received.Rates.size() == 1U);
  BOOST_TEST(Received.Rates[0].Tenant == 5U);
  BOOST_TEST(Received.Rates[0].DemandPerSecond == 1.5);
  BOOST_TEST(Received.Rates[0].AdmittedPerSecond == 0.75);
  BOOST_TEST(Received.Rates[0].AdmittedTotal == 9'000'000'000);
}

BOOST_AUTO_TEST_CASE(RejectsCorruptedMessages) {
  const std::string Valid = Wire::encodeQuotaEnvelope(Tenants::NodeReport{
      "n", Common::Micros(500'000), {{1, 7, 5}, {3, 1, 1}}, {{9, 0.25}}});
  for (std::size_t Length = 0; Length < Valid.size(); ++Length)
    BOOST_CHECK_THROW(Wire::decodeQuotaEnvelope(Valid.substr(0, Length)),
                      Common::Error);
}

BOOST_AUTO_TEST_SUITE_END()
