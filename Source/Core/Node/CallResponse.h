#pragma once

#include <optional>

#include "Http/Message.h"
#include "Node/CallCodec.h"
#include "Routing/Call.h"
#include "Routing/Dispatcher.h"

namespace Node {

// Builds the HTTP response to the caller from the reply to its call.
Http::Response toResponse(Routing::CallReply Reply, int Attempts,
                          const std::string &CorrelationId);

// Builds a call from a caller's request. The call id is the id of the caller's
// HTTP exchange.
Routing::CallStart toCallStart(Routing::CallId Id, Http::Request Incoming,
                               const std::string &DefaultCorrelationId);

// The native HTTP interface to callers and backend servers.
struct NativeCallCodec {
  Routing::CallStart
  toCallStart(Routing::CallId Id, Http::Request Incoming,
              const std::string &DefaultCorrelationId) const {
    return Node::toCallStart(Id, std::move(Incoming), DefaultCorrelationId);
  }
  Http::Response toResponse(Routing::AnswerCaller Answer,
                            const std::string &CorrelationId) const {
    return Node::toResponse(std::move(Answer.Reply), Answer.Attempts,
                            CorrelationId);
  }
  Http::KeepAliveRequest
  toServerRequest(const Routing::CallRequest &Request,
                  const ServerRequestContext &Context) const;
  bool isNotRun(const Http::Response &Reply) const {
    return Reply.Fields.contains("x-not-run");
  }
};

static_assert(CallCodec<NativeCallCodec>);

// The host name in a Host field, in lower case and without the port.
std::string hostName(const std::string &Field);

// Removes the header fields that apply to a single connection and must not be
// forwarded.
void removeConnectionFields(Http::Headers &Fields);

// Moves the parts of a request that a call forwards unchanged into Start.
void moveContent(Http::Request &&Incoming, Routing::CallStart &Start);

} // namespace Node
