#pragma once

#include <string>
#include <string_view>

#include "Config/Checkpoint.h"
#include "Config/SpreadMessage.h"

namespace Wire {

std::string encodeSpread(const Config::SpreadMessage &Content);
// Throws FrameMalformed.
Config::SpreadMessage decodeSpread(std::string_view Bytes);

std::string encodeChunk(const Config::CheckpointChunk &Content);
// Throws CheckpointDamaged.
Config::CheckpointChunk decodeChunk(std::string_view Bytes);

} // namespace Wire
