// Messages between the processes of the system. Peers exchange frames over TCP:
// a four-byte big-endian length, then a Frame in the compact protocol. The UDP
// datagrams are defined in Members.thrift.
namespace cpp Wire.Generated

struct Hello {
  1: string Node,
  2: string DataCentre,
  3: i32 ProtocolLevel,
}

struct CallRequest {
  1: i64 CallId,
  2: string Service,
  3: string Kind,
  4: string Method,
  5: string Target,
  6: binary Body,
  7: map<string, string> Headers,
  8: i64 RemainingMicros,
  9: i32 AttemptsLeft,
  10: bool LongLane,
  11: string CorrelationId,
  12: string Caller,
  13: i64 ConfigVersion,
  14: bool Idempotent,
  15: i64 TargetMicros,
  16: i32 Priority,
  17: optional i64 WaitLimitMicros,
  18: string Server,
  19: i64 TargetLengthMicros,
  20: string Tenant,
  21: i64 ExpectedCostMicros,
}

struct CallReply {
  1: i64 CallId,
  2: i32 Result,
  3: i32 HttpStatus,
  4: binary Body,
  5: map<string, string> Headers,
  6: i32 Queued,
  7: i32 BusySlots,
  8: i32 Slots,
  9: i64 QueueMicros,
  10: i64 ServiceMicros,
  11: string Server,
  12: i64 SlotMicros,
  13: i32 FailurePercent,
  14: i64 BacklogMicros,
  15: i32 SlownessPercent,
}

struct CancelCall {
  1: i64 CallId,
}

struct Echo {
  1: i64 Sequence,
  2: bool IsAnswer,
}

// A message for the named service on the other node. The module of the service
// defines the encoding of Content.
struct Envelope {
  1: string Service,
  2: binary Content,
}

// The load of the backend server of the sending node, sent between replies.
struct LoadReport {
  1: string Server,
  2: i32 Queued,
  3: i32 BusySlots,
  4: i32 Slots,
  5: i64 SlotMicros,
  6: i32 FailurePercent,
  7: i64 BacklogMicros,
  8: i32 SlownessPercent,
}

union Frame {
  1: Hello HelloFrame,
  2: CallRequest Request,
  3: CallReply Reply,
  4: CancelCall Cancel,
  5: Echo EchoFrame,
  6: Envelope EnvelopeFrame,
  7: LoadReport Load,
}

// A proposed configuration set, as a record on the platform's log.
struct ConfigRecord {
  1: string Id,
  2: i64 Base,
  3: i32 Level,
  4: string Author,
  5: string Note,
  6: binary CompressedSet,
  7: i64 Hash,
}

struct EndpointState {
  1: string Service,
  2: string Server,
  3: i32 Slots,
  4: bool Leaving,
  5: string Version,
}

struct DepartedServerState {
  1: string Server,
  2: i64 LastStartMicros,
  3: i64 ReceivedAtMicros,
}

struct MemberState {
  1: string Node,
  2: string DataCentre,
  3: string Address,
  4: i32 PeerPort,
  5: i32 MemberPort,
  6: i32 ControlPort,
  7: i64 Incarnation,
  8: i32 Health,
  9: list<EndpointState> Endpoints,
  10: i64 ConfigVersion,
  11: optional DepartedServerState Departed,
}
