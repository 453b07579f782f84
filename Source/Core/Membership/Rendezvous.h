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

// The live members of a data centre that send its summaries to others, chosen
// by their rendezvous weights. Nodes with equal tables choose the same members.
std::vector<const Member *>
representatives(const std::vector<const Member *> &Members,
                const std::string &DataCentre);

// The names of the live members of a data centre that its summaries contain:
// its representatives, and up to EndpointsPerService nodes for each version of
// each service.
std::set<std::string>
summarisedNodes(const std::vector<const Member *> &Members,
                const std::string &DataCentre);

} // namespace Membership
