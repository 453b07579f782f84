#include "StandIns/Log/LogStore.h"

#include <algorithm>

namespace StandIns {

using OwnLog::Offset;

Offset LogStore::append(const std::string &Stream, std::string Content,
                        Common::WallTime Now) {
  StreamState &State = Streams[Stream];
  State.Records.push_back({State.Next, Now, std::move(Content)});
  return State.Next++;
}

void LogStore::expire(Common::WallTime Now) {
  for (auto &[Name, State] : Streams)
    while (!State.Records.empty() &&
           State.Records.front().AppendedAt + Retention <= Now)
      State.Records.pop_front();
}

std::vector<OwnLog::LogRecord> LogStore::read(const std::string &Stream,
                                              Offset From,
                                              std::size_t Limit) const {
  std::vector<OwnLog::LogRecord> Result;
  const auto Found = Streams.find(Stream);
  if (Found == Streams.end())
    return Result;
  // Offsets are consecutive, so a record's index follows from its offset.
  const auto &Records = Found->second.Records;
  const Offset FirstIndex = std::max(From, first(Stream)) - first(Stream);
  for (auto Index = static_cast<std::size_t>(FirstIndex);
       Index < Records.size() && Result.size() < Limit; ++Index)
    Result.push_back(Records[Index]);
  return Result;
}

Offset LogStore::first(const std::string &Stream) const {
  const auto Found = Streams.find(Stream);
  if (Found == Streams.end())
    return 1;
  const StreamState &State = Found->second;
  return State.Records.empty() ? State.Next
                               : State.Records.front().RecordOffset;
}

Offset LogStore::next(const std::string &Stream) const {
  const auto Found = Streams.find(Stream);
  return Found == Streams.end() ? 1 : Found->second.Next;
}

} // namespace StandIns
