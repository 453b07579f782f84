#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Config/AcceptedHistory.h"
#include "Http/Server.h"
#include "Membership/AnnouncementFilter.h"
#include "Membership/Datagram.h"
#include "Membership/Member.h"
#include "Membership/Traffic.h"
#include "Once/CallKey.h"
#include "Recovery/StoreEra.h"
#include "Report/CallSample.h"
#include "Rollout/ServerWatch.h"
#include "Routing/Call.h"
#include "Routing/ServerView.h"
#include "Routing/VersionPolicy.h"
#include "Tenants/QuotaMessages.h"

// The messages between the services of one node.
namespace Node {

// Names under which the services register with the kernel.
inline const std::string IngressName = "front";
inline const std::string PeersName = "peers";
inline const std::string BackendName = "backend";
inline const std::string ControlName = "control";
inline const std::string ConfigName = "config";
inline const std::string MembersName = "members";
inline const std::string MetricsName = "metrics";
inline const std::string ClaimsName = "claims";
inline const std::string QuotaName = "quota";
inline const std::string AdminName = "admin";
inline const std::string AnnouncementsName = "announcements";
inline const std::string RolloutsName = "rollouts";
inline const std::string RecoveryName = "recovery";

// An answer of the platform's store, or another node, stated an era of the
// store that the sender did not know.
struct StoreEraSeen {
  Recovery::StoreEra Era = 0;
  // What stated it.
  std::string Source;
};
using RecoveryMessage = std::variant<StoreEraSeen>;

// The era of the store that is now known. Positions of an earlier one are not
// valid any more.
struct StoreEraChanged {
  Recovery::StoreEra Era = 0;
};
// The store may have lost what this node wrote, which has to be written again.
struct EntriesLost {};

// Identifies the connection on which a call arrived. LocalOrigin stands for
// the ingress of this node.
using OriginId = std::uint64_t;
constexpr OriginId LocalOrigin = 0;

struct ConfigAccepted {
  Config::AcceptedSet Newest;
};
struct ServersChanged {
  Routing::ServerViewPtr Servers;
  // Number of live nodes, including this one.
  std::size_t NodeCount = 1;
};
struct ReplyArrived {
  Routing::CallReply Reply;
};
// A connection to a node was lost, and with it the replies to the attempts that
// were pending on it.
struct NodeLost {
  Routing::NodeAddress Address;
  std::vector<Routing::AttemptId> Attempts = {};
};
// A connection to a node was silent for too long. Replies to these attempts may
// still arrive, but new calls are better sent elsewhere.
struct NodeSilent {
  Routing::NodeAddress Address;
  std::vector<Routing::AttemptId> Attempts = {};
};
// The data centres that this node cannot reach at the moment.
struct DataCentresUnreachable {
  std::set<std::string> DataCentres;
};
// The outcome of a call's claim. Code is Ok when the call may run; otherwise
// it is the result to return to the caller. RecordedReply is the reply of the
// earlier call that used the same key.
struct ClaimDecided {
  Routing::CallId Call = 0;
  Common::ResultCode Code = Common::ResultCode::Ok;
  std::optional<Routing::CallReply> RecordedReply;
};
// The backend server beside this node announced itself.
struct LocalServerAnnounced {
  std::string Service;
  Common::WallTime ServerStart;
};
// The settings file may have changed. IsSignalled is whether a signal said so.
struct CheckSettings {
  bool IsSignalled = false;
};
struct LoadReceived {
  std::string Server;
  Routing::ServerLoad Load;
};
// How calls are divided between the versions of services that are being moved
// to another version.
struct VersionPolicyChanged {
  Routing::VersionPolicyPtr Policy;
};
// The limits of this node's shares of the tenants' quotas.
struct QuotaGranted {
  Tenants::Grants Granted;
};
using IngressMessage =
    std::variant<ConfigAccepted, ServersChanged, ReplyArrived, NodeLost,
                 NodeSilent, ClaimDecided, CheckSettings, LocalServerAnnounced,
                 LoadReceived, DataCentresUnreachable, VersionPolicyChanged,
                 QuotaGranted>;

struct SendRequest {
  Routing::NodeAddress Address;
  Routing::CallRequest Request;
  // The data centre of the node; empty if unknown.
  std::string DataCentre = {};
  // The request is refused as not run if there is no connection to the node
  // within this time.
  std::optional<Common::Micros> ConnectLimit = {};
  // Whether the call can be sent elsewhere if the outcome stays unknown.
  bool MayBeRepeated = false;
};
struct SendCancel {
  Routing::NodeAddress Address;
  Routing::AttemptId Attempt = 0;
};
struct SendReply {
  OriginId Origin = LocalOrigin;
  Routing::CallReply Reply;
  // That of the request.
  std::string CorrelationId = {};
};
// Publishes the load of the local backend server to the ingress and to other
// nodes.
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
// The local backend server announced itself.
struct ServerAnnounced {
  Membership::Endpoint Server;
  // "IP:port" of the server's HTTP socket.
  std::string Address;
  // The departure that the announcement of a leaving server stands for.
  std::optional<Membership::DepartedServer> Departed = {};
  // How much longer the server is slow after its start.
  Common::Millis ColdLeft{0};
};
struct ServerLeft {
  std::string Server;
  // Empty if departures do not outlive the process of this node.
  std::optional<Membership::DepartedServer> Departed = {};
};
// What to do while the service of the local backend server is moved to another
// version. Answered with ServerWatched at intervals until the order is empty.
struct WatchServer {
  Rollout::WatchOrder Ordered;
};
using BackendMessage = std::variant<RequestArrived, CancelArrived, OriginLost,
                                    ServerAnnounced, ServerLeft, WatchServer>;

// What the local backend server did since it is watched.
struct ServerWatched {
  Rollout::WatchOrder Followed;
  Rollout::Evidence Counts;
  // Calls that are running or waiting at the node.
  std::size_t OpenCalls = 0;
};

// The configuration version that the ingress now applies.
struct VersionInForce {
  Config::Version Version = 0;
};
// Nodes that a directory listed. Entries may be stale.
struct SeedsFound {
  Membership::BootstrapPeers Seeds;
};
using MembersMessage =
    std::variant<ServerAnnounced, ServerLeft, VersionInForce, SeedsFound>;

// The live nodes, including this one.
struct MembersChanged {
  std::shared_ptr<const std::vector<Membership::Member>> Alive;
};

// Records the departure in the directory. The answer is DepartureRecorded.
struct RecordDeparture {
  Membership::DepartedServer Departed;
};
using DirectoryMessage =
    std::variant<MembersChanged, RecordDeparture, StoreEraChanged, EntriesLost>;

// Messages of the backend server beside this node. Each is answered with
// AnnouncementAnswered for its exchange.
struct AnnouncementArrived {
  Http::ExchangeId Exchange = 0;
  Membership::Announcement Received;
};
struct DepartureArrived {
  Http::ExchangeId Exchange = 0;
  Membership::Departure Received;
};
struct DepartureRecorded {
  Membership::DepartedServer Departed;
  Common::ResultCode Code = Common::ResultCode::Ok;
};
// The departure that the directory holds for this node, if there is one.
struct DepartureListed {
  std::optional<Membership::DepartedServer> Departed;
};
// A departure that an earlier process of this node accepted, as known to other
// nodes.
struct DepartureReported {
  Membership::DepartedServer Departed;
};
using AnnouncementMessage =
    std::variant<AnnouncementArrived, DepartureArrived, DepartureRecorded,
                 DepartureListed, DepartureReported, MembersChanged,
                 ConfigAccepted, EntriesLost>;

// The outcome of an announcement or departure. A departure that could not be
// recorded is not acknowledged.
struct AnnouncementAnswered {
  Http::ExchangeId Exchange = 0;
  Common::ResultCode Code = Common::ResultCode::Ok;
};

// A message from the same service on another node. To answer it on the
// connection on which it arrived, send a ReplyEnvelope with its origin.
struct EnvelopeArrived {
  OriginId Origin = LocalOrigin;
  std::string Content;
};
// The outbound connection that carried envelopes to a node is closed.
// Envelopes that are still unanswered stay unanswered.
struct EnvelopeConnectionLost {
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

using ConfigMessage = std::variant<MembersChanged, EnvelopeArrived,
                                   EnvelopeConnectionLost, StoreEraChanged>;

// Claims the idempotency key of a call that must run at most once.
struct ClaimCall {
  Routing::CallId Call = 0;
  Once::CallKey Key;
  // Hash of the request sent under the key.
  std::uint64_t Fingerprint = 0;
  Common::SteadyTime Deadline;
};
// A call that ran under a claim has ended.
struct ClaimedCallEnded {
  Routing::CallId Call = 0;
  Routing::CallReply Reply;
};
using ClaimsMessage = std::variant<ClaimCall, ClaimedCallEnded, MembersChanged,
                                   EnvelopeArrived, EnvelopeConnectionLost>;

using RolloutMessage =
    std::variant<MembersChanged, ServerWatched, EnvelopeArrived,
                 EnvelopeConnectionLost, StoreEraChanged>;

// What the tenants asked of this node since the last such message.
struct DemandCounted {
  Tenants::NodeReport Report;
};
using QuotaMessage = std::variant<DemandCounted, ConfigAccepted, MembersChanged,
                                  EnvelopeArrived, EnvelopeConnectionLost>;

// The result of validating one record of the configuration log.
struct RecordValidated {
  Config::RecordResult Result;
};
struct TrafficCounter {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};
// Configuration traffic since the start of the process, by kind of message.
struct ConfigTraffic {
  std::map<std::string, TrafficCounter> ByKind;
};
struct MembershipTraffic {
  Membership::Traffic Counts;
};
struct MetricsReady {
  Http::ExchangeId Exchange = 0;
  std::string Page;
};
using AdminMessage =
    std::variant<VersionInForce, ServersChanged, RecordValidated,
                 MembershipTraffic, MetricsReady, ConfigTraffic>;

struct CallsEnded {
  std::vector<Report::CallSample> Samples;
};
struct MetricsRequested {
  Http::ExchangeId Exchange = 0;
};
using MetricsMessage = std::variant<CallsEnded, MetricsRequested>;

} // namespace Node
