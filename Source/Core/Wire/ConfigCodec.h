#pragma once

#include <string>
#include <string_view>

#include "Config/Checkpoint.h"
#include "Config/SpreadMessage.h"

namespace Wire {

std::string encodeReplication(const Config::SpreadMessage &Content);
// Throws FrameMalformed if Bytes cannot be decoded.
Config::SpreadMessage decodeReplication(std::string_view Bytes);

std::string encodeChunk(const Config::CheckpointChunk &Content);
// Throws CheckpointDamaged if Bytes cannot be decoded or the hash differs.
Config::CheckpointChunk decodeChunk(std::string_view Bytes);

} // namespace Wire
