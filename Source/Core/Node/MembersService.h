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

// Runs the decisions on membership over UDP, and tells the other services who
// is alive and which backend servers there are.
template <Kernel::MessageSink<FrontMessage> Front,
          Kernel::MessageSink<MembersChanged> Config,
          Kernel::MessageSink<MembersChanged> Claims,
          Kernel::MessageSink<AdminMessage> Admin>
class MembersService {
public:
  using Message = MembersMessage;

  struct Sinks {
    Front ToFront;
    Config ToConfig;
    Claims ToClaims;
    Admin ToAdmin;
  };

  MembersService(Kernel::Context Around, const NodeSettings &Settings,
                 std::function<Sinks()> FindSinks)
      : Home(Around.Home), Settings(Settings), FindSinks(std::move(FindSinks)),
        Lease(Settings.AnnouncementLimit),
        Decisions(selfOf(Settings), optionsOf(Settings), seed()) {}

  void start() {
    Targets = FindSinks();
    Socket = std::make_unique<Wire::DatagramSocket>(
        Home, Settings.Address, Settings.MemberPort,
        [this](std::string_view Bytes) { take(Bytes); });
    tick();
  }

  void handle(Message Content) {
    endLapsedLease();
    std::visit([this](auto &Part) { this->take(Part); }, Content);
    publish();
  }

  // Tells everyone that this node leaves and waits until they have heard.
  void drain(std::function<void()> Done) {
    Decisions.leave();
    send(Decisions.tick(now()));
    publish();
    Clock.after(Settings.LeaveDelay, std::move(Done));
  }

  void stop() { Socket.reset(); }

private:
  static constexpr Common::Millis TickInterval{100};
  // What changes often but is not urgent: counters and versions of others.
  static constexpr std::uint64_t TicksPerReport = 10;

  static Membership::Member selfOf(const NodeSettings &Settings) {
    Membership::Member Self;
    Self.Node = Settings.Name;
    Self.DataCentre = Settings.DataCentre;
    Self.Address = Settings.Address;
    Self.PeerPort = Settings.PeerPort;
    Self.MemberPort = Settings.MemberPort;
    Self.ControlPort = Settings.ControlPort;
    // A process that takes the place of another must be the newer one.
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
    for (const SeedAddress &Each : Settings.Seeds)
      Result.Seeds.push_back({Each.Address, Each.Port});
    return Result;
  }

  static std::uint64_t seed() {
    std::random_device Source;
    return (static_cast<std::uint64_t>(Source()) << 32U) | Source();
  }

  void take(ServerAnnounced &Part) {
    if (!Lease.renew(Part.Server, now()))
      return;
    spdlog::info("event=server-announced server={} service={}",
                 Part.Server.Server, Part.Server.Service);
    Decisions.announce(Part.Server);
  }

  void take(ServerLeft &Part) {
    if (const auto Left = Lease.release(Part.Server))
      withdraw(*Left, "left");
  }

  void take(SeedsFound &Part) { Decisions.addSeeds(Part.Seeds, now()); }

  void take(VersionInForce &Part) { Decisions.setConfigVersion(Part.Number); }

  void endLapsedLease() {
    if (const auto Lapsed = Lease.expire(now()))
      withdraw(*Lapsed, "fell silent");
  }

  void withdraw(const std::string &Server, const std::string &Why) {
    spdlog::warn("event=server-withdrawn server={} reason=\"{}\"", Server, Why);
    Decisions.withdraw(Server);
  }

  void take(std::string_view Bytes) {
    endLapsedLease();
    try {
      const Membership::Datagram Heard = Wire::decodeDatagram(Bytes);
      Counts.Received[Membership::kindName(Heard.Body)].add(Bytes.size());
      send(Decisions.handleDatagram(Heard, now()));
    } catch (const Common::Error &Failure) {
      spdlog::warn("event=datagram-refused reason=\"{}\"", Failure.what());
      return;
    }
    publish();
  }

  void tick() {
    Clock.after(TickInterval, [this] { tick(); });
    endLapsedLease();
    send(Decisions.tick(now()));
    publish();
    if (++Ticks % TicksPerReport != 0)
      return;
    Targets.ToAdmin.post(MembershipTraffic{Counts});
    publishMembers();
  }

  void send(const std::vector<Membership::OutgoingDatagram> &Datagrams) {
    for (const Membership::OutgoingDatagram &Each : Datagrams) {
      const std::string Bytes = Wire::encodeDatagram(Each.Content);
      Counts.Sent[Membership::kindName(Each.Content.Body)].add(Bytes.size());
      Socket->send(Each.To.Address, Each.To.Port, Bytes);
    }
  }

  void publish() {
    if (PublishedRevision == Decisions.table().revision())
      return;
    PublishedRevision = Decisions.table().revision();
    publishMembers();
    publishServers();
  }

  void publishMembers() {
    auto Alive = std::make_shared<std::vector<Membership::Member>>();
    Alive->push_back(Decisions.table().self());
    for (const Membership::Member *Each : Decisions.table().others())
      if (Membership::isLive(*Each))
        Alive->push_back(*Each);
    if (PublishedMembers && *PublishedMembers == *Alive)
      return;
    PublishedMembers = Alive;
    Targets.ToConfig.post(MembersChanged{PublishedMembers});
    Targets.ToClaims.post(MembersChanged{PublishedMembers});
  }

  void publishServers() {
    Routing::ServerViewPtr Servers = Decisions.table().servers();
    const std::size_t Nodes = PublishedMembers ? PublishedMembers->size() : 1;
    if (Published && *Published == *Servers && PublishedNodes == Nodes)
      return;
    Published = Servers;
    PublishedNodes = Nodes;
    Targets.ToFront.post(ServersChanged{Servers, Nodes});
    Targets.ToAdmin.post(ServersChanged{Servers, Nodes});
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Membership::ServerLease Lease;
  Membership::Prober Decisions;
  std::unique_ptr<Wire::DatagramSocket> Socket;
  Membership::Traffic Counts;
  std::uint64_t Ticks = 0;
  std::optional<std::uint64_t> PublishedRevision;
  Routing::ServerViewPtr Published;
  std::size_t PublishedNodes = 0;
  std::shared_ptr<const std::vector<Membership::Member>> PublishedMembers;
};

} // namespace Node
