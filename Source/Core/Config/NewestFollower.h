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
  // How long one read waits at the source. A read that is held up in silence
  // is noticed only after this.
  Common::Micros Wait{10'000'000};
  // After a newer set came, so long passes before the next read, since changes
  // come in series and a read brings all of them. A third of the two seconds
  // in which a change has to be in force.
  Common::Micros Gather{600'000};
  Common::Micros LeastBackoff{100'000};
  Common::Micros MostBackoff{1'000'000};
  // How long a node that is behind a peer waits for its own read.
  Common::Micros PeerDelay{150'000};
  // While the source does not answer, peers are asked this often.
  Common::Micros AskInterval{300'000};
  // How long an asked peer may take.
  Common::Micros AskLimit{500'000};
};

// Another node that may have a newer set.
struct FollowPeer {
  std::string Node;
  std::string Address;
  Version Held = 0;
};

struct ReadNewestSet {};
struct ReadOnFrom {
  SourcePosition From = 0;
};
// The read under way is given up: it is taken for dead.
struct CancelRead {};
struct AskPeer {
  std::string Address;
};
using FollowAction =
    std::variant<ReadNewestSet, ReadOnFrom, CancelRead, AskPeer>;
using FollowActions = std::vector<FollowAction>;

// Decides for one node how it keeps up with a source that holds the newest set
// for good: it has one read open at all times, and asks its peers when they
// are ahead or when the source does not answer it. The version in force never
// moves back, whoever the set comes from.
class NewestFollower {
public:
  NewestFollower(const FollowOptions &Given, std::uint64_t Seed)
      : Given(Given), Random(Seed), Backoff(Given.LeastBackoff) {}

  FollowActions start(Common::SteadyTime Now);
  // A read ended; the set in it, if any, was offered by isNews before.
  FollowActions answered(const SourceAnswer &Answer, Common::SteadyTime Now);
  FollowActions tick(const std::vector<FollowPeer> &Peers,
                     Common::SteadyTime Now);
  // Whether a set of this version has to be put in force; it then is held.
  bool offer(Version Number);
  // An asked peer answered, with a newer set or without one.
  void peerAnswered() { AskedAt.reset(); }

  Version held() const { return Held; }
  bool isCutOff() const { return Failing; }

private:
  FollowActions read();
  void askPeers(const std::vector<FollowPeer> &Peers, Common::SteadyTime Now,
                FollowActions &Actions);

  FollowOptions Given;
  std::mt19937_64 Random;
  Version Held = 0;
  std::optional<SourcePosition> Position;
  bool Failing = false;
  bool Gathering = false;
  Common::Micros Backoff;
  std::optional<Common::SteadyTime> RetryAt;
  std::optional<Common::SteadyTime> BehindSince;
  std::optional<Common::SteadyTime> AskedAt;
  Common::SteadyTime NextAsk;
};

} // namespace Config
