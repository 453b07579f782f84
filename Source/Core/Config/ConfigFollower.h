#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Config/ConfigSource.h"

namespace Config {

struct FollowOptions {
  std::string Node;
  std::string DataCentre;
  // How long one read waits at the source, and how long its answer may take
  // beyond that; about a quarter of a second when the source is slow. A read
  // that is held up in silence is taken for dead after both. That leaves the
  // nodes that wait here time for a read of their own within the two seconds in
  // which a change has to be in force.
  Common::Micros Wait{600'000};
  Common::Micros ReadSlack{350'000};
  // Each read that was taken for dead doubles the slack up to this, so that a
  // source which is slower than usual is read all the same.
  Common::Micros MostReadSlack{2'000'000};
  // How long the reader of the data centre may hold an answer back, and how
  // long it may take beyond that. Both together leave time for a read of one's
  // own within the two seconds in which a change has to be in force.
  Common::Micros ReaderWait{1'000'000};
  Common::Micros ReaderSlack{250'000};
  // A reader that failed a node is not asked again for so long: about what it
  // takes to find a dead node and agree on the next reader. A node that was
  // asked in its place reads the source for so long.
  Common::Micros OwnReadTime{2'000'000};
  // After a newer set came, so long passes before the next read, since changes
  // come in series and a read brings all of them. A third of the two seconds
  // in which a change has to be in force. That read does not wait, so that a
  // source that has gone silent meanwhile is noticed as soon as otherwise.
  Common::Micros Gather{600'000};
  Common::Micros LeastBackoff{100'000};
  Common::Micros MostBackoff{1'000'000};
  // How long a node that is behind a peer waits for its own read, or for its
  // reader.
  Common::Micros PeerDelay{150'000};
  // A node that starts reads the source when it has met no peer for so long.
  // Peers send the set packed, to about a tenth.
  Common::Micros MeetTime{250'000};
  // While the source does not answer, peers are asked this often.
  Common::Micros AskInterval{300'000};
  // How long an asked peer may take.
  Common::Micros AskLimit{500'000};
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
// The read under way is given up: it is taken for dead.
struct CancelRead {};
struct RequestFromPeer {
  std::string Address;
};
// Waits at the reader of the data centre for something newer.
struct LongPollReader {
  std::string Address;
  Common::Micros Wait{0};
};
using FollowAction = std::variant<ReadNewestSet, ReadFrom, CancelRead,
                                  RequestFromPeer, LongPollReader>;
using FollowActions = std::vector<FollowAction>;

// Decides for one node how it keeps up with a source that holds the newest set
// for good. One node of each data centre, by rendezvous hashing, reads the
// source; the others wait at that one, so that a change costs the source a
// read for each data centre, and the small links a patch in place of the set.
// Where the reader is silent, gone or without answers itself, they wait at the
// node ranked second, which takes over when it is asked, and only without that
// one read on their own. A node asks its peers when they are ahead, or when the
// source does not answer. The version in force never moves back, whoever the
// set comes from.
class ConfigFollower {
public:
  ConfigFollower(FollowOptions Options, std::uint64_t Seed)
      : Given(std::move(Options)), Random(Seed), Backoff(Given.LeastBackoff),
        ReadSlack(Given.ReadSlack) {}

  FollowActions start(Common::SteadyTime Now);
  // The nodes alive besides this one have changed.
  void usePeers(std::vector<FollowPeer> Alive);
  // A read ended; the set in it, if any, was given to offer before.
  FollowActions answered(const SourceAnswer &Answer, Common::SteadyTime Now);
  // A part of an answer came: the read is alive, however large its answer is.
  void readProgressed(Common::SteadyTime Now);
  FollowActions tick(Common::SteadyTime Now);
  // Whether a set of this version has to be put in force; it then is held.
  bool offer(Version Number);
  // A peer answered, with a newer set or without one. ReadsSource says whether
  // the peer itself is in touch with the source, which a reader has to be.
  FollowActions peerAnswered(const std::string &Node, bool ReadsSource,
                             Common::SteadyTime Now);
  // The connection to a peer is gone.
  FollowActions peerLost(const std::string &Address, Common::SteadyTime Now);
  // Another node wants to wait here for something newer.
  FollowActions asked(Common::SteadyTime Now);

  Version held() const { return Held; }
  bool isCutOff() const { return Failing; }
  // The reader that this node waits at; empty while it reads the source.
  std::string reader() const { return ReaderAskedAt ? AskedReader : ""; }
  // Whether this node reads the source and the source answers, so that others
  // may wait here.
  bool isInTouch(Common::SteadyTime Now) const;
  // Whether this node was asked in place of its reader, and the source has not
  // answered yet.
  bool isTakingOver() const { return TakingOver; }

private:
  // Null when this node reads the source itself.
  const FollowPeer *readerToAsk(Common::SteadyTime Now) const;
  FollowActions readWithoutReader(Common::SteadyTime Now);
  bool isReadOverdue(Common::SteadyTime Now) const;
  bool isNew() const { return Held == 0; }
  std::vector<const FollowPeer *> peersToAsk(bool IsBehind) const;
  FollowActions read(Common::SteadyTime Now);
  void readFailed(Common::SteadyTime Now);
  void askPeers(Common::SteadyTime Now, FollowActions &Actions);

  FollowOptions Given;
  std::mt19937_64 Random;
  std::vector<FollowPeer> Peers;
  // Those ranked before this node that it may wait at.
  std::vector<FollowPeer> Readers;
  // Readers that failed this node, and until when they are not asked.
  std::map<std::string, Common::SteadyTime> Distrusted;
  // The reader that was asked, and when.
  std::string AskedReader;
  std::optional<Common::SteadyTime> ReaderAskedAt;
  // Until then this node reads for itself.
  Common::SteadyTime OwnReadUntil;
  // When the read of the source that is under way began.
  std::optional<Common::SteadyTime> ReadingSince;
  // How long it waits at the source.
  Common::Micros ReadWait{0};
  // The last tick found it overdue. What came meanwhile is taken first, as
  // this node may have been held up itself.
  bool WasOverdue = false;
  // Whether the source answered since a read was last taken for dead.
  bool SourceAnswers = false;
  bool TakingOver = false;
  Version Held = 0;
  std::optional<SourcePosition> Position;
  bool Failing = false;
  // A newer set came; the next read is put off, as more may come.
  bool Gathering = false;
  Common::Micros Backoff;
  Common::Micros ReadSlack;
  std::optional<Common::SteadyTime> RetryAt;
  std::optional<Common::SteadyTime> BehindSince;
  std::optional<Common::SteadyTime> AskedAt;
  Common::SteadyTime NextAsk;
};

} // namespace Config
