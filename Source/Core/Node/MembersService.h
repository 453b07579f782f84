#pragma once

#include <chrono>
#include <memory>
#include <random>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Kernel/Host.h"
#include "Membership/Prober.h"
#include "Membership/ServerLease.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/DatagramSocket.h"
#include "Wire/MembersCodec.h"

namespace Node {

// Runs the membership protocol over UDP, and publishes the live nodes and their
// backend servers to the other services.
template <Kernel::MessageSink<IngressMessage> Ingress,
          Kernel::MessageSink<MembersChanged> Config,
          Kernel::MessageSink<MembersChanged> Claims,
          Kernel::MessageSink<AdminMessage> Admin,
          Kernel::MessageSink<AnnouncementMessage> Announcements =
              Kernel::Address<AnnouncementMessage>,
          Kernel::MessageSink<MembersChanged> Rollouts =
              Kernel::Address<RolloutMessage>>
class MembersService {
public:
  using Message = MembersMessage;

  struct Sinks {
    Ingress ToIngress;
    Config ToConfig;
    Claims ToClaims;
    Admin ToAdmin;
    // Closed if departures do not outlive the process of this node.
    Announcements ToAnnouncements = {};
    // Closed if services are not moved between versions.
    Rollouts ToRollouts = {};
    // Closed if the nodes do not share the quotas of tenants.
    Kernel::Address<QuotaMessage> ToQuota = {};
  };

  MembersService(Kernel::Context Context, const NodeSettings &Settings,
                 std::function<Sinks()> FindSinks)
      : Task(Context.ServiceTask), Settings(Settings),
        FindSinks(std::move(FindSinks)), Lease(Settings.AnnouncementLimit),
        Prober(selfOf(Settings), optionsOf(Settings), seed()) {}

  void start() {
    Targets = FindSinks();
    Socket = std::make_unique<Wire::DatagramSocket>(
        Task, Settings.Address, Settings.MemberPort,
        [this](std::string_view Bytes) { onDatagram(Bytes); });
    tick();
  }

  void handle(Message Content) {
    expireLease();
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
    publish();
  }

  // Announces that this node leaves, and waits for LeaveDelay so that the
  // other nodes receive it.
  void drain(std::function<void()> Done) {
    Prober.leave();
    send(Prober.tick(now()));
    publish();
    Clock.after(Settings.LeaveDelay, std::move(Done));
  }

  void stop() { Socket.reset(); }

private:
  static constexpr Common::Millis TickInterval{100};
  // Ticks between reports of data that changes often but is not urgent: the
  // traffic counters and the configuration versions of other nodes.
  static constexpr std::uint64_t TicksPerReport = 10;

  static Membership::Member selfOf(const NodeSettings &Settings) {
    Membership::Member Self;
    Self.Node = Settings.Name;
    Self.DataCentre = Settings.DataCentre;
    Self.Address = Settings.Address;
    Self.PeerPort = Settings.PeerPort;
    Self.MemberPort = Settings.MemberPort;
    Self.ControlPort = Settings.ControlPort;
    // The start time as incarnation makes a restarted process supersede the
    // previous one.
    Self.Incarnation = std::chrono::duration_cast<Common::Micros>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    return Self;
  }

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  static Membership::ProberOptions optionsOf(const NodeSettings &Settings) {
    Membership::ProberOptions Result;
    Result.TickInterval = TickInterval;
    Result.ProbeInterval = Settings.ProbeInterval;
    Result.ProbeTimeout = Settings.ProbeTimeout;
    Result.SuspicionTimeout = Settings.SuspicionLimit;
    for (const SeedAddress &Seed : Settings.Seeds)
      Result.Seeds.push_back({Seed.Address, Seed.Port});
    return Result;
  }

  static std::uint64_t seed() {
    std::random_device Source;
    return (static_cast<std::uint64_t>(Source()) << 32U) | Source();
  }

  void onMessage(ServerAnnounced &Event) {
    if (!Lease.renew(Event.Server, now()))
      return;
    spdlog::info("event=server-announced server={} service={}",
                 Event.Server.Server, Event.Server.Service);
    Prober.announce(Event.Server);
    disseminateDeparture(Event.Departed);
  }

  void onMessage(ServerLeft &Event) {
    if (const auto Left = Lease.release(Event.Server))
      withdraw(*Left, "left");
    disseminateDeparture(Event.Departed);
  }

  // Sends the departure at once: this process may end before the next tick.
  void disseminateDeparture(
      const std::optional<Membership::DepartedServer> &Departed) {
    if (!Departed || Prober.table().self().Departed == Departed)
      return;
    PublishedDeparture = Departed;
    Prober.recordDeparture(*Departed);
    send(Prober.tick(now()));
  }

  void onMessage(SeedsFound &Event) { Prober.addSeeds(Event.Seeds, now()); }

  void onMessage(VersionInForce &Event) {
    Prober.setConfigVersion(Event.Version);
  }

  void expireLease() {
    if (const auto Lapsed = Lease.expire(now()))
      withdraw(*Lapsed, "announcement timeout");
  }

  void withdraw(const std::string &Server, const std::string &Reason) {
    spdlog::warn("event=server-withdrawn server={} reason=\"{}\"", Server,
                 Reason);
    Prober.withdraw(Server);
  }

  void onDatagram(std::string_view Bytes) {
    expireLease();
    try {
      const Membership::Datagram Datagram = Wire::decodeDatagram(Bytes);
      Counts.Received[Membership::kindName(Datagram.Body)].add(Bytes.size());
      send(Prober.handleDatagram(Datagram, now()));
    } catch (const Common::Error &Failure) {
      spdlog::warn("event=datagram-refused reason=\"{}\"", Failure.what());
      return;
    }
    publish();
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    expireLease();
    send(Prober.tick(now()));
    publish();
    if (++Ticks % TicksPerReport != 0)
      return;
    Targets.ToAdmin.post(MembershipTraffic{Counts});
    publishMembers();
  }

  void send(const std::vector<Membership::OutgoingDatagram> &Datagrams) {
    for (const Membership::OutgoingDatagram &Datagram : Datagrams) {
      const std::string Bytes = Wire::encodeDatagram(Datagram.Content);
      Counts.Sent[Membership::kindName(Datagram.Content.Body)].add(
          Bytes.size());
      Socket->send(Datagram.To.Address, Datagram.To.Port, Bytes);
    }
  }

  void publish() {
    if (PublishedRevision == Prober.table().revision())
      return;
    PublishedRevision = Prober.table().revision();
    publishMembers();
    publishServers();
    publishDeparture();
  }

  // Reports a departure that other nodes know of an earlier process.
  void publishDeparture() {
    const auto &Departed = Prober.table().self().Departed;
    if (!Departed || PublishedDeparture == Departed)
      return;
    PublishedDeparture = Departed;
    Targets.ToAnnouncements.post(DepartureReported{*Departed});
  }

  void publishMembers() {
    auto Alive = std::make_shared<std::vector<Membership::Member>>();
    Alive->push_back(Prober.table().self());
    for (const Membership::Member *Member : Prober.table().others())
      if (Membership::isLive(*Member))
        Alive->push_back(*Member);
    if (PublishedMembers && *PublishedMembers == *Alive)
      return;
    PublishedMembers = Alive;
    Targets.ToConfig.post(MembersChanged{PublishedMembers});
    Targets.ToClaims.post(MembersChanged{PublishedMembers});
    Targets.ToAnnouncements.post(MembersChanged{PublishedMembers});
    Targets.ToRollouts.post(MembersChanged{PublishedMembers});
    Targets.ToQuota.post(MembersChanged{PublishedMembers});
  }

  void publishServers() {
    Routing::ServerViewPtr Servers = Prober.table().servers();
    const std::size_t NodeCount =
        PublishedMembers ? PublishedMembers->size() : 1;
    if (PublishedServers && *PublishedServers == *Servers &&
        PublishedNodeCount == NodeCount)
      return;
    PublishedServers = Servers;
    PublishedNodeCount = NodeCount;
    Targets.ToIngress.post(ServersChanged{Servers, NodeCount});
    Targets.ToAdmin.post(ServersChanged{Servers, NodeCount});
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Membership::ServerLease Lease;
  Membership::Prober Prober;
  std::unique_ptr<Wire::DatagramSocket> Socket;
  Membership::Traffic Counts;
  std::uint64_t Ticks = 0;
  std::optional<std::uint64_t> PublishedRevision;
  Routing::ServerViewPtr PublishedServers;
  std::optional<Membership::DepartedServer> PublishedDeparture;
  std::size_t PublishedNodeCount = 0;
  std::shared_ptr<const std::vector<Membership::Member>> PublishedMembers;
};

} // namespace Node
