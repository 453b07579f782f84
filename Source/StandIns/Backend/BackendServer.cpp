#include "StandIns/Backend/BackendServer.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include <spdlog/spdlog.h>

#include "Common/IniDocument.h"

namespace StandIns {

namespace {

constexpr Common::Millis AnnounceInterval{500};
constexpr std::size_t MaxAnswerBytes = 64 << 20;

std::string findQueryText(const std::string &Target, const std::string &Name) {
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

// The least size of the answer that a request asks for.
std::size_t answerBytes(const std::string &Target) {
  const std::string Text = findQueryText(Target, "answer-bytes");
  return std::min<std::size_t>(std::strtoull(Text.c_str(), nullptr, 10),
                               MaxAnswerBytes);
}

std::optional<Common::SteadyTime> deadlineOf(const Http::Request &Request) {
  const auto Field = Request.Fields.find("x-deadline-ms");
  if (Field == Request.Fields.end())
    return std::nullopt;
  return std::chrono::steady_clock::now() +
         Common::Millis(std::atoll(Field->second.c_str()));
}

} // namespace

BackendServer::BackendServer(Kernel::Context Context, BackendOptions Options)
    : Task(Context.ServiceTask), Options(std::move(Options)),
      Random(std::random_device{}()) {}

void BackendServer::start() {
  NodeClient = std::make_unique<Http::Client>(Task);
  Listener =
      Http::ServerBuilder(Task)
          .address(Options.Address)
          .port(Options.Port)
          .bodyLimit(8 << 20)
          .onRequest([this](Http::ExchangeId Id, const Http::Request &Request) {
            handleRequest(Id, Request);
          })
          .build();
  spdlog::info("backend server {} of service {} listens on {}:{}", Options.Name,
               Options.Service, Options.Address, Listener->port());
  announce();
}

void BackendServer::stop() {
  Listener.reset();
  NodeClient.reset();
}

void BackendServer::handle(const Message &Content) {
  Faults = std::get<SetBackendFaults>(Content).Faults;
}

void BackendServer::announce() {
  Timers.after(AnnounceInterval, [this] { announce(); });
  if (Options.NodeAdmin.empty() || Faults.Silent || !NodeClient)
    return;
  Http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + Options.NodeAdmin + "/v1/servers";
  Request.Body = "[server " + Options.Name + "]\nservice = " + Options.Service +
                 "\nslots = " + std::to_string(Options.Slots) +
                 "\naddress = " + Options.Address + ":" +
                 std::to_string(Listener->port()) + "\n";
  Request.Timeout = AnnounceInterval;
  NodeClient->send(std::move(Request), [](const Http::ClientResult &) {});
}

void BackendServer::handleRequest(Http::ExchangeId Id,
                                  const Http::Request &Request) {
  if (Request.Path == "/standin/faults") {
    Listener->respond(Id, setFaults(Request.Body));
  } else if (Request.Path == "/standin/ledger") {
    Listener->respond(Id, {200, {}, ledgerText()});
  } else if (Faults.Shed) {
    shed(Id);
  } else if (BusySlots >= Options.Slots) {
    // Without a free slot the request is queued, as real servers do.
    Queue.push_back({Id, Request, deadlineOf(Request)});
  } else {
    startWork(Id, Request);
  }
}

void BackendServer::startWork(Http::ExchangeId Id,
                              const Http::Request &Request) {
  ++BusySlots;
  Answer Reply{findQueryText(Request.Target, "id"),
               answerBytes(Request.Target)};
  ++Ledger[Reply.CallerId];
  const Common::Micros Work = workTime(Request.Target);
  if (Faults.Hang) {
    ++HungCalls;
    return;
  }
  if (Work.count() == 0)
    finishWork(Id, Reply);
  else
    Timers.after(Work, [this, Id, Reply] { finishWork(Id, Reply); });
}

void BackendServer::finishWork(Http::ExchangeId Id, const Answer &Reply) {
  --BusySlots;
  if (!Listener)
    return;
  std::string Body = "id=" + Reply.CallerId + " server=" + Options.Name + "\n";
  Body.resize(std::max(Body.size(), Reply.Bytes), '.');
  Listener->respond(Id,
                    {200, {{"content-type", "text/plain"}}, std::move(Body)});
  startNextQueued();
}

void BackendServer::startNextQueued() {
  while (!Queue.empty()) {
    const QueuedRequest Next = std::move(Queue.front());
    Queue.pop_front();
    if (!Next.Deadline || *Next.Deadline > std::chrono::steady_clock::now()) {
      startWork(Next.Exchange, Next.Request);
      return;
    }
    shed(Next.Exchange);
  }
}

void BackendServer::releaseHungCalls() {
  BusySlots -= std::exchange(HungCalls, 0);
  while (!Queue.empty() && BusySlots < Options.Slots)
    startNextQueued();
}

void BackendServer::shed(Http::ExchangeId Id) {
  Listener->respond(Id, {503, {{"x-not-run", "1"}}, "shed\n"});
}

Common::Micros BackendServer::workTime(const std::string &Target) {
  const std::string RequestedWork = findQueryText(Target, "work-us");
  Common::Micros MeanTime = Options.Work;
  if (!RequestedWork.empty())
    MeanTime = Common::parseDuration(RequestedWork + "us").value_or(MeanTime);
  if (MeanTime.count() == 0)
    return MeanTime;
  if (Faults.ColdCalls > 0) {
    --Faults.ColdCalls;
    MeanTime *= Faults.ColdFactor;
  }
  std::uniform_real_distribution<double> Variation(0.5, 1.5);
  return Common::Micros(
      static_cast<std::int64_t>(static_cast<double>(MeanTime.count()) *
                                Variation(Random) * Faults.SlowFactor));
}

Http::Response BackendServer::setFaults(const std::string &Body) {
  BackendFaults NewFaults;
  const Common::IniDocument Document = Common::parseIni("faults", Body);
  for (const Common::IniSection &Section : Document.Sections)
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "slow-factor")
        NewFaults.SlowFactor = std::max(1, std::atoi(Entry.Value.c_str()));
      else if (Entry.Key == "shed")
        NewFaults.Shed = Entry.Value == "yes";
      else if (Entry.Key == "hang")
        NewFaults.Hang = Entry.Value == "yes";
      else if (Entry.Key == "cold-calls")
        NewFaults.ColdCalls = std::max(0, std::atoi(Entry.Value.c_str()));
      else if (Entry.Key == "cold-factor")
        NewFaults.ColdFactor = std::max(1, std::atoi(Entry.Value.c_str()));
      else if (Entry.Key == "silent")
        NewFaults.Silent = Entry.Value == "yes";
      else
        return {400, {}, "unknown fault " + Entry.Key + "\n"};
    }
  Faults = NewFaults;
  if (!Faults.Hang)
    releaseHungCalls();
  return {200, {}, "set\n"};
}

std::string BackendServer::ledgerText() const {
  std::ostringstream Out;
  for (const auto &[Id, Runs] : Ledger)
    Out << Id << ' ' << Runs << '\n';
  return Out.str();
}

} // namespace StandIns
