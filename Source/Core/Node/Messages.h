#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Config/AcceptedHistory.h"
#include "Http/Server.h"
#include "Membership/Datagram.h"
#include "Membership/Member.h"
#include "Membership/Traffic.h"
#include "Once/CallKey.h"
#include "Report/CallSample.h"
#include "Routing/Call.h"
#include "Routing/ServerView.h"

// The messages between the services of one node.
namespace Node {

// Names under which the services register.
inline const std::string FrontName = "front";
inline const std::string PeersName = "peers";
inline const std::string BackendName = "backend";
inline const std::string ControlName = "control";
inline const std::string ConfigName = "config";
inline const std::string MembersName = "members";
inline const std::string MetricsName = "metrics";
inline const std::string ClaimsName = "claims";
inline const std::string AdminName = "admin";

// The connection a call came by; LocalOrigin is the front of this node.
using OriginId = std::uint64_t;
constexpr OriginId LocalOrigin = 0;

struct ConfigAccepted {
  Config::AcceptedSet Newest;
};
struct ServersChanged {
  Routing::ServerViewPtr Servers;
  // The nodes known to be alive, this one among them.
  std::size_t Nodes = 1;
};
struct ReplyArrived {
  Routing::CallReply Reply;
};
struct NodeLost {
  Routing::NodeAddress Address;
};
// The claim of a call was decided: Code is Ok when the call may run, otherwise
// its answer; Recorded is the answer of the call that held the key.
struct ClaimDecided {
  Routing::CallId Call = 0;
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::optional<Routing::CallReply> Recorded;
};
// The service on this VM, as which its calls are made.
struct CallerNamed {
  std::string Service;
};
struct LoadHeard {
  std::string Server;
  Routing::ServerLoad Load;
};
using FrontMessage =
    std::variant<ConfigAccepted, ServersChanged, ReplyArrived, NodeLost,
                 ClaimDecided, CallerNamed, LoadHeard>;

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
// The load of the backend server beside this node has changed.
struct ShareLoad {
  std::string Server;
  Routing::ServerLoad Load;
};
using PeersMessage =
    std::variant<SendRequest, SendCancel, SendReply, ShareLoad>;

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
// Nodes that were found in a directory; any of them may be gone.
struct SeedsFound {
  Membership::Introductions Seeds;
};
using MembersMessage =
    std::variant<ServerAnnounced, ServerLeft, VersionInForce, SeedsFound>;

// The nodes that are alive, this one among them.
struct MembersChanged {
  std::shared_ptr<const std::vector<Membership::Member>> Alive;
};

// A message of the same service on another node. ReplyEnvelope with the origin
// answers it on the connection it came by.
struct EnvelopeArrived {
  OriginId Origin = LocalOrigin;
  std::string Content;
};
// The connection over which envelopes went to a node is gone; those that had
// no answer get none.
struct EnvelopeLost {
  Routing::NodeAddress Address;
};
struct SendEnvelope {
  // "IP:port" of the other node's control socket.
  Routing::NodeAddress Address;
  std::string Service;
  std::string Content;
};
struct ReplyEnvelope {
  OriginId Origin = LocalOrigin;
  std::string Service;
  std::string Content;
};
using ControlMessage = std::variant<SendEnvelope, ReplyEnvelope>;

using ConfigMessage =
    std::variant<MembersChanged, EnvelopeArrived, EnvelopeLost>;

// A call that must run at most once asks for its key.
struct ClaimCall {
  Routing::CallId Call = 0;
  Once::CallKey Key;
  // Hash of what was asked under the key.
  std::uint64_t Fingerprint = 0;
  Common::SteadyTime Deadline;
};
// A call that was let run has ended.
struct ClaimedCallEnded {
  Routing::CallId Call = 0;
  Routing::CallReply Reply;
};
using ClaimsMessage = std::variant<ClaimCall, ClaimedCallEnded, MembersChanged,
                                   EnvelopeArrived, EnvelopeLost>;

struct RecordJudged {
  Config::RecordResult Judged;
};
struct ByteCount {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};
// What keeping the configuration cost since the start, by kind of message.
struct ConfigTraffic {
  std::map<std::string, ByteCount> ByKind;
};
struct MembershipTraffic {
  Membership::Traffic Counts;
};
struct MetricsReady {
  Http::ExchangeId Exchange = 0;
  std::string Page;
};
using AdminMessage =
    std::variant<VersionInForce, ServersChanged, RecordJudged,
                 MembershipTraffic, MetricsReady, ConfigTraffic>;

struct CallsEnded {
  std::vector<Report::CallSample> Samples;
};
struct MetricsWanted {
  Http::ExchangeId Exchange = 0;
};
using MetricsMessage = std::variant<CallsEnded, MetricsWanted>;

} // namespace Node
