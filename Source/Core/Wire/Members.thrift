// UDP datagrams of the membership protocol between nodes.
include "Zinnia.thrift"

namespace cpp Wire.Generated

struct MemberProbe {
  1: i64 Sequence,
  2: string Target,
}

struct MemberProbeRequest {
  1: i64 Sequence,
  2: string Target,
  3: string TargetAddress,
  4: i32 TargetPort,
}

struct MemberAck {
  1: i64 Sequence,
}

struct MemberGossip {
}

struct MemberListRequest {
  1: string After,
}

struct MemberListPiece {
  1: string LastName,
  2: bool IsLast,
}

struct MemberSummary {
}

union MemberBody {
  1: MemberProbe Probe,
  2: MemberProbeRequest ProbeRequest,
  3: MemberAck Ack,
  4: MemberGossip Gossip,
  5: MemberListRequest ListRequest,
  6: MemberListPiece ListPiece,
  7: MemberSummary Summary,
}

struct MemberDatagram {
  1: string From,
  2: string DataCentre,
  3: string Address,
  4: i32 Port,
  5: i64 Incarnation,
  6: i64 ConfigVersion,
  7: i64 Digest,
  8: MemberBody Body,
  9: list<Zinnia.MemberState> Updates,
}
