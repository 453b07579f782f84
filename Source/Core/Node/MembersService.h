#pragma once

#include <chrono>
#include <memory>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Kernel/Host.h"
#include "Membership/MemberTable.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Wire/Codec.h"
#include "Wire/DatagramSocket.h"

namespace Node {

// Keeps the table of members by heartbeats over UDP, and tells the near side
// which backend servers are live.
template <Kernel::MessageSink<FrontMessage> Front,
          Kernel::MessageSink<ConfigMessage> Config,
          Kernel::MessageSink<ClaimsMessage> Claims,
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
        Table(selfOf(Settings), Settings.FailureLimit) {}

  void start() {
    Targets = FindSinks();
    Socket = std::make_unique<Wire::DatagramSocket>(
        Home, Settings.Address, Settings.MemberPort,
        [this](std::string_view Bytes) { take(Bytes); });
    beat();
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
    publish();
  }

  // Tells everyone that this node leaves and waits until they have heard.
  void drain(std::function<void()> Done) {
    Table.leave();
    sendAll();
    publish();
    Clock.after(Settings.LeaveDelay, std::move(Done));
  }

  void stop() { Socket.reset(); }

private:
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

  void take(ServerAnnounced &Part) {
    if (Announced != Part.Server.Server)
      spdlog::info("backend server {} of {} announced itself",
                   Part.Server.Server, Part.Server.Service);
    Announced = Part.Server.Server;
    const auto &Own = Table.self().Endpoints;
    if (Own.empty() || !(Own.front() == Part.Server))
      Table.announce(Part.Server);
    if (Lease)
      Clock.cancel(*Lease);
    Lease = Clock.after(Settings.AnnouncementLimit, [this] {
      Lease.reset();
      withdraw("fell silent");
    });
  }

  void take(ServerLeft &Part) {
    if (Part.Server == Announced)
      withdraw("left");
  }

  void take(VersionInForce &Part) { Table.setConfigVersion(Part.Number); }

  void withdraw(const std::string &Why) {
    spdlog::warn("backend server {} {}", Announced, Why);
    Table.withdraw(Announced);
    Announced.clear();
    sendAll();
    publish();
  }

  void take(std::string_view Bytes) {
    try {
      const Wire::Heartbeat Heard = Wire::decodeHeartbeat(Bytes);
      for (const Membership::Member &Each : Heard.Members)
        Table.merge(Each, Each.Node == Heard.From, now());
    } catch (const Common::Error &Failure) {
      spdlog::warn("datagram: {}", Failure.what());
      return;
    }
    publish();
  }

  void beat() {
    Table.expire(now());
    sendAll();
    publish();
    Clock.after(Settings.HeartbeatInterval, [this] { beat(); });
  }

  void sendAll() {
    std::vector<Membership::Member> Told = Table.others();
    std::erase_if(Told, [](const Membership::Member &Each) {
      return Each.State == Membership::Health::Dead;
    });
    Told.push_back(Table.self());
    const std::string Content =
        Wire::encodeHeartbeat({Settings.Name, std::move(Told)});
    std::set<std::pair<std::string, int>> Places;
    for (const SeedAddress &Each : Settings.Seeds)
      Places.emplace(Each.Address, Each.Port);
    for (const Membership::Member &Each : Table.others())
      Places.emplace(Each.Address, Each.MemberPort);
    Places.erase({Settings.Address, Settings.MemberPort});
    for (const auto &[Address, Port] : Places)
      Socket->send(Address, Port, Content);
  }

  void publish() {
    publishMembers();
    publishServers();
  }

  void publishMembers() {
    auto Alive = std::make_shared<std::vector<Membership::Member>>();
    Alive->push_back(Table.self());
    for (const Membership::Member &Each : Table.others())
      if (Each.State == Membership::Health::Alive)
        Alive->push_back(Each);
    if (PublishedMembers && *PublishedMembers == *Alive)
      return;
    PublishedMembers = Alive;
    Targets.ToConfig.post(MembersChanged{PublishedMembers});
    Targets.ToClaims.post(MembersChanged{PublishedMembers});
  }

  void publishServers() {
    Routing::ServerViewPtr Servers = Table.servers();
    if (Published && *Published == *Servers)
      return;
    Published = Servers;
    Targets.ToFront.post(ServersChanged{Servers});
    Targets.ToAdmin.post(ServersChanged{Servers});
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Membership::MemberTable Table;
  std::unique_ptr<Wire::DatagramSocket> Socket;
  std::string Announced;
  std::optional<Kernel::TimerId> Lease;
  Routing::ServerViewPtr Published;
  std::shared_ptr<const std::vector<Membership::Member>> PublishedMembers;
};

} // namespace Node
