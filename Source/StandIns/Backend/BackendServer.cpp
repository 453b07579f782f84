#include "StandIns/Backend/BackendServer.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <spdlog/spdlog.h>

#include "Common/IniDocument.h"

namespace StandIns {

namespace {

constexpr Common::Millis AnnounceInterval{500};

std::string queryText(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    if (Pair.rfind(Name + "=", 0) == 0)
      return Pair.substr(Name.size() + 1);
    At = End;
  }
  return "";
}

std::optional<Common::SteadyTime> deadlineOf(const Http::Request &Asked) {
  const auto Field = Asked.Fields.find("x-deadline-ms");
  if (Field == Asked.Fields.end())
    return std::nullopt;
  return std::chrono::steady_clock::now() +
         Common::Millis(std::atoll(Field->second.c_str()));
}

} // namespace

BackendServer::BackendServer(Kernel::Context Around, BackendOptions Options)
    : Home(Around.ServiceTask), Options(std::move(Options)),
      Random(std::random_device{}()) {}

void BackendServer::start() {
  ToNode = std::make_unique<Http::Client>(Home);
  Listener =
      Http::ServerBuilder(Home)
          .address(Options.Address)
          .port(Options.Port)
          .bodyLimit(8 << 20)
          .onRequest([this](Http::ExchangeId Id, const Http::Request &Asked) {
            takeRequest(Id, Asked);
          })
          .build();
  spdlog::info("{} of {} on {}:{}", Options.Name, Options.Service,
               Options.Address, Listener->port());
  announce();
}

void BackendServer::stop() {
  Listener.reset();
  ToNode.reset();
}

void BackendServer::handle(const Message &Content) {
  Faults = std::get<SetBackendFaults>(Content).Wanted;
}

void BackendServer::announce() {
  Clock.after(AnnounceInterval, [this] { announce(); });
  if (Options.NodeAdmin.empty() || Faults.Silent || !ToNode)
    return;
  Http::ClientRequest Asked;
  Asked.Method = "POST";
  Asked.Url = "http://" + Options.NodeAdmin + "/v1/servers";
  Asked.Body = "[server " + Options.Name + "]\nservice = " + Options.Service +
               "\nslots = " + std::to_string(Options.Slots) +
               "\naddress = " + Options.Address + ":" +
               std::to_string(Listener->port()) + "\n";
  Asked.Limit = AnnounceInterval;
  ToNode->send(std::move(Asked), [](const Http::ClientResult &) {});
}

void BackendServer::takeRequest(Http::ExchangeId Id,
                                const Http::Request &Asked) {
  if (Asked.Path == "/standin/faults") {
    Listener->answer(Id, setFaults(Asked.Body));
  } else if (Asked.Path == "/standin/ledger") {
    Listener->answer(Id, {200, {}, ledgerText()});
  } else if (Faults.Shed) {
    shed(Id);
  } else if (Busy >= Options.Slots) {
    // A server without a free slot lets the request wait, as real ones do.
    Waiting.push_back({Id, Asked, deadlineOf(Asked)});
  } else {
    begin(Id, Asked);
  }
}

void BackendServer::begin(Http::ExchangeId Id, const Http::Request &Asked) {
  ++Busy;
  const std::string CallerId = queryText(Asked.Target, "id");
  ++Ledger[CallerId];
  const Common::Micros Work = workTime(Asked.Target);
  if (Faults.Hang) {
    ++Hung;
    return;
  }
  if (Work.count() == 0)
    finish(Id, CallerId);
  else
    Clock.after(Work, [this, Id, CallerId] { finish(Id, CallerId); });
}

void BackendServer::finish(Http::ExchangeId Id, const std::string &CallerId) {
  --Busy;
  if (!Listener)
    return;
  Listener->answer(Id, {200,
                        {{"content-type", "text/plain"}},
                        "id=" + CallerId + " server=" + Options.Name + "\n"});
  beginNext();
}

void BackendServer::beginNext() {
  while (!Waiting.empty()) {
    const WaitingRequest Next = std::move(Waiting.front());
    Waiting.pop_front();
    if (!Next.Deadline || *Next.Deadline > std::chrono::steady_clock::now()) {
      begin(Next.Exchange, Next.Asked);
      return;
    }
    shed(Next.Exchange);
  }
}

void BackendServer::dropHung() {
  Busy -= std::exchange(Hung, 0);
  while (!Waiting.empty() && Busy < Options.Slots)
    beginNext();
}

void BackendServer::shed(Http::ExchangeId Id) {
  Listener->answer(Id, {503, {{"x-not-run", "1"}}, "shed\n"});
}

Common::Micros BackendServer::workTime(const std::string &Target) {
  const std::string Wanted = queryText(Target, "work-us");
  Common::Micros Mean = Options.Work;
  if (!Wanted.empty())
    Mean = Common::parseDuration(Wanted + "us").value_or(Mean);
  if (Mean.count() == 0)
    return Mean;
  if (Faults.ColdCalls > 0) {
    --Faults.ColdCalls;
    Mean *= Faults.ColdFactor;
  }
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  return Common::Micros(static_cast<std::int64_t>(
      static_cast<double>(Mean.count()) * Spread(Random) * Faults.SlowFactor));
}

Http::Response BackendServer::setFaults(const std::string &Body) {
  BackendFaults Wanted;
  const Common::IniDocument Document = Common::parseIni("faults", Body);
  for (const Common::IniSection &Section : Document.Sections)
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "slow-factor")
        Wanted.SlowFactor = std::max(1, std::atoi(Entry.Value.c_str()));
      else if (Entry.Key == "shed")
        Wanted.Shed = Entry.Value == "yes";
      else if (Entry.Key == "hang")
        Wanted.Hang = Entry.Value == "yes";
      else if (Entry.Key == "cold-calls")
        Wanted.ColdCalls = std::max(0, std::atoi(Entry.Value.c_str()));
      else if (Entry.Key == "cold-factor")
        Wanted.ColdFactor = std::max(1, std::atoi(Entry.Value.c_str()));
      else if (Entry.Key == "silent")
        Wanted.Silent = Entry.Value == "yes";
      else
        return {400, {}, "unknown fault " + Entry.Key + "\n"};
    }
  Faults = Wanted;
  if (!Faults.Hang)
    dropHung();
  return {200, {}, "set\n"};
}

std::string BackendServer::ledgerText() const {
  std::ostringstream Out;
  for (const auto &[Id, Runs] : Ledger)
    Out << Id << ' ' << Runs << '\n';
  return Out.str();
}

} // namespace StandIns
