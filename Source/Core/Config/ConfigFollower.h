#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Config/ConfigSource.h"
#include "Recovery/EraTracker.h"

namespace Config {

struct FollowOptions {
  std::string Node;
  std::string DataCentre;
  // Long-poll wait of a read at the source, and the additional time its answer
  // may take; a slow source takes about a quarter of a second. A read without
  // any data for longer than both has timed out. The sum is short enough that
  // the nodes that long-poll this one can still do a read of their own within
  // the two seconds in which a change has to be in force.
  Common::Micros SourceWait{600'000};
  Common::Micros MinReadSlack{350'000};
  // Every read that times out doubles the slack up to this limit, so that a
  // source that is slower than expected can still be read.
  Common::Micros MaxReadSlack{2'000'000};
  // Long-poll wait at the reader of the data centre. A reader answers as soon
  // as a read of its own has shown that nothing is newer, and only at the end
  // of this wait while the source is slow.
  Common::Micros ReaderWait{850'000};
  // How long a node relies on its reader without an answer: as long as a read
  // of the source may take.
  Common::Micros ReaderSilence{950'000};
  // Long-poll wait and time limit of a poll when there is no recent answer from
  // the previous reader. The next reader then has less time, so that the delays
  // of several failed readers do not add up to more than a change may take.
  Common::Micros TakeOverWait{200'000};
  Common::Micros TakeOverSilence{400'000};
  // A node that has not known for longer than this that its version is the
  // newest polls no further reader and reads the source itself.
  Common::Micros MaxUnconfirmed{1'250'000};
  // How long a node does not poll a reader that failed it: about the time that
  // it takes to detect a dead node and to agree on the next reader. A node that
  // is polled in place of a failed reader reads the source for the same time.
  Common::Micros DirectReadTime{2'000'000};
  // Delay between receiving a newer set and the next read. Changes come in
  // series, and one read returns all of them. The delay is a third of the two
  // seconds in which a change has to be in force. The read after it does not
  // wait at the source, so that a source that stopped responding in the
  // meantime is detected as early as without the delay.
  Common::Micros BatchDelay{600'000};
  Common::Micros MinBackoff{100'000};
  Common::Micros MaxBackoff{1'000'000};
  // How long a node that is behind a peer waits for its read of the source or
  // for its reader before it requests the set from a peer.
  Common::Micros PeerRequestDelay{150'000};
  // A starting node reads the source if it has discovered no peer within this
  // time. Peers are preferred because they send the set compressed to about a
  // tenth of its size.
  Common::Micros PeerDiscoveryTime{250'000};
  // Interval of requests to peers while the source does not answer.
  Common::Micros PeerRequestInterval{300'000};
  Common::Micros PeerRequestTimeout{500'000};
};

// Another node that may have a newer set.
struct FollowPeer {
  std::string Node;
  std::string DataCentre;
  std::string Address;
  Version Held = 0;
};

struct ReadNewestSet {};
struct ReadFrom {
  SourcePosition From = 0;
  Common::Micros Wait{0};
};
// Cancels the pending read of the source, which has timed out or whose
// connection may be lost.
struct CancelRead {};
struct RequestFromPeer {
  std::string Address;
};
// Long-polls the reader of the data centre for a newer set.
struct LongPollReader {
  std::string Address;
  Common::Micros Wait{0};
};
using FollowAction = std::variant<ReadNewestSet, ReadFrom, CancelRead,
                                  RequestFromPeer, LongPollReader>;
using FollowActions = std::vector<FollowAction>;

// Why a node stopped long-polling a reader.
enum class ReaderEnd {
  None,
  // No answer arrived in time.
  Silent,
  // The connection to the reader was lost.
  Lost,
  // The reader stated that it is disconnected from the source.
  Disconnected,
  // The members changed, and another node ranks first.
  Replaced,
  // Another node long-polls this one in place of the reader.
  TakeOver,
};
const char *readerEndName(ReaderEnd Reason);

// Decides for one node how it keeps up with a source that stores the newest set
// permanently. In each data centre one node, chosen by rendezvous hashing, is
// the reader and reads the source. The others long-poll the reader. A change
// thus costs the source one read per data centre, and slow links carry a patch
// instead of the whole set. When the reader times out, is lost or gets no
// answer from the source itself, the others long-poll the node with the second
// rank, which takes over when it is polled. Only if that fails too do they read
// the source directly. The time that all of this may take counts from when the
// node last knew that its version was the newest, however many readers fail. A
// node sends requests to its peers when they have a newer set or when the
// source does not answer. The version in force never decreases, wherever a set
// comes from.
class ConfigFollower {
public:
  ConfigFollower(FollowOptions NodeOptions, std::uint64_t Seed)
      : Options(std::move(NodeOptions)), Random(Seed),
        Backoff(Options.MinBackoff), ReadSlack(Options.MinReadSlack) {}

  FollowActions start(Common::SteadyTime Now);
  // Updates the other nodes that are alive.
  void setPeers(std::vector<FollowPeer> Alive);
  // Whether the content and the position of this answer may be used. A read
  // from a position of an earlier era of the source says nothing of what the
  // source holds now.
  bool isUsable(const SourceAnswer &Answer) const;
  // A read of the source completed. If it returned a usable set, adoptVersion
  // was called for it before.
  FollowActions handleSourceAnswer(const SourceAnswer &Answer,
                                   Common::SteadyTime Now);
  // Another call to the source, or a peer, stated this era of the source.
  FollowActions handleEra(std::optional<Recovery::StoreEra> Stated,
                          Common::SteadyTime Now);
  // A part of an answer arrived, which restarts the read timeout. A large
  // answer may take longer than the timeout in total.
  void handleReadProgress(Common::SteadyTime Now);
  FollowActions tick(Common::SteadyTime Now);
  // Returns whether a set of this version is newer and has to be put in force.
  // If so, it becomes the held version.
  bool adoptVersion(Version Offered);
  // A peer answered, with or without a newer set. ReadsSource is whether the
  // peer itself is connected to the source, which is required of a reader.
  FollowActions handlePeerAnswer(const std::string &Node, bool ReadsSource,
                                 Common::SteadyTime Now);
  // The connection to a peer was lost.
  FollowActions handlePeerLost(const std::string &Address,
                               Common::SteadyTime Now);
  // Another node long-polls this node.
  FollowActions handleLongPoll(Common::SteadyTime Now);

  Version held() const { return Held; }
  // The latest era of the source that is known.
  std::optional<Recovery::StoreEra> sourceEra() const { return Eras.current(); }
  // Whether the last read of the source failed.
  bool isReadFailing() const { return ReadFailing; }
  // The reader that this node long-polls; empty while it reads the source.
  std::string polledReader() const {
    return ReaderPolledAt ? PolledReader : "";
  }
  // Why the last long poll of a reader ended without a usable answer.
  ReaderEnd lastReaderEnd() const { return LastReaderEnd; }
  // Whether this node reads the source and the source answers, so that other
  // nodes may long-poll this one.
  bool isConnectedToSource(Common::SteadyTime Now) const;
  // Whether this node has begun to read the source in place of its reader, and
  // the source has not answered yet.
  bool isTakingOver() const { return TakingOver; }

private:
  // The best reader that has not failed this node; null when this node has to
  // read the source itself.
  const FollowPeer *preferredReader(Common::SteadyTime Now) const;
  // The same for a new poll, which MaxUnconfirmed may rule out.
  const FollowPeer *readerToPoll(Common::SteadyTime Now) const;
  FollowActions handleReaderFailure(ReaderEnd Reason, Common::SteadyTime Now);
  // Long-polls another reader, or reads the source, after the pending poll
  // ended without a usable answer.
  FollowActions replaceReader(ReaderEnd Reason, Common::SteadyTime Now);
  FollowActions pollReader(const FollowPeer &Reader, Common::SteadyTime Now);
  bool isReaderSilent(Common::SteadyTime Now) const;
  bool isReadOverdue(Common::SteadyTime Now) const;
  bool hasNoSet() const { return Held == 0; }
  std::vector<const FollowPeer *> requestCandidates(bool IsBehind) const;
  FollowActions startRead(Common::SteadyTime Now);
  void scheduleRetry(Common::SteadyTime Now);
  void requestFromPeers(Common::SteadyTime Now, FollowActions &Actions);

  FollowOptions Options;
  std::mt19937_64 Random;
  std::vector<FollowPeer> Peers;
  // Peers with a better rank than this node, which it may long-poll.
  std::vector<FollowPeer> Readers;
  // Readers that failed this node, and until when it does not poll them.
  std::map<std::string, Common::SteadyTime> SuspendedReaders;
  // The reader that was polled last, when the pending poll began, and until
  // when it has to be answered.
  std::string PolledReader;
  std::optional<Common::SteadyTime> ReaderPolledAt;
  Common::SteadyTime ReaderSilentAt;
  // When the source or a reader last showed that no newer version exists.
  std::optional<Common::SteadyTime> ConfirmedAt;
  ReaderEnd LastReaderEnd = ReaderEnd::None;
  // This node reads the source directly until this time.
  Common::SteadyTime DirectReadUntil;
  // When the pending read of the source began or last made progress.
  std::optional<Common::SteadyTime> ReadingSince;
  // Long-poll wait of the pending read at the source.
  Common::Micros ReadWait{0};
  // The previous tick found the read overdue. The read is cancelled only at the
  // next tick, because the VM of this node may have been frozen. The messages
  // that arrived in the meantime have to be processed first.
  bool WasOverdue = false;
  // Whether the source has answered since a read last timed out.
  bool SourceResponding = false;
  bool TakingOver = false;
  Version Held = 0;
  Recovery::EraTracker Eras;
  // Where the next read goes on, in the era that Eras holds.
  std::optional<SourcePosition> Position;
  bool ReadFailing = false;
  // A newer set arrived; the next read is delayed because more may follow.
  bool Batching = false;
  Common::Micros Backoff;
  Common::Micros ReadSlack;
  std::optional<Common::SteadyTime> NextReadAt;
  std::optional<Common::SteadyTime> BehindSince;
  std::optional<Common::SteadyTime> PeerRequestedAt;
  Common::SteadyTime NextPeerRequest;
};

} // namespace Config
