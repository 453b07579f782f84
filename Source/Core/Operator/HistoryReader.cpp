#include "Operator/HistoryReader.h"

#include "Common/Error.h"
#include "Config/Checkpoint.h"
#include "Wire/Codec.h"
#include "Wire/ConfigCodec.h"

namespace Operator {

using Common::Error;
using Common::ResultCode;

HistoryReader::HistoryReader(SyncHttp &Transport, LogPlace Place)
    : Transport(Transport), Place(std::move(Place)) {
  Texts.emplace(0, "");
}

void HistoryReader::readMore(Common::Micros Wait) {
  const OwnLog::ReadResult Result =
      Transport.read(Place.Url, Place.Stream, History.lastOffset() + 1, Wait);
  if (Result.Code == ResultCode::LogOffsetExpired) {
    loadCheckpoint(Result.FirstOffset);
    readMore(Wait);
    return;
  }
  if (Result.Code != ResultCode::Ok)
    throw Error(Result.Code, Result.Detail);
  LogEnd = Result.NextOffset;
  for (const OwnLog::LogRecord &Each : Result.Records)
    take(Each);
}

void HistoryReader::catchUp() {
  do
    readMore(Common::Micros(0));
  while (History.lastOffset() + 1 < LogEnd);
}

void HistoryReader::take(const OwnLog::LogRecord &Taken) {
  JudgedRecord Kept;
  std::optional<Config::Verdict> Judged;
  try {
    const Config::Record Proposal = Wire::decodeRecord(Taken.Content);
    Kept.SetText = Proposal.SetText;
    Judged = History.apply(Taken.RecordOffset, Proposal);
  } catch (const Error &Failure) {
    Judged = History.applyMalformed(Taken.RecordOffset, Failure.what());
  }
  if (!Judged)
    return;
  if (Judged->Code == ResultCode::RuleLevelUnknown)
    throw Error(Judged->Code, "record " + std::to_string(Taken.RecordOffset) +
                                  ": " + Judged->Detail);
  if (Judged->isAccepted())
    Texts[Taken.RecordOffset] = History.current().Set->canonicalText();
  Kept.Judged = *Judged;
  Records.emplace(Taken.RecordOffset, std::move(Kept));
}

void HistoryReader::loadCheckpoint(Config::Version ConfigFirst) {
  Config::CheckpointAssembler Whole;
  OwnLog::Offset From = 1;
  for (bool More = true; More;) {
    const OwnLog::ReadResult Result = Transport.read(
        Place.Url, Place.CheckpointStream, From, Common::Micros(0));
    if (Result.Code == ResultCode::LogOffsetExpired &&
        Result.FirstOffset > From) {
      From = Result.FirstOffset;
      continue;
    }
    if (Result.Code != ResultCode::Ok)
      throw Error(Result.Code, Result.Detail);
    for (const OwnLog::LogRecord &Each : Result.Records) {
      From = Each.RecordOffset + 1;
      try {
        Whole.take(Wire::decodeChunk(Each.Content));
      } catch (const Error &) {
        // A damaged chunk leaves its checkpoint unfinished.
        continue;
      }
    }
    More = !Result.Records.empty() && From < Result.NextOffset;
  }
  const auto &Newest = Whole.newest();
  ResultCode Code = ResultCode::HistoryGap;
  if (Newest && Newest->Offset + 1 >= ConfigFirst)
    Code = History.restore(*Newest);
  if (Code != ResultCode::Ok)
    throw Error(Code, "the log begins at " + std::to_string(ConfigFirst) +
                          " and no checkpoint covers what came before");
  Texts[Newest->Number] = History.current().Set->canonicalText();
}

const JudgedRecord *HistoryReader::findById(const std::string &Id) const {
  for (const auto &[Offset, Each] : Records)
    if (Each.Judged.RecordId == Id)
      return &Each;
  return nullptr;
}

const std::string &HistoryReader::textOf(Config::Version Number) const {
  const auto Found = Texts.find(Number);
  if (Found == Texts.end())
    throw Error(ResultCode::VersionUnknown,
                "version " + std::to_string(Number) +
                    " was not accepted, or the log no longer has it");
  return Found->second;
}

} // namespace Operator
