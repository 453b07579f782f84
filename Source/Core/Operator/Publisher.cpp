#include "Operator/Publisher.h"

#include <algorithm>
#include <random>
#include <thread>

#include "Common/Error.h"
#include "Config/SetDelta.h"
#include "Wire/Codec.h"

namespace Operator {

using Common::Error;
using Common::ResultCode;

namespace {

constexpr Common::Micros AppendTimeout{3'000'000};
constexpr Common::Micros OutcomeWait{2'000'000};
constexpr Common::Micros PublishTimeout{20'000'000};
constexpr Common::Millis RetryDelay{250};

std::string generateRecordId() {
  std::random_device Random;
  std::string Id;
  for (int Part = 0; Part < 4; ++Part) {
    char Text[9];
    std::snprintf(Text, sizeof Text, "%08x", Random());
    Id += Text;
  }
  return Id;
}

} // namespace

// Returns the validation result of the record, or null if the log certainly
// does not contain it. Throws when the log can't be read.
const Config::RecordResult *Publisher::findOutcome(const std::string &Id,
                                                   Common::Micros Wait) {
  Reader.catchUp();
  const ValidatedRecord *Found = Reader.findById(Id);
  if (!Found && Wait.count() > 0) {
    Reader.readMore(Wait);
    Reader.catchUp();
    Found = Reader.findById(Id);
  }
  return Found ? &Found->Outcome : nullptr;
}

Config::RecordResult
Publisher::appendUntilValidated(const Config::Record &Proposal) {
  const std::string Content = Wire::encodeRecord(Proposal);
  const auto Deadline = std::chrono::steady_clock::now() + PublishTimeout;
  bool MayBeAppended = false;
  std::string Failure;
  while (std::chrono::steady_clock::now() < Deadline) {
    try {
      if (!MayBeAppended) {
        const OwnLog::AppendResult Appended = Transport.append(
            Location.Url, Location.Stream, Content, AppendTimeout);
        Failure = Appended.Detail;
        MayBeAppended = true;
      }
      if (const Config::RecordResult *Outcome =
              findOutcome(Proposal.Id, OutcomeWait))
        return *Outcome;
      MayBeAppended = false;
    } catch (const Error &ReadError) {
      if (ReadError.code() != ResultCode::LogUnavailable)
        throw;
      Failure = ReadError.what();
      std::this_thread::sleep_for(RetryDelay);
    }
  }
  throw Error(MayBeAppended ? ResultCode::LogAnswerLost
                            : ResultCode::LogUnavailable,
              "record " + Proposal.Id + ": " + Failure);
}

std::vector<std::string>
Publisher::conflictsOf(const Config::RecordResult &Outcome,
                       const std::string &SetText) const {
  std::vector<std::string> Result;
  if (Outcome.Code != ResultCode::PublishRaceLost ||
      !Reader.hasTextOf(Outcome.Base) || !Reader.hasTextOf(Outcome.Winner))
    return Result;
  const std::string &Base = Reader.textOf(Outcome.Base);
  const auto OwnChanges = Config::compareSets(Base, SetText).all();
  const auto WinnerChanges =
      Config::compareSets(Base, Reader.textOf(Outcome.Winner)).all();
  std::set_intersection(OwnChanges.begin(), OwnChanges.end(),
                        WinnerChanges.begin(), WinnerChanges.end(),
                        std::back_inserter(Result));
  return Result;
}

Publication Publisher::publish(const std::string &SetText,
                               const std::string &Author,
                               const std::string &Note,
                               std::optional<Config::Version> Base) {
  Reader.catchUp();
  const Config::Version Newest = Reader.history().current().SetVersion;
  if (Base && *Base > Newest)
    throw Error(ResultCode::VersionUnknown,
                "unknown base version " + std::to_string(*Base) +
                    "; the newest version is " + std::to_string(Newest));
  Config::Record Proposal;
  Proposal.Id = generateRecordId();
  Proposal.Base = Base.value_or(Newest);
  Proposal.Author = Author;
  Proposal.Note = Note;
  Proposal.SetText = SetText;
  Publication Result;
  Result.Outcome = appendUntilValidated(Proposal);
  Result.Conflicts = conflictsOf(Result.Outcome, SetText);
  return Result;
}

} // namespace Operator
