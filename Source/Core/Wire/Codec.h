#pragma once

#include <string>
#include <string_view>

#include "Config/Record.h"
#include "Wire/Frame.h"

namespace Wire {

// Every decode function throws FrameMalformed for bytes that make no sense.
std::string encodeFrame(const Frame &Content);
Frame decodeFrame(std::string_view Bytes);

std::string encodeRecord(const Config::Record &Content);
// Throws RecordMalformed.
Config::Record decodeRecord(std::string_view Bytes);

} // namespace Wire
