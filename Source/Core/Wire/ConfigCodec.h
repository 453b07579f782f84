#pragma once

#include <string>
#include <string_view>

#include "Config/Checkpoint.h"
#include "Config/ReplicationMessage.h"

namespace Wire {

std::string encodeReplication(const Config::ReplicationMessage &Content);
// Throws FrameMalformed if Bytes cannot be decoded.
Config::ReplicationMessage decodeReplication(std::string_view Bytes);

std::string encodeChunk(const Config::CheckpointChunk &Content);
// Throws CheckpointDamaged if Bytes cannot be decoded or the hash differs.
Config::CheckpointChunk decodeChunk(std::string_view Bytes);

} // namespace Wire
