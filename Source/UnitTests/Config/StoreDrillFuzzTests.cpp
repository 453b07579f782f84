#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "UnitTests/Config/FollowedStore.h"

BOOST_AUTO_TEST_SUITE(StoreDrillFuzz)

namespace {

using UnitTests::FollowedStore;
using UnitTests::Millis;

// Set to a larger number for a run by hand.
constexpr const char *SeedCountVariable = "ZINNIA_FUZZ_SEEDS";
constexpr int DefaultSeedCount = 1'000;
// A version is in force two seconds after its last write, or once the nodes are
// in touch again, three seconds after the store is back.
constexpr Millis ApplyTime{2'000};
constexpr Millis StableWindow{3'000};
// Reads of one node and second that a drill with refusals and a lost reader may
// cost, a few times those in calm.
constexpr std::size_t MaxCallsPerNodeAndSecond = 12;

int seedCount() {
  const char *Text = std::getenv(SeedCountVariable);
  return Text ? std::atoi(Text) : DefaultSeedCount;
}

// One history: versions, copies, drills, and nodes that are lost or start.
class History {
public:
  explicit History(std::uint64_t Seed)
      : Random(Seed), DataCentres(1 + pick(3)),
        Store(DataCentres, 1 + pick(4), Random()) {}

  // Returns what went wrong, or nothing.
  std::string play() {
    write();
    run(Millis(3'000));
    for (int Part = 0; Part < 6 && Failure.empty(); ++Part)
      playPart();
    run(StableWindow + ApplyTime);
    for (const std::string &Name : Store.names())
      if (Failure.empty() && Store.era(Name) != Store.storeEra())
        Failure = Name + " does not know the era of the store";
    return Failure;
  }

private:
  int pick(int Count) {
    return static_cast<int>(Random() % static_cast<std::uint64_t>(Count));
  }

  void write() { Store.write(++LastVersion); }

  void run(Millis Length) {
    const std::size_t Before = Store.calls();
    Store.run(Length, [this] { check(); });
    const auto Limit = MaxCallsPerNodeAndSecond * Store.nodeCount() *
                       static_cast<std::size_t>(Length.count() + 1'000) / 1'000;
    if (Failure.empty() && Store.calls() - Before > Limit)
      Failure = std::to_string(Store.calls() - Before) + " calls in " +
                std::to_string(Length.count()) + " ms";
  }

  void check() {
    if (!Failure.empty())
      return;
    const auto &Newest = Store.newest();
    const auto Due = std::max(Newest->At + ApplyTime, BackAt + StableWindow);
    for (const std::string &Name : Store.names()) {
      const Config::Version Held = Store.held(Name);
      if (Held < Highest[Name])
        Failure = Name + " took a version back";
      Highest[Name] = Held;
      if (!IsAway && Store.now() >= std::max(Due, InTouchSince[Name]) &&
          Held < Newest->Number)
        Failure = Name + " holds " + std::to_string(Held) + " instead of " +
                  std::to_string(Newest->Number);
    }
  }

  void playPart() {
    switch (pick(4)) {
    case 0:
      write();
      run(Millis(pick(1'500)));
      break;
    case 1:
      replaceNode();
      run(Millis(pick(1'500)));
      break;
    default:
      drill();
      run(Millis(pick(4'000)));
    }
  }

  void replaceNode() {
    const auto Names = Store.names();
    const std::string &Name =
        Names[static_cast<std::size_t>(pick(static_cast<int>(Names.size())))];
    Store.crash(Name);
    run(Millis(pick(2'000)));
    Highest.erase(Name);
    InTouchSince[Name] = Store.now() + StableWindow;
    Store.start(Name, "d" + std::to_string(pick(DataCentres)));
  }

  void drill() {
    const FollowedStore::Copy Copy = Store.copy();
    const Config::Version Kept = LastVersion;
    for (int Lost = pick(4); Lost > 0; --Lost) {
      write();
      run(Millis(pick(1'200)));
    }
    const Config::Version Newest = LastVersion;
    IsAway = true;
    Store.leave(pick(2) == 0);
    run(Millis(pick(2) == 0 ? 0 : pick(1'200)));
    if (pick(3) == 0)
      replaceNode();
    Store.comeBack(Copy);
    // A second drill may follow before anything was read.
    if (pick(3) == 0)
      Store.comeBack(Copy);
    IsAway = false;
    BackAt = Store.now();
    // The operator writes all that it has lost again, or the newest alone.
    for (Config::Version Lost = pick(2) == 0 ? Kept + 1 : Newest;
         Lost <= Newest && Newest > Kept; ++Lost)
      Store.write(Lost);
    for (int More = pick(3); More > 0; --More)
      write();
  }

  std::mt19937_64 Random;
  int DataCentres;
  FollowedStore Store;
  Config::Version LastVersion = 0;
  std::map<std::string, Config::Version> Highest;
  std::map<std::string, Common::SteadyTime> InTouchSince;
  Common::SteadyTime BackAt;
  bool IsAway = false;
  std::string Failure;
};

} // namespace

// Guards against nodes that stay on an earlier version, take one back, or read
// the store without end, whatever drills the store goes through.
BOOST_AUTO_TEST_CASE(NodesFollowTheStoreThroughDrills) {
  for (int Seed = 1; Seed <= seedCount(); ++Seed) {
    const std::string Failure =
        History(static_cast<std::uint64_t>(Seed)).play();
    BOOST_TEST(Failure.empty(), "seed " << Seed << ": " << Failure);
  }
}

BOOST_AUTO_TEST_SUITE_END()
