#pragma once

#include <string>
#include <vector>

namespace Once {

// Orders nodes by rendezvous hashing for one place: every node that knows the
// same names comes to the same order, and a node that goes moves only what it
// had.
std::vector<std::string> rankNodes(const std::string &Place,
                                   std::vector<std::string> Nodes);

} // namespace Once
