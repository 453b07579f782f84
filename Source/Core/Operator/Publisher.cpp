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

constexpr Common::Micros AppendLimit{3'000'000};
constexpr Common::Micros VerdictWait{2'000'000};
constexpr Common::Micros PublishLimit{20'000'000};
constexpr Common::Millis RetryPause{250};

std::string freshId() {
  std::random_device Source;
  std::string Id;
  for (int Part = 0; Part < 4; ++Part) {
    char Text[9];
    std::snprintf(Text, sizeof Text, "%08x", Source());
    Id += Text;
  }
  return Id;
}

} // namespace

// The verdict, or null when the log surely does not have the record. Throws
// when the log can't be read.
const Config::RecordResult *Publisher::lookUp(const std::string &Id,
                                              Common::Micros Wait) {
  Reader.catchUp();
  const JudgedRecord *Found = Reader.findById(Id);
  if (!Found && Wait.count() > 0) {
    Reader.readMore(Wait);
    Reader.catchUp();
    Found = Reader.findById(Id);
  }
  return Found ? &Found->Judged : nullptr;
}

Config::RecordResult
Publisher::appendUntilJudged(const Config::Record &Proposal) {
  const std::string Content = Wire::encodeRecord(Proposal);
  const auto End = std::chrono::steady_clock::now() + PublishLimit;
  bool MayHaveLanded = false;
  std::string Failure;
  while (std::chrono::steady_clock::now() < End) {
    try {
      if (!MayHaveLanded) {
        const OwnLog::AppendResult Appended =
            Transport.append(Place.Url, Place.Stream, Content, AppendLimit);
        Failure = Appended.Detail;
        MayHaveLanded = true;
      }
      if (const Config::RecordResult *Judged = lookUp(Proposal.Id, VerdictWait))
        return *Judged;
      MayHaveLanded = false;
    } catch (const Error &Unreadable) {
      if (Unreadable.code() != ResultCode::LogUnavailable)
        throw;
      Failure = Unreadable.what();
      std::this_thread::sleep_for(RetryPause);
    }
  }
  throw Error(MayHaveLanded ? ResultCode::LogAnswerLost
                            : ResultCode::LogUnavailable,
              "record " + Proposal.Id + ": " + Failure);
}

std::vector<std::string>
Publisher::conflictsOf(const Config::RecordResult &Judged,
                       const std::string &SetText) const {
  std::vector<std::string> Result;
  if (Judged.Code != ResultCode::PublishRaceLost ||
      !Reader.knows(Judged.Base) || !Reader.knows(Judged.Winner))
    return Result;
  const std::string &Base = Reader.textOf(Judged.Base);
  const auto Own = Config::compareSets(Base, SetText).all();
  const auto Others =
      Config::compareSets(Base, Reader.textOf(Judged.Winner)).all();
  std::set_intersection(Own.begin(), Own.end(), Others.begin(), Others.end(),
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
    throw Error(ResultCode::VersionUnknown, "version " + std::to_string(*Base) +
                                                "; the newest is " +
                                                std::to_string(Newest));
  Config::Record Proposal;
  Proposal.Id = freshId();
  Proposal.Base = Base.value_or(Newest);
  Proposal.Author = Author;
  Proposal.Note = Note;
  Proposal.SetText = SetText;
  Publication Result;
  Result.Judged = appendUntilJudged(Proposal);
  Result.Conflicts = conflictsOf(Result.Judged, SetText);
  return Result;
}

} // namespace Operator
