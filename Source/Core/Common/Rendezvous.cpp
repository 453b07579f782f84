#include "Common/Rendezvous.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Common {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Name) {
  return hashOf(Name, hashOf(Key));
}

std::vector<std::string> rankByRendezvous(std::string_view Key,
                                          std::vector<std::string> Names) {
  std::vector<std::pair<std::uint64_t, std::string>> Weighed;
  Weighed.reserve(Names.size());
  for (std::string &Each : Names) {
    const std::uint64_t Weight = rendezvousWeight(Key, Each);
    Weighed.emplace_back(Weight, std::move(Each));
  }
  std::sort(Weighed.rbegin(), Weighed.rend());
  Names.clear();
  for (auto &[Weight, Name] : Weighed)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace Common
