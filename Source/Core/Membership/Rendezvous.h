#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Membership/Member.h"

namespace Membership {

constexpr std::size_t RepresentativesPerDataCentre = 2;
constexpr std::size_t EndpointsPerService = 8;

// The live members of a data centre that speak for it to others, by
// their weights. Nodes with equal tables choose alike.
std::vector<const Member *>
representatives(const std::vector<const Member *> &Members,
                const std::string &DataCentre);

// The names of the live members of a data centre that others hear of: its
// representatives, and EndpointsPerService nodes for each service.
std::set<std::string> summarised(const std::vector<const Member *> &Members,
                                 const std::string &DataCentre);

} // namespace Membership
