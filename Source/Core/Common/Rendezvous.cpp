#include "Common/Rendezvous.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Common {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Name) {
  return hashOf(Name, hashOf(Key));
}

std::vector<std::string> rankByRendezvous(std::string_view Key,
                                          std::vector<std::string> Names) {
  std::vector<std::pair<std::uint64_t, std::string>> WeightedNames;
  WeightedNames.reserve(Names.size());
  for (std::string &Name : Names) {
    const std::uint64_t Weight = rendezvousWeight(Key, Name);
    WeightedNames.emplace_back(Weight, std::move(Name));
  }
  std::sort(WeightedNames.rbegin(), WeightedNames.rend());
  Names.clear();
  for (auto &[Weight, Name] : WeightedNames)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace Common
