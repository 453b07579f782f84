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

int randomBelow(std::mt19937_64 &Random, int Limit) {
  return static_cast<int>(Random() % static_cast<unsigned>(Limit));
}

// Returns a log with concurrent publishers, repeated appends after a lost
// answer, wrong bases and invalid sets.
std::vector<Record> makeLog(std::mt19937_64 &Random) {
  std::vector<Record> Log;
  for (int Index = 0; Index < RecordsInRound; ++Index) {
    if (!Log.empty() && randomBelow(Random, 4) == 0) {
      Log.push_back(Log[randomBelow(Random, static_cast<int>(Log.size()))]);
      continue;
    }
    Record Proposal;
    Proposal.Id = "id-" + std::to_string(Index);
    Proposal.Base = std::max(0, Index + 2 - randomBelow(Random, 6));
    Proposal.SetText = "[service s" + std::to_string(Index) + "]\n";
    if (randomBelow(Random, 8) == 0)
      Proposal.SetText += "fallback = nowhere\n";
    Log.push_back(Proposal);
  }
  return Log;
}

bool applyRecord(AcceptedHistory &Reader, const std::vector<Record> &Log,
                 Version Offset) {
  const auto Result = Reader.apply(Offset, Log[Offset - 1]);
  return Result && Result->isAccepted();
}

Checkpoint checkpointOf(std::mt19937_64 &Random,
                        const AcceptedHistory &History) {
  std::vector<CheckpointChunk> Chunks = splitCheckpoint("c", History, 5);
  std::shuffle(Chunks.begin(), Chunks.end(), Random);
  CheckpointAssembler Assembler;
  for (const CheckpointChunk &Chunk : Chunks)
    Assembler.addChunk(Wire::decodeChunk(Wire::encodeChunk(Chunk)));
  BOOST_REQUIRE(Assembler.newest().has_value());
  return *Assembler.newest();
}

// Runs a reader that applies the log with repeated records and, at random,
// restarts from a checkpoint or adopts a newer set. After each step its state
// has to match the expected history at the same offset.
void checkRandomReader(std::mt19937_64 &Random, const std::vector<Record> &Log,
                       const std::vector<AcceptedHistory> &Expected) {
  AcceptedHistory Reader;
  Version Highest = 0;
  const auto End = static_cast<Version>(Log.size());
  for (Version Offset = 1; Offset <= End; Offset = Reader.lastOffset() + 1) {
    const AcceptedHistory &Source =
        Expected[Offset + randomBelow(Random, 5) % (End + 1 - Offset)];
    switch (randomBelow(Random, 12)) {
    case 0:
      if (Source.current().Set) {
        Reader = AcceptedHistory();
        Reader.restore(checkpointOf(Random, Source));
      }
      break;
    case 1:
      Reader.adopt(Source.current());
      break;
    case 2:
      applyRecord(Reader, Log,
                  1 + randomBelow(Random, static_cast<int>(Offset)));
      break;
    default:
      applyRecord(Reader, Log, Offset);
    }
    BOOST_REQUIRE(Reader.current().SetVersion >= Highest);
    Highest = Reader.current().SetVersion;
    const AcceptedHistory &ExpectedHistory = Expected[Reader.lastOffset()];
    BOOST_REQUIRE(Reader.current().SetVersion ==
                  ExpectedHistory.current().SetVersion);
    if (Highest > 0)
      BOOST_REQUIRE(Reader.current().Set->canonicalText() ==
                    ExpectedHistory.current().Set->canonicalText());
  }
}

std::string mutate(std::mt19937_64 &Random, std::string Bytes) {
  for (int Mutations = 1 + randomBelow(Random, 4);
       Mutations > 0 && !Bytes.empty(); --Mutations) {
    const int Offset = randomBelow(Random, static_cast<int>(Bytes.size()));
    switch (randomBelow(Random, 3)) {
    case 0:
      Bytes[Offset] = static_cast<char>(Random());
      break;
    case 1:
      Bytes.erase(Offset, 1 + randomBelow(Random, 8));
      break;
    default:
      Bytes.insert(Offset, Bytes.substr(randomBelow(Random, Offset + 1), 8));
    }
  }
  return Bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryReaderDerivesTheSameHistory) {
  for (int Seed = 1; Seed <= Rounds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      std::mt19937_64 Random(Seed);
      const std::vector<Record> Log = makeLog(Random);
      std::vector<AcceptedHistory> Expected(1);
      for (std::size_t Offset = 1; Offset <= Log.size(); ++Offset) {
        Expected.push_back(Expected.back());
        applyRecord(Expected.back(), Log, static_cast<Version>(Offset));
      }
      for (int Reader = 0; Reader < 4; ++Reader)
        checkRandomReader(Random, Log, Expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnIncompleteOrDamagedCheckpointIsNeverReturned) {
  AcceptedHistory History;
  Record Proposal;
  Proposal.Id = "a";
  Proposal.SetText = "[service one]\n[service two]\n";
  History.apply(1, Proposal);
  const std::vector<CheckpointChunk> Chunks = splitCheckpoint("c", History, 7);
  BOOST_REQUIRE(Chunks.size() > 2);
  for (std::size_t Missing = 0; Missing < Chunks.size(); ++Missing) {
    CheckpointAssembler Assembler;
    for (std::size_t Index = 0; Index < Chunks.size(); ++Index)
      if (Index != Missing)
        Assembler.addChunk(Chunks[Index]);
    BOOST_TEST(!Assembler.newest().has_value());
    CheckpointChunk Damaged = Chunks[Missing];
    Damaged.Content.back() = '#';
    BOOST_TEST(
        (Assembler.addChunk(Damaged) == Common::ResultCode::CheckpointDamaged));
    BOOST_TEST(!Assembler.newest().has_value());
  }
}

BOOST_AUTO_TEST_CASE(MutatedBytesAreRejectedOrParsed) {
  Record Proposal;
  Proposal.Id = "id";
  Proposal.SetText = "[service a]\n[retry r]\nattempts = 2\n[kind k]\n"
                     "idempotent = yes\ndeadline = 1s\nretry = r\n"
                     "[route p]\nprefix = /p\nservice = a\nkind = k\n";
  const std::string Bytes = Wire::encodeRecord(Proposal);
  int ValidCount = 0;
  for (int Seed = 1; Seed <= 20'000; ++Seed) {
    std::mt19937_64 Random(Seed);
    ObjectSetBuilder Builder;
    Builder.input("fuzz", mutate(Random, Proposal.SetText));
    if (Builder.faults().empty()) {
      const std::string Text = Builder.build()->canonicalText();
      ObjectSetBuilder Reparsed;
      Reparsed.input("again", Text);
      BOOST_REQUIRE(Reparsed.build()->canonicalText() == Text);
      ++ValidCount;
    }
    try {
      Wire::decodeRecord(mutate(Random, Bytes));
    } catch (const Common::Error &Failure) {
      BOOST_REQUIRE((Failure.code() == Common::ResultCode::RecordMalformed));
    }
  }
  BOOST_TEST(ValidCount > 100);
}

BOOST_AUTO_TEST_SUITE_END()
