#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "Common/ResultCode.h"
#include "Common/Time.h"
#include "Config/ObjectSet.h"
#include "Recovery/StoreEra.h"

namespace Config {

// The position from which a source continues to be read.
using SourcePosition = std::int64_t;

// The result of one read of a source.
struct SourceAnswer {
  // Ok also when there was nothing new. LogOffsetExpired means that the newest
  // set has to be read instead. Any other code is a failure.
  Common::ResultCode Code = Common::ResultCode::Ok;
  // The newest set in the encoding of the source; empty when there was none.
  std::string Content;
  SourcePosition Next = 0;
  std::string Detail;
  // The era in which the source answered, and in which Next holds.
  std::optional<Recovery::StoreEra> Era = {};
};

// A set decoded from the content of a source.
struct DecodedSet {
  Version SetVersion = 0;
  ObjectSetPtr Set;
};

// A store that holds the newest accepted set and supports long-polling for a
// newer one.
template <class S>
concept ConfigSource = requires(S &Source, SourcePosition From,
                                Common::Micros Wait, const std::string &Content,
                                std::function<void(SourceAnswer)> OnDone) {
  Source.readNewest(OnDone);
  // Completes when there is something after From, or else after Wait.
  Source.readOn(From, Wait, OnDone);
  // Sets the function that is called whenever a part of an answer arrives.
  Source.onProgress(std::function<void()>());
  // Cancels the pending read without calling its OnDone.
  Source.cancel();
  // Throws an Error if the content is not a valid set.
  { Source.decode(Content) } -> std::same_as<DecodedSet>;
};

} // namespace Config
