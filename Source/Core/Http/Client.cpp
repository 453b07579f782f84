#include "Http/Client.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>
#include <fcntl.h>
#include <sys/socket.h>

#include "Common/Error.h"
#include "Common/UniqueFd.h"

namespace Http {

namespace {

constexpr long MaxCachedConnections = 1024;
// A read of a log or a store returns a few MB at most. The limit guards against
// servers that send bytes without end.
constexpr std::size_t MaxResponseBytes = 24 << 20;

struct EasyHandleDeleter {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};
struct HeaderListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
using EasyHandle = std::unique_ptr<CURL, EasyHandleDeleter>;
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

struct Transfer {
  TransferId Id = 0;
  EasyHandle Handle;
  HeaderList RequestHeaders;
  ClientRequest Request;
  Response Reply;
  std::function<void(ClientResult)> OnDone;
};

// Watches a duplicate of a libcurl socket. When a connect times out, libcurl
// closes the socket before it reports that, and a watch can't be removed once
// its descriptor is closed.
class WatchedSocket {
public:
  WatchedSocket(Kernel::Task &Task, curl_socket_t Socket,
                Kernel::IoReadiness Interest,
                std::function<void(Kernel::IoReadiness)> OnReady)
      : Duplicate(::fcntl(Socket, F_DUPFD_CLOEXEC, 0)) {
    if (!Duplicate.isOpen())
      Common::throwSystemError("duplicating a socket");
    Watch = Task.watch(Duplicate.value(), Interest, std::move(OnReady));
  }

  void setInterest(Kernel::IoReadiness Interest) {
    Watch->setInterest(Interest);
  }

private:
  Common::UniqueFd Duplicate;
  // Declared after the descriptor, so that it is destroyed before the
  // descriptor is closed.
  std::unique_ptr<Kernel::SocketWatch> Watch;
};

std::size_t handleBody(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  auto *const Current = static_cast<Transfer *>(User);
  std::string &Body = Current->Reply.Body;
  // A return value below the number of bytes passed makes libcurl fail the
  // transfer.
  if (Body.size() + Size * Count > MaxResponseBytes)
    return 0;
  Body.append(Data, Size * Count);
  Current->Request.OnProgress();
  return Size * Count;
}

std::size_t handleHeaderLine(char *Data, std::size_t Size, std::size_t Count,
                             void *User) {
  const std::string Line(Data, Size * Count);
  Headers &Fields = static_cast<Transfer *>(User)->Reply.Fields;
  const std::size_t Colon = Line.find(':');
  if (Line.rfind("HTTP/", 0) == 0) {
    Fields.clear();
  } else if (Colon != std::string::npos) {
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    const std::size_t Start = Line.find_first_not_of(" \t", Colon + 1);
    const std::size_t End = Line.find_last_not_of(" \t\r\n");
    Fields[Name] = Start == std::string::npos || End < Start
                       ? ""
                       : Line.substr(Start, End - Start + 1);
  }
  return Size * Count;
}

void addHeader(HeaderList &List, const std::string &Line) {
  curl_slist *Extended = curl_slist_append(List.get(), Line.c_str());
  if (!Extended)
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        "curl_slist_append failed");
  [[maybe_unused]] curl_slist *Previous = List.release();
  List.reset(Extended);
}

void initializeLibrary() {
  static const CURLcode Result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Result != CURLE_OK)
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        curl_easy_strerror(Result));
}

} // namespace

struct Client::Impl {
  explicit Impl(Kernel::Task &Task);
  ~Impl();

  EasyHandle acquireHandle();
  void configure(Transfer &Started);
  void runSocketAction(curl_socket_t Socket, int Events);
  void finishTransfers();
  static int handleSocketInterest(CURL *Handle, curl_socket_t Socket,
                                  int PollEvents, void *User, void *PerSocket);
  static curl_socket_t openSocket(void *User, curlsocktype Purpose,
                                  curl_sockaddr *Address);
  static int scheduleTimeout(CURLM *Multi, long DelayMillis, void *User);

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  CURLM *Multi = nullptr;
  std::unordered_map<curl_socket_t, std::unique_ptr<WatchedSocket>> Watches;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> Transfers;
  std::vector<EasyHandle> SpareHandles;
  TransferId NextId = 1;
  std::optional<Kernel::TimerId> Timer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Client::Impl::Impl(Kernel::Task &Task) : Task(Task) {
  initializeLibrary();
  Multi = curl_multi_init();
  if (!Multi)
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        "curl_multi_init failed");
  // By default libcurl keeps four connections per running transfer, so a lull
  // in traffic closes connections that the next burst has to reopen.
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION,
                    &Impl::handleSocketInterest);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &Impl::scheduleTimeout);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
}

Client::Impl::~Impl() {
  *Alive = false;
  for (const auto &[Id, Open] : Transfers)
    curl_multi_remove_handle(Multi, Open->Handle.get());
  Transfers.clear();
  SpareHandles.clear();
  curl_multi_cleanup(Multi);
  Watches.clear();
  if (Timer)
    Clock.cancel(*Timer);
}

int Client::Impl::handleSocketInterest(CURL *Handle, curl_socket_t Socket,
                                       int PollEvents, void *User,
                                       void *PerSocket) {
  (void)Handle;
  (void)PerSocket;
  auto &Self = *static_cast<Impl *>(User);
  if (PollEvents == CURL_POLL_REMOVE) {
    Self.Watches.erase(Socket);
    return 0;
  }
  const Kernel::IoReadiness Interest{.Read = (PollEvents & CURL_POLL_IN) != 0,
                                     .Write =
                                         (PollEvents & CURL_POLL_OUT) != 0};
  const auto Found = Self.Watches.find(Socket);
  if (Found != Self.Watches.end()) {
    Found->second->setInterest(Interest);
    return 0;
  }
  Self.Watches[Socket] = std::make_unique<WatchedSocket>(
      Self.Task, Socket, Interest, [&Self, Socket](Kernel::IoReadiness Ready) {
        int Events = 0;
        if (Ready.Read)
          Events |= CURL_CSELECT_IN;
        if (Ready.Write)
          Events |= CURL_CSELECT_OUT;
        Self.runSocketAction(Socket, Events);
      });
  return 0;
}

curl_socket_t Client::Impl::openSocket(void *User, curlsocktype Purpose,
                                       curl_sockaddr *Address) {
  (void)Purpose;
  auto &Self = *static_cast<Impl *>(User);
  const int Opened = ::socket(Address->family, Address->socktype | SOCK_CLOEXEC,
                              Address->protocol);
  // A watch with this descriptor number belongs to a socket that libcurl closed
  // without a report.
  Self.Watches.erase(Opened);
  return Opened < 0 ? CURL_SOCKET_BAD : Opened;
}

int Client::Impl::scheduleTimeout(CURLM *Multi, long DelayMillis, void *User) {
  (void)Multi;
  auto &Self = *static_cast<Impl *>(User);
  if (Self.Timer)
    Self.Clock.cancel(*Self.Timer);
  Self.Timer.reset();
  if (DelayMillis < 0)
    return 0;
  if (DelayMillis == 0) {
    // An immediate action must not wait for the next wake-up of the event loop,
    // and it can't run here because libcurl forbids calls from its callbacks.
    Self.Task.post([&Self, IsAlive = Self.Alive] {
      if (*IsAlive)
        Self.runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }
  Self.Timer = Self.Clock.after(Common::Millis(DelayMillis), [&Self] {
    Self.Timer.reset();
    Self.runSocketAction(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void Client::Impl::runSocketAction(curl_socket_t Socket, int Events) {
  int RunningCount = 0;
  curl_multi_socket_action(Multi, Socket, Events, &RunningCount);
  finishTransfers();
}

void Client::Impl::finishTransfers() {
  int RemainingMessages = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &RemainingMessages)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    const CURLcode Code = Message->data.result;
    CURL *Handle = Message->easy_handle;
    char *Private = nullptr;
    curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Private);
    const TransferId Id = reinterpret_cast<Transfer *>(Private)->Id;
    long RequestBytes = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
    long Status = 0;
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    curl_multi_remove_handle(Multi, Handle);

    auto Entry = Transfers.extract(Id);
    Transfer &Finished = *Entry.mapped();
    ClientResult Result;
    Result.Answered = Code == CURLE_OK;
    Result.MayHaveRun = RequestBytes > 0;
    if (Code != CURLE_OK)
      Result.Failure = curl_easy_strerror(Code);
    Result.Reply = std::move(Finished.Reply);
    Result.Reply.Status = static_cast<int>(Status);
    SpareHandles.push_back(std::move(Finished.Handle));
    Finished.OnDone(std::move(Result));
  }
}

EasyHandle Client::Impl::acquireHandle() {
  if (SpareHandles.empty())
    return EasyHandle(curl_easy_init());
  EasyHandle Handle = std::move(SpareHandles.back());
  SpareHandles.pop_back();
  curl_easy_reset(Handle.get());
  return Handle;
}

void Client::Impl::configure(Transfer &Started) {
  CURL *Handle = Started.Handle.get();
  const ClientRequest &Request = Started.Request;
  for (const auto &[Name, Value] : Request.Fields)
    addHeader(Started.RequestHeaders, Name + ": " + Value);
  // Without this libcurl may wait for "100 Continue" before it sends a body.
  addHeader(Started.RequestHeaders, "Expect:");

  const auto TimeoutMillis =
      std::chrono::ceil<Common::Millis>(Request.Timeout).count();
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, &Started);
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Started.RequestHeaders.get());
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(TimeoutMillis, 1)));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &handleBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Started);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &handleHeaderLine);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Started);
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &Impl::openSocket);
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  if (!Request.SourceAddress.empty())
    curl_easy_setopt(Handle, CURLOPT_INTERFACE, Request.SourceAddress.c_str());
  if (Request.NeverResend)
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  } else if (!Request.Body.empty() || Request.Method == "POST" ||
             Request.Method == "PUT") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.c_str());
  }
}

Client::Client(Kernel::Task &Task) : Self(std::make_unique<Impl>(Task)) {}
Client::~Client() = default;

TransferId Client::send(ClientRequest Request,
                        std::function<void(ClientResult)> OnDone) {
  auto Started = std::make_unique<Transfer>();
  Started->Id = Self->NextId++;
  Started->Handle = Self->acquireHandle();
  Started->Request = std::move(Request);
  Started->OnDone = std::move(OnDone);
  Self->configure(*Started);
  curl_multi_add_handle(Self->Multi, Started->Handle.get());
  const TransferId Id = Started->Id;
  Self->Transfers.emplace(Id, std::move(Started));
  return Id;
}

void Client::cancel(TransferId Id) {
  const auto Entry = Self->Transfers.extract(Id);
  if (!Entry.empty())
    curl_multi_remove_handle(Self->Multi, Entry.mapped()->Handle.get());
}

} // namespace Http
