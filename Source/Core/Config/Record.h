#pragma once

#include <cstdint>
#include <string>

#include "Config/ObjectSet.h"

namespace Config {

// The version of the rules for validating sets. A node that does not support
// the level of a record must not accept or reject it.
using RuleLevel = std::int32_t;
constexpr RuleLevel CurrentRuleLevel = 1;

// A log record that proposes to replace the set with version Base.
struct Record {
  // Unique per proposal, so that an append that was stored twice counts once.
  std::string Id;
  Version Base = 0;
  RuleLevel Level = CurrentRuleLevel;
  std::string Author;
  std::string Note;
  // Canonical text of the whole set.
  std::string SetText;
};

} // namespace Config
