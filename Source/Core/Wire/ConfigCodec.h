#pragma once

#include <string>
#include <string_view>

#include "Config/Checkpoint.h"
#include "Config/ReplicationMessage.h"

namespace Wire {

std::string encodeSpread(const Config::ReplicationMessage &Content);
// Throws FrameMalformed.
Config::ReplicationMessage decodeSpread(std::string_view Bytes);

std::string encodeChunk(const Config::CheckpointChunk &Content);
// Throws CheckpointDamaged.
Config::CheckpointChunk decodeChunk(std::string_view Bytes);

} // namespace Wire
