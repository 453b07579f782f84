#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Membership {

// Number of datagrams of one kind and of the bytes in their payloads.
struct TrafficCount {
  std::int64_t Datagrams = 0;
  std::int64_t Bytes = 0;

  void add(std::size_t Size) {
    ++Datagrams;
    Bytes += static_cast<std::int64_t>(Size);
  }
};

// The membership traffic of a node since it started, by kind of datagram.
struct Traffic {
  std::map<std::string, TrafficCount> Sent;
  std::map<std::string, TrafficCount> Received;
};

} // namespace Membership
