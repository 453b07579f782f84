#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Node/RolloutService.h"

BOOST_AUTO_TEST_SUITE(RolloutServices)

namespace {

using Common::Millis;
using Common::ResultCode;
using Rollout::State;

// The store of all nodes. It answers at once.
struct SharedStore {
  std::vector<Rollout::Order> Orders;
  std::vector<Rollout::Status> Statuses;
  bool IsAway = false;
  std::optional<Recovery::StoreEra> Era;
};

struct StoreStub {
  SharedStore *Shared = nullptr;
  Kernel::Timers *Clock = nullptr;

  void readOrders(const std::function<void(Rollout::OrdersRead)> &OnDone) {
    awaitOrders(0, {}, OnDone);
  }
  void awaitOrders(std::int64_t Position, Common::Micros,
                   const std::function<void(Rollout::OrdersRead)> &OnDone) {
    Clock->after(Millis(50), [this, Position, OnDone] {
      Rollout::OrdersRead Read;
      Read.Code = Shared->IsAway ? ResultCode::LogUnavailable : ResultCode::Ok;
      Read.Next = static_cast<std::int64_t>(Shared->Orders.size());
      Read.Era = Shared->Era;
      for (const Rollout::Order &Entry : Shared->Orders)
        if (!Shared->IsAway && Entry.Position > Position)
          Read.Orders.push_back(Entry);
      OnDone(Read);
    });
  }
  void readStatuses(const std::function<void(Rollout::StatusesRead)> &OnDone) {
    Rollout::StatusesRead Read;
    Read.Code = Shared->IsAway ? ResultCode::LogUnavailable : ResultCode::Ok;
    if (!Shared->Statuses.empty())
      Read.Statuses.push_back(Shared->Statuses.back());
    Read.End = static_cast<std::int64_t>(Shared->Statuses.size());
    Read.Era = Shared->Era;
    OnDone(Read);
  }
  void writeStatus(const Rollout::Status &Content, std::int64_t End,
                   const std::function<void(Recovery::StoreAnswer)> &OnDone) {
    if (End != static_cast<std::int64_t>(Shared->Statuses.size())) {
      OnDone({ResultCode::PublishRaceLost, Shared->Era});
      return;
    }
    Shared->Statuses.push_back(Content);
    OnDone({ResultCode::Ok, Shared->Era});
  }
  void cancel() {}
};

// Calls a function with each message.
template <class Message> struct CallingSink {
  std::function<void(Message)> OnMessage;
  Kernel::PostResult post(Message Content) {
    OnMessage(std::move(Content));
    return Kernel::PostResult::Accepted;
  }
};

using Service =
    Node::RolloutService<StoreStub, CallingSink<Node::IngressMessage>,
                         CallingSink<Node::BackendMessage>,
                         CallingSink<Node::ControlMessage>>;

constexpr int NodeCount = 6;

// Nodes of two data centres; the last two of the six servers are new. Their
// calls are counted, not made.
struct Cluster {
  Kernel::Task Worker{"t"};
  Kernel::Registry Names;
  std::unique_ptr<Kernel::Timers> Clock;
  SharedStore Store;
  std::vector<std::unique_ptr<Service>> Services;
  std::vector<Rollout::WatchOrder> Watched;
  std::vector<Routing::VersionPolicyPtr> Policies;
  std::vector<Rollout::KindEvidence> Counts;
  std::set<int> Stopped;
  bool IsNewBad = false;
  std::shared_ptr<std::vector<Membership::Member>> Members =
      std::make_shared<std::vector<Membership::Member>>();

  Cluster() : Watched(NodeCount), Policies(NodeCount), Counts(NodeCount) {
    Worker.spawn();
    Worker.runAndWait([this] {
      Clock = std::make_unique<Kernel::Timers>(Worker);
      for (int Index = 0; Index < NodeCount; ++Index)
        addNode(Index);
      announce();
      work();
    });
  }
  ~Cluster() {
    Worker.runAndWait([this] {
      Clock.reset();
      Services.clear();
    });
  }

  static bool isNew(int Index) { return Index >= 4; }

  void addNode(int Index) {
    Membership::Member Member;
    Member.Node = "n" + std::to_string(Index);
    Member.DataCentre = Index % 2 == 0 ? "even" : "odd";
    Member.Address = "10.0.0.1";
    Member.ControlPort = Index;
    Member.Endpoints.push_back({"s", "i" + std::to_string(Index), 6, false,
                                isNew(Index) ? "v2" : "v1"});
    Members->push_back(Member);
    Node::NodeSettings Settings;
    Settings.Name = Member.Node;
    Settings.DataCentre = Member.DataCentre;
    auto Orders = std::make_unique<StoreStub>();
    Orders->Shared = &Store;
    Orders->Clock = Clock.get();
    Services.push_back(std::make_unique<Service>(
        Kernel::Context{Worker, Names}, Settings, Rollout::Bounds{0.1},
        [this, Index] {
          const auto Use = [this, Index](const auto &Message) {
            use(Index, Message);
          };
          return Service::Sinks{{Use}, {Use}, {Use}};
        },
        std::move(Orders)));
    Services.back()->start();
  }

  void use(int Index, const Node::IngressMessage &Message) {
    Policies[static_cast<std::size_t>(Index)] =
        std::get<Node::VersionPolicyChanged>(Message).Policy;
  }
  void use(int Index, const Node::BackendMessage &Message) {
    Watched[static_cast<std::size_t>(Index)] =
        std::get<Node::WatchServer>(Message).Ordered;
  }
  void use(int Index, const Node::ControlMessage &Message) {
    const auto &Sent = std::get<Node::SendEnvelope>(Message);
    const int To = std::stoi(Sent.Address.substr(Sent.Address.find(':') + 1));
    if (!Stopped.contains(Index) && !Stopped.contains(To))
      Worker.post([this, To, Content = Sent.Content] {
        Services[static_cast<std::size_t>(To)]->handle(
            Node::EnvelopeArrived{1, Content});
      });
  }

  void announce() {
    auto Alive = std::make_shared<std::vector<Membership::Member>>();
    for (int Index = 0; Index < NodeCount; ++Index)
      if (!Stopped.contains(Index))
        Alive->push_back((*Members)[static_cast<std::size_t>(Index)]);
    for (const auto &Entry : Services)
      Entry->handle(Node::MembersChanged{Alive});
  }

  void work() {
    Clock->after(Millis(200), [this] { work(); });
    for (std::size_t Index = 0; Index < NodeCount; ++Index) {
      if (Watched[Index].Position == 0)
        continue;
      Rollout::KindEvidence &Calls = Counts[Index];
      (isNew(static_cast<int>(Index)) && IsNewBad ? Calls.Failed
                                                  : Calls.Answered) += 3;
      Calls.ByTime[5] += 3;
      Services[Index]->handle(
          Node::ServerWatched{Watched[Index], {{"k", Calls}}, 0});
    }
  }

  // Waits until the condition holds, checked on the thread of the nodes.
  bool waitFor(Common::Duration Limit, const std::function<bool()> &Holds) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    for (;;) {
      bool IsMet = false;
      Worker.runAndWait([&] { IsMet = Holds(); });
      if (IsMet || std::chrono::steady_clock::now() > End)
        return IsMet;
      std::this_thread::sleep_for(Millis(20));
    }
  }
  bool isWritten(State Reached) const {
    return !Store.Statuses.empty() && Store.Statuses.back().Reached == Reached;
  }
  void order() {
    Worker.runAndWait([this] {
      Store.Orders.push_back({"s", "v2", Millis(14'000), 1});
    });
  }
  // The share of calls to the new version at all nodes that run.
  bool haveShare(double Share) const {
    for (int Index = 0; Index < NodeCount; ++Index) {
      const auto &Policy = Policies[static_cast<std::size_t>(Index)];
      if (!Stopped.contains(Index) && (!Policy || !Policy->contains("s") ||
                                       Policy->at("s").TargetShare != Share))
        return false;
    }
    return true;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(CompletesThoughTheFirstCoordinatorStops) {
  Cluster Nodes;
  Nodes.order();
  BOOST_REQUIRE(Nodes.waitFor(Millis(8'000),
                              [&] { return Nodes.isWritten(State::Running); }));
  // Every node that may coordinate but one per data centre stops.
  Nodes.Worker.runAndWait([&] {
    Nodes.Stopped = {0, 1};
    Nodes.announce();
  });
  BOOST_REQUIRE(Nodes.waitFor(
      Millis(20'000), [&] { return Nodes.isWritten(State::Completed); }));
  BOOST_TEST(Nodes.waitFor(Millis(1'000), [&] { return Nodes.haveShare(1); }));
  BOOST_TEST(Nodes.waitFor(Millis(1'000), [&] {
    return Nodes.Watched[2].IsClosed && Nodes.Watched[3].IsClosed &&
           !Nodes.Watched[4].IsClosed;
  }));
}

// Guards against an operator who is told nothing, and a roll-out that begins
// once more: the store came back from a copy of before the order.
BOOST_AUTO_TEST_CASE(GoesOnAfterTheStoreHasLostTheOrderAndItsStatus) {
  Cluster Nodes;
  Nodes.Worker.runAndWait([&] { Nodes.Store.Era = 1; });
  Nodes.order();
  BOOST_REQUIRE(Nodes.waitFor(Millis(8'000),
                              [&] { return Nodes.isWritten(State::Running); }));
  Nodes.Worker.runAndWait([&] {
    Nodes.Store.Statuses.clear();
    Nodes.Store.Orders.clear();
    Nodes.Store.Era = 2;
  });
  // What the system wrote has to be back two seconds after the store.
  BOOST_TEST(Nodes.waitFor(Millis(2'000),
                           [&] { return Nodes.isWritten(State::Running); }));
  Nodes.order();
  BOOST_REQUIRE(Nodes.waitFor(
      Millis(20'000), [&] { return Nodes.isWritten(State::Completed); }));
  BOOST_TEST(Nodes.Store.Statuses.size() == 2U);
  // A status that is final is written again as well, and the order does not
  // begin once more.
  Nodes.Worker.runAndWait([&] {
    Nodes.Store.Statuses.clear();
    Nodes.Store.Era = 4;
  });
  BOOST_TEST(Nodes.waitFor(Millis(2'000),
                           [&] { return Nodes.isWritten(State::Completed); }));
  std::this_thread::sleep_for(Millis(1'500));
  Nodes.Worker.runAndWait(
      [&] { BOOST_TEST(Nodes.Store.Statuses.size() == 1U); });
}

BOOST_AUTO_TEST_CASE(RollsBackThoughTheStoreIsAwayForAWhile) {
  Cluster Nodes;
  Nodes.IsNewBad = true;
  Nodes.order();
  BOOST_REQUIRE(Nodes.waitFor(Millis(8'000),
                              [&] { return Nodes.isWritten(State::Running); }));
  Nodes.Worker.runAndWait([&] { Nodes.Store.IsAway = true; });
  // All nodes stop their calls to the version, whether or not the status can
  // be written.
  BOOST_TEST(Nodes.waitFor(Millis(3'000), [&] { return Nodes.haveShare(0); }));
  Nodes.Worker.runAndWait([&] { Nodes.Store.IsAway = false; });
  BOOST_TEST(Nodes.waitFor(Millis(5'000),
                           [&] { return Nodes.isWritten(State::RolledBack); }));
}

BOOST_AUTO_TEST_SUITE_END()
