#pragma once

#include <string>
#include <string_view>

#include "Membership/Datagram.h"

namespace Wire {

std::string encodeDatagram(const Membership::Datagram &Content);
// Throws FrameMalformed if Bytes cannot be decoded.
Membership::Datagram decodeDatagram(std::string_view Bytes);

} // namespace Wire
