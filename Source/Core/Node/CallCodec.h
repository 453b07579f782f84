#pragma once

#include <concepts>
#include <string>

#include "Http/KeptClient.h"
#include "Http/Message.h"
#include "Routing/Call.h"
#include "Routing/Dispatcher.h"

namespace Node {

// What a far node adds to a request for the backend server beside it.
struct ServerRequestContext {
  // The server that has to take it.
  const std::string &Server;
  Common::Micros Remaining{0};
};

// How calls are written in HTTP, towards callers and towards backend servers.
template <class C>
concept CallCodec = requires(const C &Codec, Routing::CallId Id,
                             Http::Request Asked, const std::string &Name,
                             const Routing::AnswerCaller &Answer,
                             const Routing::CallRequest &Request,
                             const ServerRequestContext &Context,
                             const Http::Response &Reply) {
  // Name is the correlation id of a call whose caller gave none.
  {
    Codec.toCallStart(Id, std::move(Asked), Name)
    } -> std::same_as<Routing::CallStart>;
  { Codec.toResponse(Answer, Name) } -> std::same_as<Http::Response>;
  // Limit and resending are left to the caller.
  {
    Codec.toServerRequest(Request, Context)
    } -> std::same_as<Http::KeptRequest>;
  // Whether the server says that it did not run the request.
  { Codec.isNotRun(Reply) } -> std::same_as<bool>;
};

} // namespace Node
