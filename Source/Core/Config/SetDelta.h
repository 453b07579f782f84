#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Config {

// The difference that turns the canonical text of one set into that of another.
struct SetDelta {
  // The canonical text of every added or changed object.
  std::string Changed;
  // Headings of the removed objects, such as "route prices".
  std::vector<std::string> Removed;

  std::size_t size() const;
};

SetDelta makeDelta(std::string_view Base, std::string_view Newer);

// Returns the text of the newer set, with its objects in a different order. It
// has to be parsed and serialised again before it can be compared.
std::string applyDelta(std::string_view Base, const SetDelta &Delta);

// The headings of the objects that differ between two canonical texts.
struct SetDifference {
  std::vector<std::string> Added;
  std::vector<std::string> Removed;
  std::vector<std::string> Changed;

  // All differing objects, sorted.
  std::vector<std::string> all() const;
};

SetDifference compareSets(std::string_view Base, std::string_view Newer);

} // namespace Config
