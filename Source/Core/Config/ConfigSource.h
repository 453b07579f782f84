#pragma once

#include <concepts>
#include <functional>
#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Config/ObjectSet.h"

namespace Config {

// Where to read on at a source.
using SourcePosition = std::int64_t;

// What one read of a source brought.
struct SourceAnswer {
  // Ok also when there was nothing new. LogOffsetExpired asks for a read of
  // the newest; any other code is a failure.
  Common::ResultCode Code = Common::ResultCode::Ok;
  // The newest set as the source holds it; empty when there was none.
  std::string Content;
  SourcePosition Next = 0;
  std::string Detail;
};

// A set that was read from a source's content.
struct DecodedSet {
  Version Number = 0;
  ObjectSetPtr Set;
};

// Holds the newest accepted set, and tells of a newer one when it comes.
template <class S>
concept ConfigSource = requires(S &Source, SourcePosition From,
                                Common::Micros Wait, const std::string &Content,
                                std::function<void(SourceAnswer)> OnDone) {
  Source.readNewest(OnDone);
  // Answers when there is something after From, at the latest after Wait.
  Source.readOn(From, Wait, OnDone);
  // Called whenever a part of an answer came.
  Source.onProgress(std::function<void()>());
  // Gives up the read that is under way; its answer does not come.
  Source.cancel();
  // Throws an Error for content that is no sound set.
  { Source.decode(Content) } -> std::same_as<DecodedSet>;
};

} // namespace Config
