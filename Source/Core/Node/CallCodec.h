#pragma once

#include <concepts>
#include <string>

#include "Http/KeepAliveClient.h"
#include "Http/Message.h"
#include "Routing/Call.h"
#include "Routing/Dispatcher.h"

namespace Node {

// What the server-side node adds to a request for its local backend server.
struct ServerRequestContext {
  // Name of the server that must handle the request.
  const std::string &Server;
  Common::Micros Remaining{0};
};

// Translates calls to and from HTTP, both for callers and for backend servers.
template <class C>
concept CallCodec = requires(const C &Codec, Routing::CallId Id,
                             Http::Request Incoming, const std::string &Name,
                             Routing::AnswerCaller Answer,
                             const Routing::CallRequest &Request,
                             const ServerRequestContext &Context,
                             const Http::Response &Reply) {
  // Name is the correlation id to use when the caller provides none.
  {
    Codec.toCallStart(Id, std::move(Incoming), Name)
    } -> std::same_as<Routing::CallStart>;
  { Codec.toResponse(std::move(Answer), Name) } -> std::same_as<Http::Response>;
  // The caller of this function sets Timeout and decides about resending.
  {
    Codec.toServerRequest(Request, Context)
    } -> std::same_as<Http::KeepAliveRequest>;
  // Whether the reply states that the server did not run the request.
  { Codec.isNotRun(Reply) } -> std::same_as<bool>;
};

// A codec that names the service on this VM as the caller of each call.
template <class C>
concept CallerNamingCodec = CallCodec<C> &&
    requires(C &Codec, const std::string &Service) {
  Codec.useService(Service);
  { Codec.service() } -> std::same_as<const std::string &>;
};

} // namespace Node
