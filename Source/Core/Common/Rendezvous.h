#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

// The weight of a name for a key in rendezvous hashing; equal on every machine
// and in every release. Keys begin with the role they are for, so that one node
// does not get every role of its data centre.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Name);

// The names by their weights, heaviest first. Without one of them the others
// keep their order.
std::vector<std::string> rankByRendezvous(std::string_view Key,
                                          std::vector<std::string> Names);

} // namespace Common
