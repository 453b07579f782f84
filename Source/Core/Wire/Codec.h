#pragma once

#include <string>
#include <string_view>

#include "Config/Record.h"
#include "Wire/Frame.h"

namespace Wire {

std::string encodeFrame(Frame Content);
// Throws FrameMalformed if Bytes cannot be decoded.
Frame decodeFrame(std::string_view Bytes);

std::string encodeRecord(const Config::Record &Content);
// Throws RecordMalformed if Bytes cannot be decoded.
Config::Record decodeRecord(std::string_view Bytes);

} // namespace Wire
