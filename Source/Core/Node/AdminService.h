#pragma once

#include <charconv>
#include <deque>
#include <memory>
#include <sstream>
#include <string>

#include <spdlog/spdlog.h>

#include "Common/IniDocument.h"
#include "Http/EdgeServer.h"
#include "Http/Escaping.h"
#include "Kernel/Host.h"
#include "Node/MemoryShares.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"

namespace Node {

// Serves the HTTP interface for operators and receives the announcements of the
// local backend server.
template <Kernel::MessageSink<BackendMessage> Backend,
          Kernel::MessageSink<MembersMessage> Members,
          Kernel::MessageSink<MetricsMessage> Metrics>
class AdminService {
public:
  using Message = AdminMessage;

  struct Sinks {
    Backend ToBackend;
    Members ToMembers;
    Metrics ToMetrics;
  };

  AdminService(Kernel::Context Context, const NodeSettings &Settings,
               std::function<Sinks()> FindSinks)
      : Task(Context.ServiceTask), Settings(Settings),
        FindSinks(std::move(FindSinks)) {}

  void start() {
    Targets = FindSinks();
    Listener =
        Http::EdgeServerBuilder(Task)
            .address(Settings.Address)
            .port(Settings.AdminPort)
            .capacity(serviceCapacity(Settings, AdminPercent))
            .onRequest([this](Http::ExchangeId Id, Http::Request Request) {
              handleRequest(Id, Request);
            })
            .build();
    spdlog::info("event=admin-listening address={}:{}", Settings.Address,
                 Listener->port());
  }

  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
  }

  void stop() { Listener.reset(); }

private:
  static constexpr std::size_t MaxRecordResults = 256;

  void onMessage(VersionInForce &Event) {
    InForce = Event.Version;
    InForceSince = std::chrono::system_clock::now();
  }
  void onMessage(ServersChanged &Event) { Servers = Event.Servers; }
  void onMessage(MembershipTraffic &Event) {
    LatestMembershipTraffic = std::move(Event.Counts);
  }
  void onMessage(ConfigTraffic &Event) {
    LatestConfigTraffic = std::move(Event);
  }
  void onMessage(RecordValidated &Event) {
    RecordResults.push_back(Event.Result);
    if (RecordResults.size() > MaxRecordResults)
      RecordResults.pop_front();
  }

  void onMessage(MetricsReady &Event) {
    Listener->respond(
        Event.Exchange,
        {200, {{"content-type", "text/plain"}}, std::move(Event.Page)});
  }

  void handleRequest(Http::ExchangeId Id, const Http::Request &Request) {
    if (Request.Method == "GET" && Request.Path == "/v1/metrics")
      Targets.ToMetrics.post(MetricsRequested{Id});
    else
      Listener->respond(Id, reply(Request));
  }

  Http::Response reply(const Http::Request &Request) {
    if (Request.Method == "GET" && Request.Path == "/v1/status")
      return {200, {{"content-type", "text/plain"}}, statusText()};
    if (Request.Method == "POST" && Request.Path == "/v1/servers")
      return announce(Request.Body);
    if (Request.Method == "DELETE" &&
        Request.Path.rfind("/v1/servers/", 0) == 0)
      return withdraw(
          Http::unescapeUrl(Request.Path.substr(sizeof("/v1/servers/") - 1)));
    return {404, {}, "no such page\n"};
  }

  static void
  writeTraffic(std::ostream &Out, const std::string &Direction,
               const std::map<std::string, Membership::TrafficCount> &Counts) {
    Out << "[members " << Direction << "]\n";
    for (const auto &[Kind, Count] : Counts)
      Out << Kind << "-datagrams = " << Count.Datagrams << "\n"
          << Kind << "-bytes = " << Count.Bytes << "\n";
  }

  std::string statusText() const {
    std::ostringstream Out;
    Out << "[node]\nname = " << Settings.Name
        << "\ndata-centre = " << Settings.DataCentre
        << "\nversion = " << InForce << "\nin-force-since-us = "
        << std::chrono::duration_cast<Common::Micros>(
               InForceSince.time_since_epoch())
               .count()
        << "\n";
    Out << "[config-traffic]\n";
    for (const auto &[Kind, Sum] : LatestConfigTraffic.ByKind)
      Out << Kind << " = " << Sum.Messages << " messages " << Sum.Bytes
          << " bytes\n";
    if (Servers)
      for (const auto &[Service, Entries] : Servers->ByService) {
        Out << "[service " << Service << "]\n";
        for (const Routing::ServerEntry &Server : Entries)
          Out << Server.Server << " = " << Server.Node << " "
              << Server.DataCentre << "\n";
      }
    writeTraffic(Out, "sent", LatestMembershipTraffic.Sent);
    writeTraffic(Out, "received", LatestMembershipTraffic.Received);
    for (const Config::RecordResult &Result : RecordResults)
      Out << "[record " << Result.Offset << "]\nid = " << Result.RecordId
          << "\nresult = " << Common::resultCodeNumber(Result.Code)
          << "\nbase = " << Result.Base << "\nwinner = " << Result.Winner
          << "\nauthor = " << Result.Author << "\ndetail = " << Result.Detail
          << "\n";
    return Out.str();
  }

  Http::Response announce(const std::string &Body) {
    const Common::IniDocument Document = Common::parseIni("request", Body);
    ServerAnnounced Announced;
    if (Document.Sections.size() == 1 && Document.BadLines.empty()) {
      const Common::IniSection &Section = Document.Sections[0];
      if (Section.Name.rfind("server ", 0) == 0)
        Announced.Server.Server = Section.Name.substr(sizeof("server ") - 1);
      for (const Common::IniEntry &Entry : Section.Entries) {
        if (Entry.Key == "service")
          Announced.Server.Service = Entry.Value;
        else if (Entry.Key == "address")
          Announced.Address = Entry.Value;
        else if (Entry.Key == "slots")
          std::from_chars(Entry.Value.data(),
                          Entry.Value.data() + Entry.Value.size(),
                          Announced.Server.Slots);
      }
    }
    if (Announced.Server.Server.empty() || Announced.Server.Service.empty() ||
        Announced.Address.empty() || Announced.Server.Slots < 1)
      return {400,
              {{"x-zinnia-result", "110"}},
              "110 MalformedRequest: wanted is [server NAME] with service, "
              "address and slots\n"};
    Targets.ToBackend.post(Announced);
    Targets.ToMembers.post(Announced);
    return {200, {}, "announced\n"};
  }

  Http::Response withdraw(const std::string &Server) {
    Targets.ToMembers.post(ServerLeft{Server});
    return {200, {}, "withdrawn\n"};
  }

  Kernel::Task &Task;
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  std::unique_ptr<Http::EdgeServer> Listener;
  Config::Version InForce = 0;
  Common::WallTime InForceSince;
  Routing::ServerViewPtr Servers;
  ConfigTraffic LatestConfigTraffic;
  std::deque<Config::RecordResult> RecordResults;
  Membership::Traffic LatestMembershipTraffic;
};

} // namespace Node
