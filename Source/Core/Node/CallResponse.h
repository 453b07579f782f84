#pragma once

#include <optional>

#include "Http/Message.h"
#include "Routing/Call.h"
#include "Routing/Dispatcher.h"

namespace Node {

// Turns the end of a call into the answer its caller gets.
Http::Response toResponse(const Routing::CallReply &Reply, int Attempts,
                          const std::string &CorrelationId);

// Reads a caller's request; the call id is the caller's exchange.
Routing::CallStart toCallStart(Routing::CallId Id, Http::Request Asked,
                               const std::string &FreshCorrelationId);

// Header fields that describe one connection and are never passed on.
void removeConnectionFields(Http::Headers &Fields);

} // namespace Node
