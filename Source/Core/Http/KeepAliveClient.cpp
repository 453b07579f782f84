#include "Http/KeepAliveClient.h"

#include <algorithm>
#include <charconv>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/beast/http/parser.hpp>

#include "Http/BeastConversions.h"
#include "Http/BoundedBody.h"
#include "Net/ByteStream.h"

namespace Http {

namespace {

namespace beast = boost::beast;
using Common::SteadyTime;
using Parser = beast::http::response_parser<BoundedBody>;

// Answers to other requests that are skipped before ours.
constexpr int MaxForeignAnswers = 2;
// Idle time of servers that state none; below the ten seconds that are usual.
constexpr Common::Millis DefaultIdleLimit{5'000};
// Part of the stated idle time for which a connection is used again. The rest
// covers the way and the whole seconds in which the time is stated.
constexpr int IdlePercent = 60;
constexpr Common::Millis SweepInterval{500};

enum class Progress { NeedMore, Done, Malformed };

// Reads answers from one connection and skips those of other requests.
class AnswerReader {
public:
  AnswerReader(const KeepAliveRequest &Asked, const AnswerLimits &Limits)
      : Limits(Limits), Method(Asked.Method), EchoedField(Asked.EchoedField) {
    const auto Sent = Asked.Fields.find(EchoedField);
    if (Sent != Asked.Fields.end())
      ExpectedEcho = Sent->second;
    begin();
  }

  Progress take(std::string_view Bytes) {
    Incoming.append(Bytes);
    return advance(false);
  }

  // The server closed in order: an answer without a length is complete.
  Progress finish() { return advance(true); }

  bool hasBegun() const { return Begun; }
  bool hasForeign() const { return Foreign > 0; }
  // Bytes after the answer, which belong to no request.
  bool hasRest() const { return !Incoming.empty(); }
  bool mayBeKept() const { return Kept; }
  Response takeAnswer() { return std::move(Answer); }
  std::size_t heldBytes() const {
    return Incoming.size() + Current->get().body().Text.size();
  }
  // Of an answer that was malformed.
  const std::string &fault() const { return Why; }

private:
  void begin() {
    Current = std::make_unique<Parser>();
    Current->eager(true);
    Current->header_limit(static_cast<std::uint32_t>(Limits.HeadBytes));
    Current->body_limit(Limits.BodyBytes);
    Current->get().body().Limit = Limits.BodyBytes;
    Current->skip(Method == "HEAD");
  }

  Progress advance(bool AtEnd) {
    for (;;) {
      const Progress Step = readOne(AtEnd);
      if (Step != Progress::Done)
        return Step;
      if (!isOurs()) {
        if (++Foreign > MaxForeignAnswers)
          return malformed("only answers to other requests came");
        begin();
        continue;
      }
      return Progress::Done;
    }
  }

  Progress readOne(bool AtEnd) {
    Begun = Begun || !Incoming.empty();
    beast::error_code Fault;
    std::size_t Used = 0;
    while (Used < Incoming.size() && !Current->is_done()) {
      const std::size_t Taken = Current->put(
          boost::asio::buffer(Incoming.data() + Used, Incoming.size() - Used),
          Fault);
      Used += Taken;
      if (Fault || Taken == 0)
        break;
    }
    Incoming.erase(0, Used);
    if (Fault && Fault != beast::http::error::need_more)
      return malformed(Fault.message());
    // The parser bounds the head, but no line of a chunk or a trailer.
    if (!Current->is_done() && Incoming.size() > Limits.HeadBytes)
      return malformed("a line or a head is over " +
                       std::to_string(Limits.HeadBytes) + " bytes");
    if (!Current->is_done() && AtEnd && Current->is_header_done()) {
      Fault = {};
      Current->put_eof(Fault);
      if (Fault)
        return malformed(Fault.message());
    }
    if (!Current->is_done())
      return AtEnd ? malformed("it ends early") : Progress::NeedMore;
    Kept = Current->keep_alive() && !Current->need_eof();
    auto Message = Current->release();
    Answer.Status = static_cast<int>(Message.result_int());
    Answer.Fields = toHeaders(Message);
    Answer.Body = std::move(Message.body().Text);
    return Progress::Done;
  }

  Progress malformed(const std::string &Fault) {
    Why = "the answer is malformed: " + Fault;
    return Progress::Malformed;
  }

  bool isOurs() const {
    constexpr int LastInterim = 199;
    if (Answer.Status <= LastInterim)
      return false;
    if (ExpectedEcho.empty())
      return true;
    const auto Echo = Answer.Fields.find(EchoedField);
    return Echo == Answer.Fields.end() ? false : Echo->second == ExpectedEcho;
  }

  AnswerLimits Limits;
  std::string Method;
  std::string EchoedField;
  std::string ExpectedEcho;
  std::string Incoming;
  std::unique_ptr<Parser> Current;
  Response Answer;
  std::string Why;
  int Foreign = 0;
  bool Begun = false;
  bool Kept = false;
};

std::string encode(const KeepAliveRequest &Asked, const std::string &Server) {
  std::string Out = Asked.Method + " " + Asked.Target + " HTTP/1.1\r\n";
  if (!Asked.Fields.contains("host"))
    appendField(Out, "host", Server);
  for (const auto &[Name, Value] : Asked.Fields)
    if (Name != "content-length")
      appendField(Out, Name, Value);
  const bool BodyIsUsual = Asked.Method != "GET" && Asked.Method != "HEAD" &&
                           Asked.Method != "DELETE";
  if (BodyIsUsual || !Asked.Body.empty())
    appendField(Out, "content-length", std::to_string(Asked.Body.size()));
  Out.append("\r\n").append(Asked.Body);
  return Out;
}

// The idle time in "timeout=N" of a Keep-Alive field.
std::optional<std::chrono::seconds> statedIdleTime(const Headers &Fields) {
  const auto Found = Fields.find("keep-alive");
  if (Found == Fields.end())
    return std::nullopt;
  const std::string_view Text = Found->second;
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = Text.find(Key);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *Begin = Text.data() + At + Key.size();
  if (std::from_chars(Begin, Text.data() + Text.size(), Value).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(Value);
}

} // namespace

struct KeepAliveClient::Impl {
  using ConnectionId = std::uint64_t;

  struct Transfer {
    KeepAliveRequest Asked;
    std::function<void(ClientResult)> OnDone;
    ConnectionId Way = 0;
    Kernel::TimerId Limit = 0;
  };
  struct Connection {
    std::unique_ptr<Net::ByteStream> Stream;
    std::string Server;
    TransferId Current = 0;
    std::optional<AnswerReader> Reader;
    SteadyTime IdleSince;
    Common::Duration IdleLimit = DefaultIdleLimit;
  };

  Impl(Kernel::Task &Home, const AnswerLimits &Limits)
      : Home(Home), Clock(Home), Limits(Limits) {
    sweep();
  }

  static SteadyTime now() { return std::chrono::steady_clock::now(); }

  ConnectionId open();
  void start(TransferId Id, Transfer &Task);
  void takeBytes(ConnectionId Id, std::string_view Bytes);
  void settle(ConnectionId Id, Progress Step);
  std::size_t heldBytes() const;
  void giveUpTheLongest();
  void close(ConnectionId Id, Net::StreamEnd How, const std::string &Why);
  void complete(ConnectionId Id);
  void fail(TransferId Id, bool MayHaveRun, const std::string &Why);
  void drop(ConnectionId Id);
  void sweep();

  Kernel::Task &Home;
  Kernel::Timers Clock;
  AnswerLimits Limits;
  std::string Server;
  std::unordered_map<TransferId, Transfer> Transfers;
  std::unordered_map<ConnectionId, Connection> Connections;
  // The one used last is first: few connections stay in use.
  std::list<ConnectionId> Idle;
  // Closed from inside their own events; destroyed from the loop.
  std::vector<std::unique_ptr<Net::ByteStream>> Retired;
  TransferId NextTransfer = 1;
  ConnectionId NextConnection = 1;
  std::uint64_t Opened = 0;
};

KeepAliveClient::Impl::ConnectionId KeepAliveClient::Impl::open() {
  const ConnectionId Id = NextConnection++;
  Net::ByteStream::Events Wired;
  Wired.OnBytes = [this, Id](std::string_view Bytes) { takeBytes(Id, Bytes); };
  Wired.OnClosed = [this, Id](Net::StreamEnd How, const std::string &Why) {
    close(Id, How, Why);
  };
  Connection &Made = Connections[Id];
  Made.Server = Server;
  Made.Stream = Net::ByteStream::connect(Home, Server, std::move(Wired));
  ++Opened;
  return Id;
}

void KeepAliveClient::Impl::start(TransferId Id, Transfer &Task) {
  ConnectionId Way = 0;
  while (Way == 0 && !Idle.empty()) {
    Way = Idle.front();
    Idle.pop_front();
    const Connection &Found = Connections.at(Way);
    if (!Found.Stream->isConnected() || Found.Server != Server ||
        now() - Found.IdleSince > Found.IdleLimit) {
      drop(Way);
      Way = 0;
    }
  }
  if (Way == 0)
    Way = open();
  Connection &Used = Connections.at(Way);
  Used.Current = Id;
  Used.Reader.emplace(Task.Asked, Limits);
  Task.Way = Way;
  Used.Stream->write(encode(Task.Asked, Used.Server));
}

void KeepAliveClient::Impl::takeBytes(ConnectionId Id, std::string_view Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  if (!Found->second.Reader) {
    // Nothing was asked: these bytes belong to nobody.
    Idle.remove(Id);
    drop(Id);
    return;
  }
  settle(Id, Found->second.Reader->take(Bytes));
  const auto Still = Connections.find(Id);
  const bool IsLong = Still != Connections.end() && Still->second.Reader &&
                      Still->second.Reader->heldBytes() > Limits.HeadBytes;
  if (IsLong && heldBytes() > Limits.HeldBytes)
    giveUpTheLongest();
}

void KeepAliveClient::Impl::settle(ConnectionId Id, Progress Step) {
  if (Step == Progress::Done) {
    complete(Id);
  } else if (Step == Progress::Malformed) {
    const Connection &Ended = Connections.at(Id);
    const TransferId Task = Ended.Current;
    const std::string Why = Ended.Reader->fault();
    drop(Id);
    fail(Task, true, Why);
  }
}

std::size_t KeepAliveClient::Impl::heldBytes() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Each] : Connections)
    if (Each.Reader)
      Sum += Each.Reader->heldBytes();
  return Sum;
}

// Where bytes come without end on several connections, the calls with usual
// answers go on.
void KeepAliveClient::Impl::giveUpTheLongest() {
  const auto Held = [](const auto &Each) {
    return Each.second.Reader ? Each.second.Reader->heldBytes() : 0;
  };
  const auto Longest =
      std::max_element(Connections.begin(), Connections.end(),
                       [&](const auto &Left, const auto &Right) {
                         return Held(Left) < Held(Right);
                       });
  const TransferId Task = Longest->second.Current;
  drop(Longest->first);
  fail(Task, true,
       "all answers under way are over " + std::to_string(Limits.HeldBytes) +
           " bytes, and this is the longest");
}

void KeepAliveClient::Impl::close(ConnectionId Id, Net::StreamEnd How,
                                  const std::string &Why) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  Connection &Ended = Found->second;
  if (!Ended.Reader) {
    Idle.remove(Id);
    Connections.erase(Found);
    return;
  }
  if (How == Net::StreamEnd::Finished && Ended.Reader->hasBegun() &&
      Ended.Reader->finish() == Progress::Done) {
    complete(Id);
    return;
  }
  const TransferId Task = Ended.Current;
  const bool NeverConnected = Why.rfind("connect:", 0) == 0;
  Connections.erase(Found);
  fail(Task, !NeverConnected, Why);
}

void KeepAliveClient::Impl::complete(ConnectionId Id) {
  Connection &Way = Connections.at(Id);
  const auto Node = Transfers.extract(Way.Current);
  ClientResult Result;
  Result.Answered = true;
  Result.MayHaveRun = true;
  Result.Reply = Way.Reader->takeAnswer();
  const bool Clean = Way.Reader->mayBeKept() && !Way.Reader->hasRest() &&
                     !Way.Reader->hasForeign() && Way.Stream->isConnected() &&
                     Way.Stream->unsentBytes() == 0;
  if (Clean) {
    Way.Reader.reset();
    Way.Current = 0;
    Way.IdleSince = now();
    if (const auto Stated = statedIdleTime(Result.Reply.Fields))
      Way.IdleLimit = Common::Duration(*Stated) * IdlePercent / 100;
    Idle.push_front(Id);
  } else {
    drop(Id);
  }
  if (Node.empty())
    return;
  Clock.cancel(Node.mapped().Limit);
  Node.mapped().OnDone(std::move(Result));
}

void KeepAliveClient::Impl::fail(TransferId Id, bool MayHaveRun,
                                 const std::string &Why) {
  const auto Node = Transfers.extract(Id);
  if (Node.empty())
    return;
  Clock.cancel(Node.mapped().Limit);
  ClientResult Result;
  Result.MayHaveRun = MayHaveRun;
  Result.Failure = Why;
  Node.mapped().OnDone(std::move(Result));
}

void KeepAliveClient::Impl::drop(ConnectionId Id) {
  auto Node = Connections.extract(Id);
  if (Node.empty())
    return;
  // May be called from an event of this very stream.
  Retired.push_back(std::move(Node.mapped().Stream));
  Retired.back()->abandon("dropped");
  if (Retired.size() == 1)
    Clock.after(Common::Duration::zero(), [this] { Retired.clear(); });
}

void KeepAliveClient::Impl::sweep() {
  Clock.after(SweepInterval, [this] { sweep(); });
  const SteadyTime Now = now();
  std::vector<ConnectionId> Old;
  for (const ConnectionId Id : Idle) {
    const Connection &Each = Connections.at(Id);
    if (Now - Each.IdleSince > Each.IdleLimit || Each.Server != Server)
      Old.push_back(Id);
  }
  for (const ConnectionId Id : Old) {
    Idle.remove(Id);
    drop(Id);
  }
}

KeepAliveClient::KeepAliveClient(Kernel::Task &Home, const AnswerLimits &Limits)
    : Self(std::make_unique<Impl>(Home, Limits)) {}
KeepAliveClient::~KeepAliveClient() = default;

void KeepAliveClient::useServer(const std::string &Where) {
  Self->Server = Where;
}

TransferId KeepAliveClient::send(KeepAliveRequest Asked,
                                 std::function<void(ClientResult)> OnDone) {
  const TransferId Id = Self->NextTransfer++;
  const Common::Micros Limit = Asked.Limit;
  Impl::Transfer &Task = Self->Transfers[Id];
  Task.Asked = std::move(Asked);
  Task.OnDone = std::move(OnDone);
  Task.Limit = Self->Clock.after(Limit, [this, Id] {
    const auto Found = Self->Transfers.find(Id);
    if (Found == Self->Transfers.end())
      return;
    Self->drop(Found->second.Way);
    Self->fail(Id, true, "no answer within its time");
  });
  Self->start(Id, Task);
  return Id;
}

void KeepAliveClient::cancel(TransferId Transfer) {
  const auto Node = Self->Transfers.extract(Transfer);
  if (Node.empty())
    return;
  Self->Clock.cancel(Node.mapped().Limit);
  Self->drop(Node.mapped().Way);
}

std::uint64_t KeepAliveClient::connectionsOpened() const {
  return Self->Opened;
}

std::size_t KeepAliveClient::heldBytes() const { return Self->heldBytes(); }

} // namespace Http
