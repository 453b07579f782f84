#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Config/Record.h"
#include "Membership/Member.h"
#include "Wire/Frame.h"

namespace Wire {

// The decoded form of a datagram between nodes.
struct Heartbeat {
  std::string From;
  std::vector<Membership::Member> Members;
};

// Every decode function throws FrameMalformed for bytes that make no sense.
std::string encodeFrame(const Frame &Content);
Frame decodeFrame(std::string_view Bytes);

std::string encodeHeartbeat(const Heartbeat &Content);
Heartbeat decodeHeartbeat(std::string_view Bytes);

std::string encodeRecord(const Config::Record &Content);
// Throws RecordMalformed.
Config::Record decodeRecord(std::string_view Bytes);

} // namespace Wire
