#include <random>

#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Wire/Codec.h"
#include "Wire/Compression.h"
#include "Wire/ConfigCodec.h"

BOOST_AUTO_TEST_SUITE(Codecs)

namespace {

Routing::CallRequest sampleRequest() {
  Routing::CallRequest Result;
  Result.Attempt = 1LL << 40;
  Result.Service = "s";
  Result.Target = "/a?b";
  Result.Body = std::string("\0\xff", 2);
  Result.Fields = {{"a", "b"}};
  Result.Remaining = Common::Micros(1234567);
  Result.AttemptsLeft = 2;
  Result.LongLane = true;
  Result.Idempotent = false;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(FramesRoundTrip) {
  const auto Request = std::get<Routing::CallRequest>(
      Wire::decodeFrame(Wire::encodeFrame(sampleRequest())));
  BOOST_TEST(Request.Attempt == 1LL << 40);
  BOOST_TEST(Request.Body == sampleRequest().Body);
  BOOST_TEST(Request.Fields.at("a") == "b");
  BOOST_TEST(Request.Remaining.count() == 1234567);
  BOOST_TEST(Request.LongLane);
  BOOST_TEST(!Request.Idempotent);

  const auto Echo = std::get<Wire::Echo>(
      Wire::decodeFrame(Wire::encodeFrame(Wire::Echo{7, true})));
  BOOST_TEST(Echo.Sequence == 7);
  BOOST_TEST(Echo.IsAnswer);
}

BOOST_AUTO_TEST_CASE(RepliesAboutTheConfigurationKeepTheEra) {
  Config::SetSnapshot Snapshot;
  Snapshot.SetVersion = 5;
  Snapshot.SourceEra = 3;
  const auto Decoded = std::get<Config::SetSnapshot>(
      Wire::decodeReplication(Wire::encodeReplication(Snapshot)));
  BOOST_TEST((Decoded.SourceEra == 3));
  Config::HeldVersion Held{"n", 5, true, std::nullopt};
  const auto RoundTrip = [&Held] {
    return std::get<Config::HeldVersion>(
        Wire::decodeReplication(Wire::encodeReplication(Held)));
  };
  BOOST_TEST(!RoundTrip().SourceEra.has_value());
  Held.SourceEra = 0;
  BOOST_TEST((RoundTrip().SourceEra == 0));
}

BOOST_AUTO_TEST_CASE(RecordsRoundTripAndRejectDamage) {
  Config::Record Proposal;
  Proposal.Id = "id";
  Proposal.Base = 5;
  Proposal.SetText = "[service s]\n";
  const std::string Bytes = Wire::encodeRecord(Proposal);
  BOOST_TEST(Wire::decodeRecord(Bytes).SetText == Proposal.SetText);
  BOOST_CHECK_THROW(Wire::decodeRecord(Bytes.substr(0, Bytes.size() / 2)),
                    Common::Error);
}

// Input from the network either decodes or throws an Error with the documented
// code. It never crashes the process or throws anything else.
BOOST_AUTO_TEST_CASE(DecodesOrRejectsMutatedAndRandomBytes) {
  std::mt19937_64 Random(20261204);
  const std::string ValidBytes = Wire::encodeFrame(sampleRequest());
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = ValidBytes;
    if (Round % 2 == 0)
      Bytes.resize(Random() % 100);
    for (std::size_t Change = 0; Change <= Random() % 8; ++Change)
      if (!Bytes.empty())
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    try {
      Wire::decodeFrame(Bytes);
    } catch (const Common::Error &Failure) {
      BOOST_REQUIRE((Failure.code() == Common::ResultCode::FrameMalformed));
    }
    try {
      Wire::decodeRecord(Bytes);
    } catch (const Common::Error &Failure) {
      BOOST_REQUIRE((Failure.code() == Common::ResultCode::RecordMalformed));
    }
  }
}

BOOST_AUTO_TEST_CASE(PatchReproducesTheUpdatedTextAndIsSmall) {
  std::string Base;
  for (int Line = 0; Line < 20'000; ++Line)
    Base += std::to_string(Line * 7919) + "\n";
  std::string Updated = Base;
  Updated.replace(50'000, 5, "other");
  Updated.insert(90'000, "one more line\n");
  const std::string Patch = Wire::makePatch(Base, Updated);
  BOOST_TEST(Patch.size() < 200);
  BOOST_TEST(Wire::applyPatch(Base, Patch, Updated.size()) == Updated);
  BOOST_TEST(Wire::applyPatch("", Wire::makePatch("", "text"), 4) == "text");
}

BOOST_AUTO_TEST_CASE(RejectsCorruptPatches) {
  const std::string Patch = Wire::makePatch("some base", "some newer text");
  BOOST_CHECK_THROW(Wire::applyPatch("some base", Patch, 5), Common::Error);
  BOOST_CHECK_THROW(Wire::applyPatch("some base", "", 100), Common::Error);
  BOOST_CHECK_THROW(
      Wire::applyPatch("some base", Patch.substr(0, Patch.size() - 3), 100),
      Common::Error);
}

BOOST_AUTO_TEST_SUITE_END()
