#pragma once

#include <optional>

#include "Http/Message.h"
#include "Node/CallCodec.h"
#include "Routing/Call.h"
#include "Routing/Dispatcher.h"

namespace Node {

// Turns the end of a call into the answer its caller gets.
Http::Response toResponse(const Routing::CallReply &Reply, int Attempts,
                          const std::string &CorrelationId);

// Reads a caller's request; the call id is the caller's exchange.
Routing::CallStart toCallStart(Routing::CallId Id, Http::Request Asked,
                               const std::string &FreshCorrelationId);

// The project's own interface to callers and backend servers.
struct OwnCallCodec {
  Routing::CallStart toCallStart(Routing::CallId Id, Http::Request Asked,
                                 const std::string &FreshCorrelationId) const {
    return Node::toCallStart(Id, std::move(Asked), FreshCorrelationId);
  }
  Http::Response toResponse(const Routing::AnswerCaller &Answer,
                            const std::string &CorrelationId) const {
    return Node::toResponse(Answer.Reply, Answer.Attempts, CorrelationId);
  }
  Http::KeptRequest toServerRequest(const Routing::CallRequest &Request,
                                    const ServerRequestContext &Context) const;
  bool isNotRun(const Http::Response &Reply) const {
    return Reply.Fields.contains("x-not-run");
  }
};

static_assert(CallCodec<OwnCallCodec>);

// The name in a Host field, in lower case and without a port.
std::string hostName(const std::string &Field);

// Header fields that describe one connection and are never passed on.
void removeConnectionFields(Http::Headers &Fields);

// What a call takes from its request as it came.
void moveContent(Http::Request &&Asked, Routing::CallStart &Into);

} // namespace Node
