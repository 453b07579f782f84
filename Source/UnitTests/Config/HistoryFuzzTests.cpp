#include <random>

#include <boost/test/unit_test.hpp>

#include "Common/Error.h"
#include "Config/Checkpoint.h"
#include "Config/ObjectSetBuilder.h"
#include "Wire/Codec.h"
#include "Wire/ConfigCodec.h"

BOOST_AUTO_TEST_SUITE(HistoryFuzz)

namespace {

using namespace Config;

constexpr int Rounds = 400;
constexpr int RecordsInRound = 40;

int below(std::mt19937_64 &Random, int Limit) {
  return static_cast<int>(Random() % static_cast<unsigned>(Limit));
}

// Publishers that race, lose answers, append again and name odd bases.
std::vector<Record> makeLog(std::mt19937_64 &Random) {
  std::vector<Record> Log;
  for (int I = 0; I < RecordsInRound; ++I) {
    if (!Log.empty() && below(Random, 4) == 0) {
      Log.push_back(Log[below(Random, static_cast<int>(Log.size()))]);
      continue;
    }
    Record Next;
    Next.Id = "id-" + std::to_string(I);
    Next.Base = std::max(0, I + 2 - below(Random, 6));
    Next.SetText = "[service s" + std::to_string(I) + "]\n";
    if (below(Random, 8) == 0)
      Next.SetText += "fallback = nowhere\n";
    Log.push_back(Next);
  }
  return Log;
}

bool applyAt(AcceptedHistory &Reader, const std::vector<Record> &Log,
             Version Offset) {
  const auto Judged = Reader.apply(Offset, Log[Offset - 1]);
  return Judged && Judged->isAccepted();
}

Checkpoint checkpointOf(std::mt19937_64 &Random,
                        const AcceptedHistory &History) {
  std::vector<CheckpointChunk> Chunks = splitCheckpoint("c", History, 5);
  std::shuffle(Chunks.begin(), Chunks.end(), Random);
  CheckpointAssembler Whole;
  for (const CheckpointChunk &Each : Chunks)
    Whole.take(Wire::decodeChunk(Wire::encodeChunk(Each)));
  BOOST_REQUIRE(Whole.newest().has_value());
  return *Whole.newest();
}

// Reads the log with repeated deliveries, and now and then begins anew from a
// checkpoint or a set of the full reader.
void checkReader(std::mt19937_64 &Random, const std::vector<Record> &Log,
                 const std::vector<AcceptedHistory> &Full) {
  AcceptedHistory Reader;
  Version Highest = 0;
  const auto End = static_cast<Version>(Log.size());
  for (Version At = 1; At <= End; At = Reader.lastOffset() + 1) {
    const AcceptedHistory &Other = Full[At + below(Random, 5) % (End + 1 - At)];
    switch (below(Random, 12)) {
    case 0:
      if (Other.current().Set) {
        Reader = AcceptedHistory();
        Reader.restore(checkpointOf(Random, Other));
      }
      break;
    case 1:
      Reader.adopt(Other.current());
      break;
    case 2:
      applyAt(Reader, Log, 1 + below(Random, static_cast<int>(At)));
      break;
    default:
      applyAt(Reader, Log, At);
    }
    BOOST_REQUIRE(Reader.current().Number >= Highest);
    Highest = Reader.current().Number;
    const AcceptedHistory &Same = Full[Reader.lastOffset()];
    BOOST_REQUIRE(Reader.current().Number == Same.current().Number);
    if (Highest > 0)
      BOOST_REQUIRE(Reader.current().Set->canonicalText() ==
                    Same.current().Set->canonicalText());
  }
}

std::string mutate(std::mt19937_64 &Random, std::string Bytes) {
  for (int Times = 1 + below(Random, 4); Times > 0 && !Bytes.empty(); --Times) {
    const int At = below(Random, static_cast<int>(Bytes.size()));
    switch (below(Random, 3)) {
    case 0:
      Bytes[At] = static_cast<char>(Random());
      break;
    case 1:
      Bytes.erase(At, 1 + below(Random, 8));
      break;
    default:
      Bytes.insert(At, Bytes.substr(below(Random, At + 1), 8));
    }
  }
  return Bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryReaderFoldsTheSameHistory) {
  for (int Seed = 1; Seed <= Rounds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      std::mt19937_64 Random(Seed);
      const std::vector<Record> Log = makeLog(Random);
      std::vector<AcceptedHistory> Full(1);
      for (std::size_t At = 1; At <= Log.size(); ++At) {
        Full.push_back(Full.back());
        applyAt(Full.back(), Log, static_cast<Version>(At));
      }
      for (int Reader = 0; Reader < 4; ++Reader)
        checkReader(Random, Log, Full);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnIncompleteOrDamagedCheckpointIsNeverGivenOut) {
  AcceptedHistory History;
  Record Proposal;
  Proposal.Id = "a";
  Proposal.SetText = "[service one]\n[service two]\n";
  History.apply(1, Proposal);
  const std::vector<CheckpointChunk> Chunks = splitCheckpoint("c", History, 7);
  BOOST_REQUIRE(Chunks.size() > 2);
  for (std::size_t Missing = 0; Missing < Chunks.size(); ++Missing) {
    CheckpointAssembler Part;
    for (std::size_t I = 0; I < Chunks.size(); ++I)
      if (I != Missing)
        Part.take(Chunks[I]);
    BOOST_TEST(!Part.newest().has_value());
    CheckpointChunk Damaged = Chunks[Missing];
    Damaged.Content.back() = '#';
    BOOST_TEST((Part.take(Damaged) == Common::ResultCode::CheckpointDamaged));
    BOOST_TEST(!Part.newest().has_value());
  }
}

BOOST_AUTO_TEST_CASE(MutatedBytesAreRefusedOrRead) {
  Record Proposal;
  Proposal.Id = "id";
  Proposal.SetText = "[service a]\n[retry r]\nattempts = 2\n[kind k]\n"
                     "idempotent = yes\ndeadline = 1s\nretry = r\n"
                     "[route p]\nprefix = /p\nservice = a\nkind = k\n";
  const std::string Bytes = Wire::encodeRecord(Proposal);
  int Sound = 0;
  for (int Seed = 1; Seed <= 20'000; ++Seed) {
    std::mt19937_64 Random(Seed);
    ObjectSetBuilder Builder;
    Builder.input("fuzz", mutate(Random, Proposal.SetText));
    if (Builder.faults().empty()) {
      const std::string Text = Builder.build()->canonicalText();
      ObjectSetBuilder Again;
      Again.input("again", Text);
      BOOST_REQUIRE(Again.build()->canonicalText() == Text);
      ++Sound;
    }
    try {
      Wire::decodeRecord(mutate(Random, Bytes));
    } catch (const Common::Error &Failure) {
      BOOST_REQUIRE((Failure.code() == Common::ResultCode::RecordMalformed));
    }
  }
  BOOST_TEST(Sound > 100);
}

BOOST_AUTO_TEST_SUITE_END()
