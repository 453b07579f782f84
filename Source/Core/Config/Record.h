#pragma once

#include <cstdint>
#include <string>

#include "Config/ObjectSet.h"

namespace Config {

// The rules by which sets are checked. A node that does not know the level of
// a record can't judge it and must not guess.
using RuleLevel = std::int32_t;
constexpr RuleLevel CurrentRuleLevel = 1;

// A proposal on the log to replace the set of version Base.
struct Record {
  // Unique for each proposal, so that an append that landed twice counts once.
  std::string Id;
  Version Base = 0;
  RuleLevel Level = CurrentRuleLevel;
  std::string Author;
  std::string Note;
  // Canonical text of the whole set.
  std::string SetText;
};

} // namespace Config
