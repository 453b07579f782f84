#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

// The weight of a name for a key in rendezvous hashing. It is the same on every
// VM and in every release. A key begins with the role that it is for, so that
// one node does not get every role of its data centre.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Name);

// Returns the names in the order of their weights, highest first. Removing a
// name does not change the order of the others.
std::vector<std::string> rankByRendezvous(std::string_view Key,
                                          std::vector<std::string> Names);

} // namespace Common
