#include "StandIns/Log/LogService.h"

#include <charconv>

#include <spdlog/spdlog.h>

#include "Common/IniDocument.h"

namespace StandIns {

using OwnLog::Offset;

namespace {

constexpr std::size_t MaxRecordsPerRead = 1000;
constexpr const char *StreamPrefix = "/v1/streams/";
constexpr const char *RecordsSuffix = "/records";

std::int64_t parseQueryNumber(const std::string &Target,
                              const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    if (Pair.rfind(Name + "=", 0) == 0) {
      std::int64_t Value = 0;
      std::from_chars(Pair.data() + Name.size() + 1, Pair.data() + Pair.size(),
                      Value);
      return Value;
    }
    At = End;
  }
  return 0;
}

std::string parseStreamName(const std::string &Path) {
  const std::string Prefix = StreamPrefix;
  const std::string Suffix = RecordsSuffix;
  if (Path.rfind(Prefix, 0) != 0 ||
      Path.size() <= Prefix.size() + Suffix.size() ||
      Path.substr(Path.size() - Suffix.size()) != Suffix)
    return "";
  return Path.substr(Prefix.size(),
                     Path.size() - Prefix.size() - Suffix.size());
}

} // namespace

LogService::LogService(Kernel::Context Context, std::string Address, int Port,
                       Common::Duration Retention, int AppendLimit)
    : Task(Context.ServiceTask), Address(std::move(Address)), Port(Port),
      Store(Retention), AppendLimit(AppendLimit) {}

void LogService::start() {
  Listener =
      Http::ServerBuilder(Task)
          .address(Address)
          .port(Port)
          .bodyLimit(64 << 20)
          .onRequest([this](Http::ExchangeId Id, const Http::Request &Request) {
            handleRequest(Id, Request);
          })
          .build();
  spdlog::info("log stand-in listens on {}:{}", Address, Listener->port());
  expireAll();
}

void LogService::stop() { Listener.reset(); }

void LogService::handle(const Message &Content) {
  Faults = std::get<SetFaults>(Content).Faults;
}

void LogService::expireAll() {
  Store.expire(std::chrono::system_clock::now());
  Timers.after(Common::Millis(100), [this] { expireAll(); });
}

void LogService::handleRequest(Http::ExchangeId Id,
                               const Http::Request &Request) {
  if (Request.Method == "POST" && Request.Path == "/standin/faults") {
    Listener->respond(Id, setFaults(Request.Body));
    return;
  }
  const std::string Stream = parseStreamName(Request.Path);
  if (Stream.empty())
    answer(Id, {404, {}, "no such page\n"});
  else if (Faults.Outage)
    answer(Id, {503, {}, "outage\n"});
  else if (Request.Method == "POST")
    append(Id, Stream, Request.Body);
  else
    read(Id, Stream, Request.Target);
}

void LogService::answer(Http::ExchangeId Id, Http::Response Reply) {
  if (Faults.Delay.count() == 0) {
    Listener->respond(Id, std::move(Reply));
    return;
  }
  Timers.after(Faults.Delay, [this, Id, DelayedReply = std::move(Reply)] {
    if (Listener)
      Listener->respond(Id, DelayedReply);
  });
}

void LogService::append(Http::ExchangeId Id, const std::string &Stream,
                        const std::string &Content) {
  if (isOverLimit()) {
    answer(Id, {429, {}, "over the limit of appends\n"});
    return;
  }
  const Offset At =
      Store.append(Stream, Content, std::chrono::system_clock::now());
  answerPendingReads(Stream);
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return; // The caller waits until its own timeout.
  }
  answer(Id, {200, {{"x-offset", std::to_string(At)}}, ""});
}

bool LogService::isOverLimit() {
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    AppendsInSecond = 0;
  }
  return AppendLimit > 0 && ++AppendsInSecond > AppendLimit;
}

void LogService::read(Http::ExchangeId Id, const std::string &Stream,
                      const std::string &Target) {
  const Offset From = parseQueryNumber(Target, "from");
  const Common::Millis Wait(parseQueryNumber(Target, "wait-ms"));
  if (From < Store.next(Stream) || Wait.count() == 0) {
    answerRead(Id, Stream, From);
    return;
  }
  const Kernel::TimerId Timer = Timers.after(Wait, [this, Id] {
    const auto Found = std::find_if(
        PendingReads.begin(), PendingReads.end(),
        [Id](const PendingRead &Read) { return Read.Exchange == Id; });
    if (Found == PendingReads.end())
      return;
    const PendingRead TimedOut = *Found;
    PendingReads.erase(Found);
    answerRead(Id, TimedOut.Stream, TimedOut.From);
  });
  PendingReads.push_back({Id, Stream, From, Timer});
}

void LogService::answerRead(Http::ExchangeId Id, const std::string &Stream,
                            Offset From) {
  if (Faults.Outage) {
    answer(Id, {503, {}, "outage\n"});
    return;
  }
  Http::Response Reply;
  Reply.Fields["x-first-offset"] = std::to_string(Store.first(Stream));
  Reply.Fields["x-next-offset"] = std::to_string(Store.next(Stream));
  if (From < Store.first(Stream))
    Reply.Status = 410;
  else
    Reply.Body =
        OwnLog::formatRecords(Store.read(Stream, From, MaxRecordsPerRead));
  answer(Id, std::move(Reply));
}

void LogService::answerPendingReads(const std::string &Stream) {
  std::vector<PendingRead> Completed;
  std::erase_if(PendingReads, [&](const PendingRead &Read) {
    if (Read.Stream != Stream)
      return false;
    Completed.push_back(Read);
    return true;
  });
  for (const PendingRead &Read : Completed) {
    Timers.cancel(Read.Timer);
    answerRead(Read.Exchange, Read.Stream, Read.From);
  }
}

Http::Response LogService::setFaults(const std::string &Body) {
  LogFaults NewFaults;
  const Common::IniDocument Document = Common::parseIni("faults", Body);
  for (const Common::IniSection &Section : Document.Sections)
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "outage")
        NewFaults.Outage = Entry.Value == "yes";
      else if (Entry.Key == "lose-answers")
        NewFaults.LoseAnswers = std::stoi(Entry.Value);
      else if (Entry.Key == "delay")
        NewFaults.Delay =
            Common::parseDuration(Entry.Value).value_or(Common::Micros(0));
      else
        return {400, {}, "unknown fault " + Entry.Key + "\n"};
    }
  Faults = NewFaults;
  return {200, {}, "set\n"};
}

} // namespace StandIns
