#include "Http/Server.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <unordered_map>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "Common/Error.h"

namespace Http {

namespace {

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

MHD_Result collectHeader(void *Into, MHD_ValueKind Kind, const char *Name,
                         const char *Value) {
  (void)Kind;
  (*static_cast<Headers *>(Into))[toLower(Name)] = Value ? Value : "";
  return MHD_YES;
}

std::string callerAddress(MHD_Connection *Connection) {
  const MHD_ConnectionInfo *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (!Info || Info->client_addr->sa_family != AF_INET)
    return "";
  const auto *Address = reinterpret_cast<sockaddr_in *>(Info->client_addr);
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address->sin_addr, Text, sizeof Text);
  return Text;
}

void logLibraryLine(void *User, const char *Format, va_list Arguments) {
  (void)User;
  char Line[512];
  vsnprintf(Line, sizeof Line, Format, Arguments);
  std::string Text(Line);
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  spdlog::warn("http server: {}", Text);
}

struct Exchange {
  ExchangeId Id = 0;
  MHD_Connection *Connection = nullptr;
  Request Asked;
  bool BodyOverLimit = false;
  bool Delivered = false;
  bool Suspended = false;
  std::optional<Response> Reply;
};

} // namespace

struct Server::Impl {
  explicit Impl(Kernel::Task &Home) : Home(Home) {}
  ~Impl();

  MHD_Result onData(Exchange &Current, const char *Data, std::size_t *Size);
  MHD_Result sendReply(Exchange &Current);
  void scheduleRun();
  void run();

  static MHD_Result handleAccess(void *User, MHD_Connection *Connection,
                                 const char *Url, const char *Method,
                                 const char *Version, const char *Data,
                                 std::size_t *Size, void **State);
  static void *keepTarget(void *User, const char *Uri,
                          MHD_Connection *Connection);
  static void handleCompleted(void *User, MHD_Connection *Connection,
                              void **State, MHD_RequestTerminationCode Why);

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  std::size_t BodyLimit = 0;
  std::function<void(ExchangeId, Request)> OnRequest;
  MHD_Daemon *Daemon = nullptr;
  int Port = 0;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  std::unordered_map<ExchangeId, Exchange *> Open;
  ExchangeId NextId = 1;
  bool RunScheduled = false;
  std::optional<Kernel::TimerId> Timer;
  bool Stopping = false;
  // Guards jobs that outlive the server.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Server::Impl::~Impl() {
  *Alive = false;
  Stopping = true;
  Watch.reset();
  if (Timer)
    Clock.cancel(*Timer);
  // The library aborts the process when it is stopped while a connection is
  // suspended, so from here on none may be.
  for (const auto &[Id, Each] : Open) {
    if (!Each->Suspended)
      continue;
    Each->Suspended = false;
    Each->Reply = Response{503, {}, ""};
    MHD_resume_connection(Each->Connection);
  }
  if (Daemon) {
    MHD_run(Daemon);
    MHD_stop_daemon(Daemon);
  }
}

void Server::Impl::run() {
  MHD_run(Daemon);
  MHD_UNSIGNED_LONG_LONG Wait = 0;
  if (Timer)
    Clock.cancel(*Timer);
  Timer.reset();
  if (MHD_get_timeout(Daemon, &Wait) != MHD_YES)
    return;
  if (Wait == 0)
    scheduleRun();
  else
    Timer = Clock.after(Common::Millis(Wait), [this] {
      Timer.reset();
      run();
    });
}

// Several answers in one turn of the loop share one run of the daemon.
void Server::Impl::scheduleRun() {
  if (RunScheduled)
    return;
  RunScheduled = true;
  Home.post([this, Lives = Alive] {
    if (!*Lives)
      return;
    RunScheduled = false;
    run();
  });
}

MHD_Result Server::Impl::sendReply(Exchange &Current) {
  Response &Reply = *Current.Reply;
  MHD_Response *Built = MHD_create_response_from_buffer(
      Reply.Body.size(), Reply.Body.data(), MHD_RESPMEM_MUST_COPY);
  if (!Built)
    return MHD_NO;
  for (const auto &[Name, Value] : Reply.Fields)
    MHD_add_response_header(Built, Name.c_str(), Value.c_str());
  const MHD_Result Queued =
      MHD_queue_response(Current.Connection, Reply.Status, Built);
  MHD_destroy_response(Built);
  return Queued;
}

MHD_Result Server::Impl::onData(Exchange &Current, const char *Data,
                                std::size_t *Size) {
  if (*Size > 0) {
    if (Current.Asked.Body.size() + *Size > BodyLimit)
      Current.BodyOverLimit = true;
    else
      Current.Asked.Body.append(Data, *Size);
    *Size = 0;
    return MHD_YES;
  }
  if (Current.Reply)
    return sendReply(Current);
  if (Current.BodyOverLimit) {
    const auto Code = Common::ResultCode::BodyTooLarge;
    Current.Reply = Response{
        413,
        {{"x-zinnia-result", std::to_string(Common::resultCodeNumber(Code))}},
        "109 BodyTooLarge: at most " + std::to_string(BodyLimit) + " bytes\n"};
    return sendReply(Current);
  }
  if (Stopping) {
    // The last run of the daemon may still read requests; a connection that
    // is suspended now would make the library abort.
    Current.Reply = Response{503, {}, ""};
    return sendReply(Current);
  }
  if (!Current.Delivered) {
    Current.Delivered = true;
    OnRequest(Current.Id, std::move(Current.Asked));
    if (Current.Reply)
      return sendReply(Current);
  }
  Current.Suspended = true;
  MHD_suspend_connection(Current.Connection);
  return MHD_YES;
}

MHD_Result Server::Impl::handleAccess(void *User, MHD_Connection *Connection,
                                      const char *Url, const char *Method,
                                      const char *Version, const char *Data,
                                      std::size_t *Size, void **State) {
  (void)Version;
  auto &Self = *static_cast<Impl *>(User);
  auto &Current = *static_cast<Exchange *>(*State);
  if (!Current.Connection) {
    Current.Id = Self.NextId++;
    Current.Connection = Connection;
    Current.Asked.Method = Method;
    Current.Asked.Path = Url;
    Current.Asked.Caller = callerAddress(Connection);
    MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                              &Current.Asked.Fields);
    Self.Open[Current.Id] = &Current;
    return MHD_YES;
  }
  try {
    return Self.onData(Current, Data, Size);
  } catch (const std::exception &Failure) {
    spdlog::error("http server: {}", Failure.what());
    return MHD_NO;
  }
}

void *Server::Impl::keepTarget(void *User, const char *Uri,
                               MHD_Connection *Connection) {
  (void)User;
  (void)Connection;
  auto Started = std::make_unique<Exchange>();
  Started->Asked.Target = Uri;
  return Started.release();
}

void Server::Impl::handleCompleted(void *User, MHD_Connection *Connection,
                                   void **State,
                                   MHD_RequestTerminationCode Why) {
  (void)Connection;
  (void)Why;
  const std::unique_ptr<Exchange> Ended(static_cast<Exchange *>(*State));
  *State = nullptr;
  if (Ended)
    static_cast<Impl *>(User)->Open.erase(Ended->Id);
}

Server::Server(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
Server::~Server() = default;

int Server::port() const { return Self->Port; }

std::size_t Server::openExchanges() const { return Self->Open.size(); }

void Server::answer(ExchangeId Id, Response Reply) {
  const auto Found = Self->Open.find(Id);
  if (Found == Self->Open.end())
    return;
  Exchange &Current = *Found->second;
  if (Current.Reply)
    return;
  Current.Reply = std::move(Reply);
  if (!Current.Suspended)
    return;
  Current.Suspended = false;
  MHD_resume_connection(Current.Connection);
  Self->scheduleRun();
}

void Server::stopListening() {
  const int Listening = MHD_quiesce_daemon(Self->Daemon);
  if (Listening >= 0)
    ::close(Listening);
}

ServerBuilder &ServerBuilder::address(std::string Value) {
  Address = std::move(Value);
  return *this;
}

ServerBuilder &ServerBuilder::port(int Value) {
  Port = Value;
  return *this;
}

ServerBuilder &ServerBuilder::bodyLimit(std::size_t Bytes) {
  BodyLimit = Bytes;
  return *this;
}

ServerBuilder &ServerBuilder::idleLimit(std::chrono::seconds Value) {
  IdleLimit = Value;
  return *this;
}

ServerBuilder &
ServerBuilder::onRequest(std::function<void(ExchangeId, Request)> Value) {
  OnRequest = std::move(Value);
  return *this;
}

std::unique_ptr<Server> ServerBuilder::build() {
  auto State = std::make_unique<Server::Impl>(Home);
  State->BodyLimit = BodyLimit;
  State->OnRequest = std::move(OnRequest);

  sockaddr_in Where = {};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (inet_pton(AF_INET, Address.c_str(), &Where.sin_addr) != 1)
    throw Common::Error(Common::ResultCode::SettingsWrongType,
                        "not an IP number: " + Address);
  State->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, nullptr,
      nullptr, &Server::Impl::handleAccess, State.get(),
      MHD_OPTION_EXTERNAL_LOGGER, &logLibraryLine, nullptr,
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&Where),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(IdleLimit.count()), MHD_OPTION_URI_LOG_CALLBACK,
      &Server::Impl::keepTarget, State.get(), MHD_OPTION_NOTIFY_COMPLETED,
      &Server::Impl::handleCompleted, State.get(), MHD_OPTION_END);
  if (!State->Daemon)
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        "cannot serve HTTP on " + Address + ":" +
                            std::to_string(Port));
  State->Port =
      MHD_get_daemon_info(State->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  const int EpollFd =
      MHD_get_daemon_info(State->Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Server::Impl *Running = State.get();
  State->Watch = Home.watch(EpollFd, {.Read = true},
                            [Running](Kernel::IoReadiness) { Running->run(); });
  return std::unique_ptr<Server>(new Server(std::move(State)));
}

} // namespace Http
