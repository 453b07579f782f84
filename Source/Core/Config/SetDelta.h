#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Config {

// What turns the canonical text of one set into that of another.
struct SetDelta {
  // Whole objects, added or changed, as canonical text.
  std::string Changed;
  // Such as "route prices".
  std::vector<std::string> Removed;

  std::size_t size() const;
};

SetDelta makeDelta(std::string_view Base, std::string_view Newer);

// The result has the same objects as the newer set but not their order, so it
// has to be parsed and written again before it is compared.
std::string applyDelta(std::string_view Base, const SetDelta &Change);

// The names of the objects that differ between two canonical texts.
struct SetDifference {
  std::vector<std::string> Added;
  std::vector<std::string> Removed;
  std::vector<std::string> Changed;

  // All of them, sorted.
  std::vector<std::string> all() const;
};

SetDifference compareSets(std::string_view Base, std::string_view Newer);

} // namespace Config
