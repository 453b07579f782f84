#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Config/AcceptedHistory.h"
#include "Membership/Member.h"
#include "Routing/Call.h"
#include "Routing/ServerView.h"

// The messages between the services of one node.
namespace Node {

// Names under which the services register.
inline const std::string FrontName = "front";
inline const std::string PeersName = "peers";
inline const std::string BackendName = "backend";
inline const std::string ConfigName = "config";
inline const std::string MembersName = "members";
inline const std::string AdminName = "admin";

// The connection a call came by; LocalOrigin is the front of this node.
using OriginId = std::uint64_t;
constexpr OriginId LocalOrigin = 0;

struct ConfigAccepted {
  Config::Accepted Newest;
};
struct ServersChanged {
  Routing::ServerViewPtr Servers;
};
struct ReplyArrived {
  Routing::CallReply Reply;
};
struct NodeLost {
  Routing::NodeAddress Address;
};
using FrontMessage =
    std::variant<ConfigAccepted, ServersChanged, ReplyArrived, NodeLost>;

struct SendRequest {
  Routing::NodeAddress Address;
  Routing::CallRequest Request;
};
struct SendCancel {
  Routing::NodeAddress Address;
  Routing::AttemptId Attempt = 0;
};
struct SendReply {
  OriginId Origin = LocalOrigin;
  Routing::CallReply Reply;
};
using PeersMessage = std::variant<SendRequest, SendCancel, SendReply>;

struct RequestArrived {
  OriginId Origin = LocalOrigin;
  Routing::CallRequest Request;
};
struct CancelArrived {
  OriginId Origin = LocalOrigin;
  Routing::AttemptId Attempt = 0;
};
struct OriginLost {
  OriginId Origin = LocalOrigin;
};
// The backend server beside this node told that it lives.
struct ServerAnnounced {
  Membership::Endpoint Server;
  // "IP:port" of its HTTP socket.
  std::string Address;
};
struct ServerLeft {
  std::string Server;
};
using BackendMessage = std::variant<RequestArrived, CancelArrived, OriginLost,
                                    ServerAnnounced, ServerLeft>;

struct VersionInForce {
  Config::Version Number = 0;
};
using MembersMessage =
    std::variant<ServerAnnounced, ServerLeft, VersionInForce>;

// The config service is told nothing; it follows the log.
struct ConfigNothing {};
using ConfigMessage = std::variant<ConfigNothing>;

struct RecordJudged {
  Config::Verdict Judged;
};
using AdminMessage = std::variant<VersionInForce, ServersChanged, RecordJudged>;

} // namespace Node
