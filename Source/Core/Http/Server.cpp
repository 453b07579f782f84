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

MHD_Result collectHeader(void *User, MHD_ValueKind Kind, const char *Name,
                         const char *Value) {
  (void)Kind;
  (*static_cast<Headers *>(User))[toLower(Name)] = Value ? Value : "";
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

void logLibraryMessage(void *User, const char *Format, va_list Arguments) {
  (void)User;
  char Line[512];
  vsnprintf(Line, sizeof Line, Format, Arguments);
  std::string Text(Line);
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  spdlog::warn("libmicrohttpd: {}", Text);
}

struct Exchange {
  ExchangeId Id = 0;
  MHD_Connection *Connection = nullptr;
  Request Received;
  bool BodyOverLimit = false;
  bool Delivered = false;
  bool Suspended = false;
  std::optional<Response> Reply;
};

} // namespace

struct Server::Impl {
  explicit Impl(Kernel::Task &Task) : Task(Task) {}
  ~Impl();

  MHD_Result onData(Exchange &Current, const char *Data, std::size_t *Size);
  MHD_Result sendReply(Exchange &Current);
  void scheduleRun();
  void run();

  static MHD_Result handleAccess(void *User, MHD_Connection *Connection,
                                 const char *Url, const char *Method,
                                 const char *Version, const char *Data,
                                 std::size_t *Size, void **State);
  static void *startExchange(void *User, const char *Uri,
                             MHD_Connection *Connection);
  static void handleCompleted(void *User, MHD_Connection *Connection,
                              void **State, MHD_RequestTerminationCode Cause);

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  std::size_t BodyLimit = 0;
  std::function<void(ExchangeId, Request)> OnRequest;
  MHD_Daemon *Daemon = nullptr;
  int Port = 0;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  std::unordered_map<ExchangeId, Exchange *> OpenExchanges;
  ExchangeId NextId = 1;
  bool RunScheduled = false;
  std::optional<Kernel::TimerId> Timer;
  bool Stopping = false;
  // Lets posted jobs detect that the server has been destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Server::Impl::~Impl() {
  *Alive = false;
  Stopping = true;
  Watch.reset();
  if (Timer)
    Clock.cancel(*Timer);
  // libmicrohttpd aborts the process if it is stopped while a connection is
  // suspended, so all connections are resumed, and Stopping prevents further
  // suspensions.
  for (const auto &[Id, Pending] : OpenExchanges) {
    if (!Pending->Suspended)
      continue;
    Pending->Suspended = false;
    Pending->Reply = Response{503, {}, ""};
    MHD_resume_connection(Pending->Connection);
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

// Several responses in one iteration of the event loop share one run of the
// daemon.
void Server::Impl::scheduleRun() {
  if (RunScheduled)
    return;
  RunScheduled = true;
  Task.post([this, IsAlive = Alive] {
    if (!*IsAlive)
      return;
    RunScheduled = false;
    run();
  });
}

MHD_Result Server::Impl::sendReply(Exchange &Current) {
  Response &Reply = *Current.Reply;
  MHD_Response *Message = MHD_create_response_from_buffer(
      Reply.Body.size(), Reply.Body.data(), MHD_RESPMEM_MUST_COPY);
  if (!Message)
    return MHD_NO;
  for (const auto &[Name, Value] : Reply.Fields)
    MHD_add_response_header(Message, Name.c_str(), Value.c_str());
  const MHD_Result Result =
      MHD_queue_response(Current.Connection, Reply.Status, Message);
  MHD_destroy_response(Message);
  return Result;
}

MHD_Result Server::Impl::onData(Exchange &Current, const char *Data,
                                std::size_t *Size) {
  if (*Size > 0) {
    if (Current.Received.Body.size() + *Size > BodyLimit)
      Current.BodyOverLimit = true;
    else
      Current.Received.Body.append(Data, *Size);
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
    // The last run of the daemon may still read requests. Suspending a
    // connection now would make libmicrohttpd abort the process.
    Current.Reply = Response{503, {}, ""};
    return sendReply(Current);
  }
  if (!Current.Delivered) {
    Current.Delivered = true;
    OnRequest(Current.Id, std::move(Current.Received));
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
    Current.Received.Method = Method;
    Current.Received.Path = Url;
    Current.Received.Caller = callerAddress(Connection);
    MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                              &Current.Received.Fields);
    Self.OpenExchanges[Current.Id] = &Current;
    return MHD_YES;
  }
  try {
    return Self.onData(Current, Data, Size);
  } catch (const std::exception &Failure) {
    spdlog::error("http server: request handler failed: {}", Failure.what());
    return MHD_NO;
  }
}

void *Server::Impl::startExchange(void *User, const char *Uri,
                                  MHD_Connection *Connection) {
  (void)User;
  (void)Connection;
  auto Started = std::make_unique<Exchange>();
  Started->Received.Target = Uri;
  return Started.release();
}

void Server::Impl::handleCompleted(void *User, MHD_Connection *Connection,
                                   void **State,
                                   MHD_RequestTerminationCode Cause) {
  (void)Connection;
  (void)Cause;
  const std::unique_ptr<Exchange> Completed(static_cast<Exchange *>(*State));
  *State = nullptr;
  if (Completed)
    static_cast<Impl *>(User)->OpenExchanges.erase(Completed->Id);
}

Server::Server(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
Server::~Server() = default;

int Server::port() const { return Self->Port; }

std::size_t Server::openExchanges() const { return Self->OpenExchanges.size(); }

void Server::respond(ExchangeId Id, Response Reply) {
  const auto Found = Self->OpenExchanges.find(Id);
  if (Found == Self->OpenExchanges.end())
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
  const int ListeningFd = MHD_quiesce_daemon(Self->Daemon);
  if (ListeningFd >= 0)
    ::close(ListeningFd);
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

ServerBuilder &ServerBuilder::idleTimeout(std::chrono::seconds Value) {
  IdleTimeout = Value;
  return *this;
}

ServerBuilder &
ServerBuilder::onRequest(std::function<void(ExchangeId, Request)> Value) {
  OnRequest = std::move(Value);
  return *this;
}

std::unique_ptr<Server> ServerBuilder::build() {
  auto State = std::make_unique<Server::Impl>(Task);
  State->BodyLimit = BodyLimit;
  State->OnRequest = std::move(OnRequest);

  sockaddr_in ListenAddress = {};
  ListenAddress.sin_family = AF_INET;
  ListenAddress.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (inet_pton(AF_INET, Address.c_str(), &ListenAddress.sin_addr) != 1)
    throw Common::Error(Common::ResultCode::SettingsWrongType,
                        "not an IPv4 address: " + Address);
  State->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, nullptr,
      nullptr, &Server::Impl::handleAccess, State.get(),
      MHD_OPTION_EXTERNAL_LOGGER, &logLibraryMessage, nullptr,
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&ListenAddress),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(IdleTimeout.count()),
      MHD_OPTION_URI_LOG_CALLBACK, &Server::Impl::startExchange, State.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &Server::Impl::handleCompleted, State.get(),
      MHD_OPTION_END);
  if (!State->Daemon)
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        "cannot listen for HTTP on " + Address + ":" +
                            std::to_string(Port));
  State->Port =
      MHD_get_daemon_info(State->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  const int EpollFd =
      MHD_get_daemon_info(State->Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Server::Impl *Instance = State.get();
  State->Watch =
      Task.watch(EpollFd, {.Read = true},
                 [Instance](Kernel::IoReadiness) { Instance->run(); });
  return std::unique_ptr<Server>(new Server(std::move(State)));
}

} // namespace Http
