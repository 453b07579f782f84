#include "Operator/HistoryReader.h"

#include "Common/Error.h"
#include "Config/Checkpoint.h"
#include "Wire/Codec.h"
#include "Wire/ConfigCodec.h"

namespace Operator {

using Common::Error;
using Common::ResultCode;

HistoryReader::HistoryReader(SyncHttp &Transport, LogLocation Location)
    : Transport(Transport), Location(std::move(Location)) {
  Texts.emplace(0, "");
}

void HistoryReader::readMore(Common::Micros Wait) {
  const OwnLog::ReadResult Result = Transport.read(
      Location.Url, Location.Stream, History.lastOffset() + 1, Wait);
  if (Result.Code == ResultCode::LogOffsetExpired) {
    loadCheckpoint(Result.FirstOffset);
    readMore(Wait);
    return;
  }
  if (Result.Code != ResultCode::Ok)
    throw Error(Result.Code, Result.Detail);
  LogEnd = Result.NextOffset;
  for (const OwnLog::LogRecord &Record : Result.Records)
    addRecord(Record);
}

void HistoryReader::catchUp() {
  do
    readMore(Common::Micros(0));
  while (History.lastOffset() + 1 < LogEnd);
}

void HistoryReader::addRecord(const OwnLog::LogRecord &LogRecord) {
  ValidatedRecord Entry;
  std::optional<Config::RecordResult> Outcome;
  try {
    const Config::Record Proposal = Wire::decodeRecord(LogRecord.Content);
    Entry.SetText = Proposal.SetText;
    Outcome = History.apply(LogRecord.RecordOffset, Proposal);
  } catch (const Error &Failure) {
    Outcome = History.applyMalformed(LogRecord.RecordOffset, Failure.what());
  }
  if (!Outcome)
    return;
  if (Outcome->Code == ResultCode::RuleLevelUnknown)
    throw Error(Outcome->Code, "record " +
                                   std::to_string(LogRecord.RecordOffset) +
                                   ": " + Outcome->Detail);
  if (Outcome->isAccepted())
    Texts[LogRecord.RecordOffset] = History.current().Set->canonicalText();
  Entry.Outcome = *Outcome;
  Records.emplace(LogRecord.RecordOffset, std::move(Entry));
}

void HistoryReader::loadCheckpoint(Config::Version FirstOffset) {
  Config::CheckpointAssembler Assembler;
  OwnLog::Offset From = 1;
  for (bool HasMore = true; HasMore;) {
    const OwnLog::ReadResult Result = Transport.read(
        Location.Url, Location.CheckpointStream, From, Common::Micros(0));
    if (Result.Code == ResultCode::LogOffsetExpired &&
        Result.FirstOffset > From) {
      From = Result.FirstOffset;
      continue;
    }
    if (Result.Code != ResultCode::Ok)
      throw Error(Result.Code, Result.Detail);
    for (const OwnLog::LogRecord &Record : Result.Records) {
      From = Record.RecordOffset + 1;
      try {
        Assembler.addChunk(Wire::decodeChunk(Record.Content));
      } catch (const Error &) {
        // Skips the damaged chunk; its checkpoint stays incomplete.
        continue;
      }
    }
    HasMore = !Result.Records.empty() && From < Result.NextOffset;
  }
  const auto &Newest = Assembler.newest();
  ResultCode Code = ResultCode::HistoryGap;
  if (Newest && Newest->Offset + 1 >= FirstOffset)
    Code = History.restore(*Newest);
  if (Code != ResultCode::Ok)
    throw Error(Code, "the log begins at offset " +
                          std::to_string(FirstOffset) +
                          ", and no checkpoint covers the records before it");
  Texts[Newest->SetVersion] = History.current().Set->canonicalText();
}

const ValidatedRecord *HistoryReader::findById(const std::string &Id) const {
  for (const auto &[Offset, Entry] : Records)
    if (Entry.Outcome.RecordId == Id)
      return &Entry;
  return nullptr;
}

const std::string &HistoryReader::textOf(Config::Version Version) const {
  const auto Found = Texts.find(Version);
  if (Found == Texts.end())
    throw Error(ResultCode::VersionUnknown,
                "version " + std::to_string(Version) +
                    " was not accepted, or its record has expired");
  return Found->second;
}

} // namespace Operator
