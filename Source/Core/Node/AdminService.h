#pragma once

#include <charconv>
#include <deque>
#include <memory>
#include <sstream>
#include <string>

#include <spdlog/spdlog.h>

#include "Common/IniDocument.h"
#include "Http/Server.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"

namespace Node {

// Answers operators, and takes the announcements of the backend server.
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

  AdminService(Kernel::Context Around, const NodeSettings &Settings,
               std::function<Sinks()> FindSinks)
      : Home(Around.Home), Settings(Settings), FindSinks(std::move(FindSinks)) {
  }

  void start() {
    Targets = FindSinks();
    Listener = Http::ServerBuilder(Home)
                   .address(Settings.Address)
                   .port(Settings.AdminPort)
                   .onRequest([this](Http::ExchangeId Id, Http::Request Asked) {
                     takeRequest(Id, Asked);
                   })
                   .build();
    spdlog::info("event=operators-served address={}:{}", Settings.Address,
                 Listener->port());
  }

  void handle(Message Content) {
    std::visit([this](auto &Part) { this->take(Part); }, Content);
  }

  void stop() { Listener.reset(); }

private:
  static constexpr std::size_t MaxVerdicts = 256;

  void take(VersionInForce &Part) {
    InForce = Part.Number;
    InForceSince = std::chrono::system_clock::now();
  }
  void take(ServersChanged &Part) { Servers = Part.Servers; }
  void take(MembershipTraffic &Part) { Counts = std::move(Part.Counts); }
  void take(ConfigTraffic &Part) { Traffic = std::move(Part); }
  void take(RecordJudged &Part) {
    Verdicts.push_back(Part.Judged);
    if (Verdicts.size() > MaxVerdicts)
      Verdicts.pop_front();
  }

  void take(MetricsReady &Part) {
    Listener->answer(
        Part.Exchange,
        {200, {{"content-type", "text/plain"}}, std::move(Part.Page)});
  }

  void takeRequest(Http::ExchangeId Id, const Http::Request &Asked) {
    if (Asked.Method == "GET" && Asked.Path == "/v1/metrics")
      Targets.ToMetrics.post(MetricsWanted{Id});
    else
      Listener->answer(Id, reply(Asked));
  }

  Http::Response reply(const Http::Request &Asked) {
    if (Asked.Method == "GET" && Asked.Path == "/v1/status")
      return {200, {{"content-type", "text/plain"}}, statusText()};
    if (Asked.Method == "POST" && Asked.Path == "/v1/servers")
      return announce(Asked.Body);
    if (Asked.Method == "DELETE" && Asked.Path.rfind("/v1/servers/", 0) == 0)
      return withdraw(Asked.Path.substr(sizeof("/v1/servers/") - 1));
    return {404, {}, "no such page\n"};
  }

  static void
  writeTraffic(std::ostream &Out, const std::string &Way,
               const std::map<std::string, Membership::TrafficCount> &Counts) {
    Out << "[members " << Way << "]\n";
    for (const auto &[Kind, Each] : Counts)
      Out << Kind << "-datagrams = " << Each.Datagrams << "\n"
          << Kind << "-bytes = " << Each.Bytes << "\n";
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
    for (const auto &[Kind, Sum] : Traffic.ByKind)
      Out << Kind << " = " << Sum.Messages << " messages " << Sum.Bytes
          << " bytes\n";
    if (Servers)
      for (const auto &[Service, Entries] : Servers->ByService) {
        Out << "[service " << Service << "]\n";
        for (const Routing::ServerEntry &Each : Entries)
          Out << Each.Server << " = " << Each.Node << " " << Each.DataCentre
              << "\n";
      }
    writeTraffic(Out, "sent", Counts.Sent);
    writeTraffic(Out, "received", Counts.Received);
    for (const Config::RecordResult &Each : Verdicts)
      Out << "[record " << Each.Offset << "]\nid = " << Each.RecordId
          << "\nresult = " << Common::resultCodeNumber(Each.Code)
          << "\nbase = " << Each.Base << "\nwinner = " << Each.Winner
          << "\nauthor = " << Each.Author << "\ndetail = " << Each.Detail
          << "\n";
    return Out.str();
  }

  Http::Response announce(const std::string &Body) {
    const Common::IniDocument Document = Common::parseIni("request", Body);
    ServerAnnounced Heard;
    if (Document.Sections.size() == 1 && Document.BadLines.empty()) {
      const Common::IniSection &Section = Document.Sections[0];
      if (Section.Name.rfind("server ", 0) == 0)
        Heard.Server.Server = Section.Name.substr(sizeof("server ") - 1);
      for (const Common::IniEntry &Each : Section.Entries) {
        if (Each.Key == "service")
          Heard.Server.Service = Each.Value;
        else if (Each.Key == "address")
          Heard.Address = Each.Value;
        else if (Each.Key == "slots")
          std::from_chars(Each.Value.data(),
                          Each.Value.data() + Each.Value.size(),
                          Heard.Server.Slots);
      }
    }
    if (Heard.Server.Server.empty() || Heard.Server.Service.empty() ||
        Heard.Address.empty() || Heard.Server.Slots < 1)
      return {400,
              {{"x-zinnia-result", "110"}},
              "110 MalformedRequest: wanted is [server NAME] with service, "
              "address and slots\n"};
    Targets.ToBackend.post(Heard);
    Targets.ToMembers.post(Heard);
    return {200, {}, "announced\n"};
  }

  Http::Response withdraw(const std::string &Server) {
    Targets.ToMembers.post(ServerLeft{Server});
    return {200, {}, "withdrawn\n"};
  }

  Kernel::Task &Home;
  NodeSettings Settings;
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  std::unique_ptr<Http::Server> Listener;
  Config::Version InForce = 0;
  Common::WallTime InForceSince;
  Routing::ServerViewPtr Servers;
  ConfigTraffic Traffic;
  std::deque<Config::RecordResult> Verdicts;
  Membership::Traffic Counts;
};

} // namespace Node
