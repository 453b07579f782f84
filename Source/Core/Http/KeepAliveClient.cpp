#include "Http/KeepAliveClient.h"

#include <algorithm>
#include <charconv>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/beast/http/parser.hpp>

#include "Common/Memory.h"
#include "Http/BeastConversions.h"
#include "Http/BoundedBody.h"
#include "Http/EmbeddedResponse.h"
#include "Net/ByteStream.h"

namespace Http {

namespace {

namespace beast = boost::beast;
using Common::SteadyTime;
using Parser = beast::http::response_parser<BoundedBody>;

// Responses to other requests that may precede the expected one.
constexpr int MaxSkippedResponses = 2;
// Idle timeout for servers that announce none. It is below ten seconds, which
// is a common idle timeout of servers.
constexpr Common::Millis DefaultIdleTimeout{5'000};
// Share of the announced idle timeout during which a connection is reused. The
// rest allows for network latency and for the announced timeout being in whole
// seconds.
constexpr int IdleTimeoutPercent = 60;
constexpr Common::Millis SweepInterval{500};
constexpr int SwitchingProtocols = 101;

enum class Progress { NeedMore, Done, Malformed };

// Parses the response to one request from the bytes of a connection, and skips
// responses to other requests.
class ResponseReader {
public:
  // EarlierEcho marks the last response on the same connection, which a faulty
  // server may send once more; empty for the first one.
  ResponseReader(const KeepAliveRequest &Request, const ResponseLimits &Limits,
                 std::string EarlierEcho)
      : Limits(Limits), Method(Request.Method),
        EchoedField(Request.EchoedField), EarlierEcho(std::move(EarlierEcho)) {
    const auto Sent = Request.Fields.find(EchoedField);
    if (Sent != Request.Fields.end())
      ExpectedEcho = Sent->second;
    resetParser();
  }

  Progress feed(std::string_view Bytes) {
    Incoming.append(Bytes);
    return parse(false);
  }

  // Called when the server closes the connection in order, which completes a
  // response without a length.
  Progress finish() { return parse(true); }

  bool hasStarted() const { return Started; }
  bool hasSkipped() const { return Skipped > 0; }
  // Whether bytes that belong to no request follow the response.
  bool hasTrailingBytes() const { return !Incoming.empty(); }
  bool mayKeepAlive() const { return KeepAlive; }
  const std::string &expectedEcho() const { return ExpectedEcho; }
  Response takeResponse() { return std::move(Parsed); }
  std::size_t bufferedBytes() const {
    return Incoming.size() + CurrentParser->get().body().Text.size();
  }
  // Describes why the response is malformed.
  const std::string &errorMessage() const { return ErrorMessage; }

private:
  void resetParser() {
    CurrentParser = std::make_unique<Parser>();
    HasBegunHead = false;
    CurrentParser->eager(true);
    CurrentParser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
    CurrentParser->body_limit(Limits.BodyBytes);
    CurrentParser->get().body().Limit = Limits.BodyBytes;
    CurrentParser->skip(Method == "HEAD");
  }

  Progress parse(bool AtEof) {
    for (;;) {
      const Progress Outcome = parseOne(AtEof);
      if (Outcome != Progress::Done)
        return Outcome;
      if (!matchesRequest()) {
        if (++Skipped > MaxSkippedResponses)
          return malformed("the server sent only responses to other requests");
        resetParser();
        continue;
      }
      const EchoMark Mark{EchoedField, {ExpectedEcho, EarlierEcho}};
      if (!ExpectedEcho.empty() &&
          containsResponse(Parsed.Body, Incoming, Mark, Limits.HeaderBytes))
        return malformed("another response begins inside the body");
      return Progress::Done;
    }
  }

  Progress parseOne(bool AtEof) {
    Started = Started || !Incoming.empty();
    // The parser looks at a start line only once it is whole.
    if (!HasBegunHead && !mayBeginResponse(Incoming))
      return malformed("bytes that begin no response");
    beast::error_code Error;
    std::size_t Offset = 0;
    while (Offset < Incoming.size() && !CurrentParser->is_done()) {
      const std::size_t Consumed =
          CurrentParser->put(boost::asio::buffer(Incoming.data() + Offset,
                                                 Incoming.size() - Offset),
                             Error);
      Offset += Consumed;
      if (Error || Consumed == 0)
        break;
    }
    HasBegunHead = HasBegunHead || Offset > 0;
    Incoming.erase(0, Offset);
    Common::releaseSpareMemory(Incoming);
    if (Error && Error != beast::http::error::need_more)
      return malformed(Error.message());
    // The parser limits the header section, but neither chunk headers nor
    // trailers.
    if (!CurrentParser->is_done() && Incoming.size() > Limits.HeaderBytes)
      return malformed("a header section or a line exceeds " +
                       std::to_string(Limits.HeaderBytes) + " bytes");
    if (!CurrentParser->is_done() && AtEof && CurrentParser->is_header_done()) {
      Error = {};
      CurrentParser->put_eof(Error);
      if (Error)
        return malformed(Error.message());
    }
    if (!CurrentParser->is_done())
      return AtEof
                 ? malformed(
                       "the connection closed before the response was complete")
                 : Progress::NeedMore;
    KeepAlive = CurrentParser->keep_alive() && !CurrentParser->need_eof();
    auto Message = CurrentParser->release();
    Parsed.Status = static_cast<int>(Message.result_int());
    // No request asks for another protocol.
    if (!isStatus(Parsed.Status) || Parsed.Status == SwitchingProtocols)
      return malformed("status " + std::to_string(Parsed.Status));
    Parsed.Fields = toHeaders(Message);
    Parsed.Body = std::move(Message.body().Text);
    return Progress::Done;
  }

  Progress malformed(const std::string &Reason) {
    ErrorMessage = "malformed response: " + Reason;
    return Progress::Malformed;
  }

  bool matchesRequest() const {
    if (!isFinalStatus(Parsed.Status))
      return false;
    if (ExpectedEcho.empty())
      return true;
    const auto Echo = Parsed.Fields.find(EchoedField);
    return Echo == Parsed.Fields.end() ? false : Echo->second == ExpectedEcho;
  }

  ResponseLimits Limits;
  std::string Method;
  std::string EchoedField;
  std::string ExpectedEcho;
  std::string EarlierEcho;
  std::string Incoming;
  std::unique_ptr<Parser> CurrentParser;
  Response Parsed;
  std::string ErrorMessage;
  int Skipped = 0;
  bool Started = false;
  // Whether the parser has taken a part of the current response.
  bool HasBegunHead = false;
  bool KeepAlive = false;
};

std::string encode(const KeepAliveRequest &Request, const std::string &Server) {
  std::string Out = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  if (!Request.Fields.contains("host"))
    appendField(Out, "host", Server);
  for (const auto &[Name, Value] : Request.Fields)
    if (Name != "content-length")
      appendField(Out, Name, Value);
  const bool MethodHasBody = Request.Method != "GET" &&
                             Request.Method != "HEAD" &&
                             Request.Method != "DELETE";
  if (MethodHasBody || !Request.Body.empty())
    appendField(Out, "content-length", std::to_string(Request.Body.size()));
  Out.append("\r\n");
  Out.reserve(Out.size() + Request.Body.size());
  Out.append(Request.Body.str());
  return Out;
}

// The idle timeout that a Keep-Alive field announces as "timeout=N".
std::optional<std::chrono::seconds> keepAliveTimeout(const Headers &Fields) {
  const auto Found = Fields.find("keep-alive");
  if (Found == Fields.end())
    return std::nullopt;
  const std::string_view Text = Found->second;
  constexpr std::string_view Key = "timeout=";
  const std::size_t Position = Text.find(Key);
  if (Position == std::string_view::npos)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *Begin = Text.data() + Position + Key.size();
  if (std::from_chars(Begin, Text.data() + Text.size(), Value).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(Value);
}

} // namespace

struct KeepAliveClient::Impl {
  using ConnectionId = std::uint64_t;

  struct Transfer {
    KeepAliveRequest Request;
    std::function<void(ClientResult)> OnDone;
    ConnectionId AssignedConnection = 0;
    Kernel::TimerId TimeoutTimer = 0;
  };
  struct Connection {
    std::unique_ptr<Net::ByteStream> Stream;
    std::string Server;
    TransferId CurrentTransfer = 0;
    std::optional<ResponseReader> Reader;
    // What marked the last response on this connection.
    std::string LastEcho;
    SteadyTime IdleSince;
    Common::Duration IdleTimeout = DefaultIdleTimeout;
  };

  Impl(Kernel::Task &Task, const ResponseLimits &Limits)
      : Task(Task), Clock(Task), Limits(Limits) {
    sweep();
  }
  // Requests that nobody waits for any more are not sent.
  ~Impl() {
    for (const auto &[Id, Open] : Connections)
      Open.Stream->closeNow("the client ends");
  }

  static SteadyTime now() { return std::chrono::steady_clock::now(); }

  ConnectionId open();
  void start(TransferId Id, Transfer &Started);
  void handleBytes(ConnectionId Id, std::string_view Bytes);
  void handleProgress(ConnectionId Id, Progress Outcome);
  std::size_t bufferedBytes() const;
  void abortLongestResponse();
  void handleClosed(ConnectionId Id, Net::StreamEnd End,
                    const std::string &Reason);
  void complete(ConnectionId Id);
  void fail(TransferId Id, bool MayHaveRun, const std::string &Reason);
  void drop(ConnectionId Id);
  void onTimeout(TransferId Id);
  void sweep();

  Kernel::Task &Task;
  Kernel::Timers Clock;
  ResponseLimits Limits;
  std::string Server;
  std::unordered_map<TransferId, Transfer> Transfers;
  std::unordered_map<ConnectionId, Connection> Connections;
  // Most recently used first, so that as few connections as possible stay in
  // use and the others reach their idle timeout.
  std::list<ConnectionId> Idle;
  // Streams that were closed, possibly from inside one of their own callbacks.
  // The event loop destroys them later.
  std::vector<std::unique_ptr<Net::ByteStream>> Retired;
  TransferId NextTransfer = 1;
  ConnectionId NextConnection = 1;
  std::uint64_t OpenedCount = 0;
};

KeepAliveClient::Impl::ConnectionId KeepAliveClient::Impl::open() {
  const ConnectionId Id = NextConnection++;
  Net::ByteStream::Events Handlers;
  Handlers.OnBytes = [this, Id](std::string_view Bytes) {
    handleBytes(Id, Bytes);
  };
  Handlers.OnClosed = [this, Id](Net::StreamEnd End,
                                 const std::string &Reason) {
    handleClosed(Id, End, Reason);
  };
  Connection &Opened = Connections[Id];
  Opened.Server = Server;
  Opened.Stream = Net::ByteStream::connect(Task, Server, std::move(Handlers));
  ++OpenedCount;
  return Id;
}

void KeepAliveClient::Impl::start(TransferId Id, Transfer &Started) {
  ConnectionId Selected = 0;
  while (Selected == 0 && !Idle.empty()) {
    Selected = Idle.front();
    Idle.pop_front();
    const Connection &Found = Connections.at(Selected);
    if (!Found.Stream->isQuiet() || Found.Server != Server ||
        now() - Found.IdleSince > Found.IdleTimeout) {
      drop(Selected);
      Selected = 0;
    }
  }
  if (Selected == 0)
    Selected = open();
  Connection &Assigned = Connections.at(Selected);
  Assigned.CurrentTransfer = Id;
  Assigned.Reader.emplace(Started.Request, Limits, Assigned.LastEcho);
  Started.AssignedConnection = Selected;
  Assigned.Stream->writeOwned(encode(Started.Request, Assigned.Server));
}

void KeepAliveClient::Impl::handleBytes(ConnectionId Id,
                                        std::string_view Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  if (!Found->second.Reader) {
    // No request is in progress, so these bytes belong to none.
    Idle.remove(Id);
    drop(Id);
    return;
  }
  handleProgress(Id, Found->second.Reader->feed(Bytes));
  const auto Remaining = Connections.find(Id);
  const bool IsLarge =
      Remaining != Connections.end() && Remaining->second.Reader &&
      Remaining->second.Reader->bufferedBytes() > Limits.HeaderBytes;
  if (IsLarge && bufferedBytes() > Limits.BufferedBytes)
    abortLongestResponse();
}

void KeepAliveClient::Impl::handleProgress(ConnectionId Id, Progress Outcome) {
  if (Outcome == Progress::Done) {
    complete(Id);
  } else if (Outcome == Progress::Malformed) {
    const Connection &Failed = Connections.at(Id);
    const TransferId Transfer = Failed.CurrentTransfer;
    const std::string Reason = Failed.Reader->errorMessage();
    drop(Id);
    fail(Transfer, true, Reason);
  }
}

std::size_t KeepAliveClient::Impl::bufferedBytes() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Open] : Connections)
    if (Open.Reader)
      Sum += Open.Reader->bufferedBytes();
  return Sum;
}

// Fails the transfer with the most buffered bytes. When several servers send
// bytes without end, requests with responses of ordinary size still succeed.
void KeepAliveClient::Impl::abortLongestResponse() {
  const auto Buffered = [](const auto &Entry) {
    return Entry.second.Reader ? Entry.second.Reader->bufferedBytes() : 0;
  };
  const auto Longest =
      std::max_element(Connections.begin(), Connections.end(),
                       [&](const auto &Left, const auto &Right) {
                         return Buffered(Left) < Buffered(Right);
                       });
  const TransferId Transfer = Longest->second.CurrentTransfer;
  drop(Longest->first);
  fail(Transfer, true,
       "incomplete responses exceed " + std::to_string(Limits.BufferedBytes) +
           " bytes in total, and this is the longest");
}

void KeepAliveClient::Impl::handleClosed(ConnectionId Id, Net::StreamEnd End,
                                         const std::string &Reason) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  Connection &Closed = Found->second;
  if (!Closed.Reader) {
    Idle.remove(Id);
    Connections.erase(Found);
    return;
  }
  std::string Failure = Reason;
  if (End == Net::StreamEnd::Finished && Closed.Reader->hasStarted()) {
    if (Closed.Reader->finish() == Progress::Done) {
      complete(Id);
      return;
    }
    Failure = Closed.Reader->errorMessage();
  }
  const TransferId Transfer = Closed.CurrentTransfer;
  Connections.erase(Found);
  fail(Transfer, End != Net::StreamEnd::NotConnected, Failure);
}

void KeepAliveClient::Impl::complete(ConnectionId Id) {
  Connection &Served = Connections.at(Id);
  const auto Entry = Transfers.extract(Served.CurrentTransfer);
  ClientResult Result;
  Result.Answered = true;
  Result.MayHaveRun = true;
  Result.Reply = Served.Reader->takeResponse();
  const bool Reusable =
      Served.Reader->mayKeepAlive() && !Served.Reader->hasTrailingBytes() &&
      !Served.Reader->hasSkipped() && Served.Stream->isConnected() &&
      Served.Stream->unsentBytes() == 0;
  if (Reusable) {
    Served.LastEcho = Served.Reader->expectedEcho();
    Served.Reader.reset();
    Served.CurrentTransfer = 0;
    Served.IdleSince = now();
    if (const auto Announced = keepAliveTimeout(Result.Reply.Fields))
      Served.IdleTimeout =
          Common::Duration(*Announced) * IdleTimeoutPercent / 100;
    Idle.push_front(Id);
  } else {
    drop(Id);
  }
  if (Entry.empty())
    return;
  Clock.cancel(Entry.mapped().TimeoutTimer);
  Entry.mapped().OnDone(std::move(Result));
}

void KeepAliveClient::Impl::fail(TransferId Id, bool MayHaveRun,
                                 const std::string &Reason) {
  const auto Entry = Transfers.extract(Id);
  if (Entry.empty())
    return;
  Clock.cancel(Entry.mapped().TimeoutTimer);
  ClientResult Result;
  Result.MayHaveRun = MayHaveRun;
  Result.Failure = Reason;
  Entry.mapped().OnDone(std::move(Result));
}

// The response may have arrived without having been read.
void KeepAliveClient::Impl::onTimeout(TransferId Id) {
  const auto Found = Transfers.find(Id);
  if (Found == Transfers.end())
    return;
  const ConnectionId Assigned = Found->second.AssignedConnection;
  if (const auto Open = Connections.find(Assigned);
      Open != Connections.end() && Open->second.Stream->isConnected()) {
    Open->second.Stream->readArrived();
    const auto Read = Connections.find(Assigned);
    // The end of the connection may complete the response.
    if (Read != Connections.end() && !Read->second.Stream->isConnected())
      return;
  }
  if (!Transfers.contains(Id))
    return;
  drop(Assigned);
  fail(Id, true, "no response within the timeout");
}

void KeepAliveClient::Impl::drop(ConnectionId Id) {
  auto Entry = Connections.extract(Id);
  if (Entry.empty())
    return;
  // The stream may be running one of its callbacks, so it is destroyed later.
  Retired.push_back(std::move(Entry.mapped().Stream));
  Retired.back()->closeNow("dropped");
  if (Retired.size() == 1)
    Clock.after(Common::Duration::zero(), [this] { Retired.clear(); });
}

void KeepAliveClient::Impl::sweep() {
  Clock.after(SweepInterval, [this] { sweep(); });
  const SteadyTime Now = now();
  std::vector<ConnectionId> Expired;
  for (const ConnectionId Id : Idle) {
    const Connection &IdleConnection = Connections.at(Id);
    if (Now - IdleConnection.IdleSince > IdleConnection.IdleTimeout ||
        IdleConnection.Server != Server)
      Expired.push_back(Id);
  }
  for (const ConnectionId Id : Expired) {
    Idle.remove(Id);
    drop(Id);
  }
}

KeepAliveClient::KeepAliveClient(Kernel::Task &Task,
                                 const ResponseLimits &Limits)
    : Self(std::make_unique<Impl>(Task, Limits)) {}
KeepAliveClient::~KeepAliveClient() = default;

void KeepAliveClient::useServer(const std::string &Address) {
  Self->Server = Address;
}

TransferId KeepAliveClient::send(KeepAliveRequest Request,
                                 std::function<void(ClientResult)> OnDone) {
  const TransferId Id = Self->NextTransfer++;
  const Common::Micros Timeout = Request.Timeout;
  Impl::Transfer &Started = Self->Transfers[Id];
  Started.Request = std::move(Request);
  Started.OnDone = std::move(OnDone);
  Started.TimeoutTimer =
      Self->Clock.after(Timeout, [this, Id] { Self->onTimeout(Id); });
  Self->start(Id, Started);
  return Id;
}

void KeepAliveClient::cancel(TransferId Id) {
  const auto Entry = Self->Transfers.extract(Id);
  if (Entry.empty())
    return;
  Self->Clock.cancel(Entry.mapped().TimeoutTimer);
  Self->drop(Entry.mapped().AssignedConnection);
}

std::uint64_t KeepAliveClient::connectionsOpened() const {
  return Self->OpenedCount;
}

std::size_t KeepAliveClient::bufferedBytes() const {
  return Self->bufferedBytes();
}

} // namespace Http
