#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Membership {

// Datagrams of one kind and the bytes of their content.
struct TrafficCount {
  std::int64_t Datagrams = 0;
  std::int64_t Bytes = 0;

  void add(std::size_t Size) {
    ++Datagrams;
    Bytes += static_cast<std::int64_t>(Size);
  }
};

// What a node has sent and received for membership since it started, by the
// kind of datagram.
struct Traffic {
  std::map<std::string, TrafficCount> Sent;
  std::map<std::string, TrafficCount> Received;
};

} // namespace Membership
