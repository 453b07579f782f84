#include "Operator/Publisher.h"

#include <random>

#include "Common/Error.h"
#include "Wire/Codec.h"

namespace Operator {

using Common::Error;
using Common::ResultCode;

namespace {

constexpr Common::Micros AppendLimit{3'000'000};
constexpr Common::Micros VerdictWait{2'000'000};
constexpr int AppendTries = 4;

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

Publisher::Publisher(SyncHttp &Transport, std::string LogUrl,
                     std::string Stream)
    : Transport(Transport), LogUrl(std::move(LogUrl)),
      Stream(std::move(Stream)) {}

void Publisher::readOnce(Common::Micros Wait) {
  const Platform::ReadResult Result =
      Transport.read(LogUrl, Stream, History.lastOffset() + 1, Wait);
  if (Result.Code == ResultCode::LogOffsetExpired)
    throw Error(ResultCode::HistoryGap,
                "the log begins at " + std::to_string(Result.First));
  if (Result.Code != ResultCode::Ok)
    throw Error(Result.Code, Result.Detail);
  LogEnd = Result.Next;
  for (const Platform::LogRecord &Each : Result.Records) {
    try {
      History.apply(Each.At, Wire::decodeRecord(Each.Content));
    } catch (const Error &Failure) {
      History.applyMalformed(Each.At, Failure.what());
    }
  }
}

const Config::AcceptedHistory &Publisher::catchUp() {
  do
    readOnce(Common::Micros(0));
  while (History.lastOffset() + 1 < LogEnd && !History.isHalted());
  return History;
}

std::optional<Config::Verdict>
Publisher::findVerdict(const std::string &Id) const {
  for (const Config::Verdict &Each : History.verdicts())
    if (Each.RecordId == Id)
      return Each;
  return std::nullopt;
}

Config::Verdict Publisher::publish(const Config::ObjectSet &Set,
                                   const std::string &Author,
                                   const std::string &Note,
                                   std::optional<Config::Version> Base) {
  catchUp();
  Config::Record Proposal;
  Proposal.Id = freshId();
  Proposal.Base = Base.value_or(History.current().Number);
  Proposal.Author = Author;
  Proposal.Note = Note;
  Proposal.SetText = Set.canonicalText();
  const std::string Content = Wire::encodeRecord(Proposal);

  std::string LastFailure;
  for (int Try = 0; Try < AppendTries; ++Try) {
    const Platform::AppendResult Appended =
        Transport.append(LogUrl, Stream, Content, AppendLimit);
    LastFailure = Appended.Detail;
    if (Appended.Code == ResultCode::LogUnavailable)
      continue;
    // Whether or not the answer came, the log itself knows.
    readOnce(VerdictWait);
    catchUp();
    if (const auto Judged = findVerdict(Proposal.Id))
      return *Judged;
  }
  throw Error(ResultCode::LogUnavailable,
              "record " + Proposal.Id + ": " + LastFailure);
}

} // namespace Operator
