#include "StandIns/Log/LogService.h"

#include <charconv>

#include <spdlog/spdlog.h>

#include "Common/IniDocument.h"

namespace StandIns {

using OwnLog::Offset;

namespace {

constexpr std::size_t MaxRecordsInAnswer = 1000;
constexpr const char *StreamPrefix = "/v1/streams/";
constexpr const char *RecordsSuffix = "/records";

std::int64_t queryNumber(const std::string &Target, const std::string &Name) {
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

std::string streamOf(const std::string &Path) {
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

LogService::LogService(Kernel::Context Around, std::string Address, int Port,
                       Common::Duration Retention, int AppendLimit)
    : Home(Around.ServiceTask), Address(std::move(Address)), Port(Port),
      Store(Retention), AppendLimit(AppendLimit) {}

void LogService::start() {
  Listener =
      Http::ServerBuilder(Home)
          .address(Address)
          .port(Port)
          .bodyLimit(64 << 20)
          .onRequest([this](Http::ExchangeId Id, const Http::Request &Asked) {
            takeRequest(Id, Asked);
          })
          .build();
  spdlog::info("log stand-in on {}:{}", Address, Listener->port());
  expireAll();
}

void LogService::stop() { Listener.reset(); }

void LogService::handle(const Message &Content) {
  Faults = std::get<SetFaults>(Content).Wanted;
}

void LogService::expireAll() {
  Store.expire(std::chrono::system_clock::now());
  Clock.after(Common::Millis(100), [this] { expireAll(); });
}

void LogService::takeRequest(Http::ExchangeId Id, const Http::Request &Asked) {
  if (Asked.Method == "POST" && Asked.Path == "/standin/faults") {
    Listener->answer(Id, setFaults(Asked.Body));
    return;
  }
  const std::string Stream = streamOf(Asked.Path);
  if (Stream.empty())
    answer(Id, {404, {}, "no such page\n"});
  else if (Faults.Outage)
    answer(Id, {503, {}, "outage\n"});
  else if (Asked.Method == "POST")
    append(Id, Stream, Asked.Body);
  else
    read(Id, Stream, Asked.Target);
}

void LogService::answer(Http::ExchangeId Id, Http::Response Reply) {
  if (Faults.Delay.count() == 0) {
    Listener->answer(Id, std::move(Reply));
    return;
  }
  Clock.after(Faults.Delay, [this, Id, Late = std::move(Reply)] {
    if (Listener)
      Listener->answer(Id, Late);
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
  wakeReaders(Stream);
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return; // The caller waits until its own limit.
  }
  answer(Id, {200, {{"x-offset", std::to_string(At)}}, ""});
}

bool LogService::isOverLimit() {
  const Common::SteadyTime Now = std::chrono::steady_clock::now();
  if (Now - SecondBegan >= std::chrono::seconds(1)) {
    SecondBegan = Now;
    AppendsInSecond = 0;
  }
  return AppendLimit > 0 && ++AppendsInSecond > AppendLimit;
}

void LogService::read(Http::ExchangeId Id, const std::string &Stream,
                      const std::string &Target) {
  const Offset From = queryNumber(Target, "from");
  const Common::Millis Wait(queryNumber(Target, "wait-ms"));
  if (From < Store.next(Stream) || Wait.count() == 0) {
    answerRead(Id, Stream, From);
    return;
  }
  const Kernel::TimerId Timer = Clock.after(Wait, [this, Id] {
    const auto Found = std::find_if(
        Waiting.begin(), Waiting.end(),
        [Id](const WaitingRead &Each) { return Each.Exchange == Id; });
    if (Found == Waiting.end())
      return;
    const WaitingRead Ended = *Found;
    Waiting.erase(Found);
    answerRead(Id, Ended.Stream, Ended.From);
  });
  Waiting.push_back({Id, Stream, From, Timer});
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
        OwnLog::formatRecords(Store.read(Stream, From, MaxRecordsInAnswer));
  answer(Id, std::move(Reply));
}

void LogService::wakeReaders(const std::string &Stream) {
  std::vector<WaitingRead> Woken;
  std::erase_if(Waiting, [&](const WaitingRead &Each) {
    if (Each.Stream != Stream)
      return false;
    Woken.push_back(Each);
    return true;
  });
  for (const WaitingRead &Each : Woken) {
    Clock.cancel(Each.Timer);
    answerRead(Each.Exchange, Each.Stream, Each.From);
  }
}

Http::Response LogService::setFaults(const std::string &Body) {
  LogFaults Wanted;
  const Common::IniDocument Document = Common::parseIni("faults", Body);
  for (const Common::IniSection &Section : Document.Sections)
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "outage")
        Wanted.Outage = Entry.Value == "yes";
      else if (Entry.Key == "lose-answers")
        Wanted.LoseAnswers = std::stoi(Entry.Value);
      else if (Entry.Key == "delay")
        Wanted.Delay =
            Common::parseDuration(Entry.Value).value_or(Common::Micros(0));
      else
        return {400, {}, "unknown fault " + Entry.Key + "\n"};
    }
  Faults = Wanted;
  return {200, {}, "set\n"};
}

} // namespace StandIns
