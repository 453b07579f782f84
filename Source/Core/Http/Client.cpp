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

constexpr long MaxKeptConnections = 1024;
// A read of a log or a store brings a few MB at most; bytes may come without
// end.
constexpr std::size_t MaxAnswerBytes = 24 << 20;

struct EasyDeleter {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};
struct ListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

struct Transfer {
  TransferId Id = 0;
  EasyHandle Handle;
  HeaderList Sent;
  ClientRequest Asked;
  Response Reply;
  std::function<void(ClientResult)> OnDone;
};

// Watches a socket of the library by a descriptor of its own: the library
// closes a socket whose connect timed out before it says so, and a watch of a
// closed descriptor cannot be ended.
class WatchedSocket {
public:
  WatchedSocket(Kernel::Task &Home, curl_socket_t Socket,
                Kernel::IoReadiness Interest,
                std::function<void(Kernel::IoReadiness)> OnReady)
      : Own(::fcntl(Socket, F_DUPFD_CLOEXEC, 0)) {
    if (!Own.isOpen())
      Common::throwSystemError("duplicating a socket");
    Watch = Home.watch(Own.value(), Interest, std::move(OnReady));
  }

  void setInterest(Kernel::IoReadiness Interest) {
    Watch->setInterest(Interest);
  }

private:
  Common::UniqueFd Own;
  // Ends before the descriptor is closed.
  std::unique_ptr<Kernel::SocketWatch> Watch;
};

std::size_t takeBody(char *Data, std::size_t Size, std::size_t Count,
                     void *User) {
  auto *const Running = static_cast<Transfer *>(User);
  std::string &Body = Running->Reply.Body;
  // The library ends a transfer of which less than all is taken.
  if (Body.size() + Size * Count > MaxAnswerBytes)
    return 0;
  Body.append(Data, Size * Count);
  Running->Asked.OnProgress();
  return Size * Count;
}

std::size_t takeHeader(char *Data, std::size_t Size, std::size_t Count,
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
  curl_slist *Grown = curl_slist_append(List.get(), Line.c_str());
  if (!Grown)
    throw Common::Error(Common::ResultCode::LibraryFailed, "header list");
  [[maybe_unused]] curl_slist *Old = List.release();
  List.reset(Grown);
}

void startLibrary() {
  static const CURLcode Started = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Started != CURLE_OK)
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        curl_easy_strerror(Started));
}

} // namespace

struct Client::Impl {
  explicit Impl(Kernel::Task &Home);
  ~Impl();

  EasyHandle takeHandle();
  void prepare(Transfer &Started);
  void act(curl_socket_t Socket, int Events);
  void finishTransfers();
  static int onSocket(CURL *Handle, curl_socket_t Socket, int What, void *User,
                      void *PerSocket);
  static curl_socket_t onOpen(void *User, curlsocktype Purpose,
                              curl_sockaddr *Address);
  static int onTimer(CURLM *Multi, long DelayMillis, void *User);

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  CURLM *Multi = nullptr;
  std::unordered_map<curl_socket_t, std::unique_ptr<WatchedSocket>> Watches;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> Running;
  std::vector<EasyHandle> Spare;
  TransferId NextId = 1;
  std::optional<Kernel::TimerId> Timer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Client::Impl::Impl(Kernel::Task &Home) : Home(Home) {
  startLibrary();
  Multi = curl_multi_init();
  if (!Multi)
    throw Common::Error(Common::ResultCode::LibraryFailed, "curl_multi_init");
  // The default keeps four connections for each running transfer, so that a
  // quiet moment closes what the next burst has to open again.
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
}

Client::Impl::~Impl() {
  *Alive = false;
  for (const auto &[Id, Each] : Running)
    curl_multi_remove_handle(Multi, Each->Handle.get());
  Running.clear();
  Spare.clear();
  curl_multi_cleanup(Multi);
  Watches.clear();
  if (Timer)
    Clock.cancel(*Timer);
}

int Client::Impl::onSocket(CURL *Handle, curl_socket_t Socket, int What,
                           void *User, void *PerSocket) {
  (void)Handle;
  (void)PerSocket;
  auto &Self = *static_cast<Impl *>(User);
  if (What == CURL_POLL_REMOVE) {
    Self.Watches.erase(Socket);
    return 0;
  }
  const Kernel::IoReadiness Interest{.Read = (What & CURL_POLL_IN) != 0,
                                     .Write = (What & CURL_POLL_OUT) != 0};
  const auto Found = Self.Watches.find(Socket);
  if (Found != Self.Watches.end()) {
    Found->second->setInterest(Interest);
    return 0;
  }
  Self.Watches[Socket] = std::make_unique<WatchedSocket>(
      Self.Home, Socket, Interest, [&Self, Socket](Kernel::IoReadiness Ready) {
        int Events = 0;
        if (Ready.Read)
          Events |= CURL_CSELECT_IN;
        if (Ready.Write)
          Events |= CURL_CSELECT_OUT;
        Self.act(Socket, Events);
      });
  return 0;
}

curl_socket_t Client::Impl::onOpen(void *User, curlsocktype Purpose,
                                   curl_sockaddr *Address) {
  (void)Purpose;
  auto &Self = *static_cast<Impl *>(User);
  const int Opened = ::socket(Address->family, Address->socktype | SOCK_CLOEXEC,
                              Address->protocol);
  // A watch under this number is of a socket that was closed unsaid.
  Self.Watches.erase(Opened);
  return Opened < 0 ? CURL_SOCKET_BAD : Opened;
}

int Client::Impl::onTimer(CURLM *Multi, long DelayMillis, void *User) {
  (void)Multi;
  auto &Self = *static_cast<Impl *>(User);
  if (Self.Timer)
    Self.Clock.cancel(*Self.Timer);
  Self.Timer.reset();
  if (DelayMillis < 0)
    return 0;
  if (DelayMillis == 0) {
    // An action due now must not wait for the next wake-up of the loop. It
    // can't run here either: the library forbids calls from its callbacks.
    Self.Home.post([&Self, Lives = Self.Alive] {
      if (*Lives)
        Self.act(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }
  Self.Timer = Self.Clock.after(Common::Millis(DelayMillis), [&Self] {
    Self.Timer.reset();
    Self.act(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void Client::Impl::act(curl_socket_t Socket, int Events) {
  int StillRunning = 0;
  curl_multi_socket_action(Multi, Socket, Events, &StillRunning);
  finishTransfers();
}

void Client::Impl::finishTransfers() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    const CURLcode Code = Message->data.result;
    CURL *Handle = Message->easy_handle;
    char *Private = nullptr;
    curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Private);
    const TransferId Id = reinterpret_cast<Transfer *>(Private)->Id;
    long SentBytes = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &SentBytes);
    long Status = 0;
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    curl_multi_remove_handle(Multi, Handle);

    auto Node = Running.extract(Id);
    Transfer &Ended = *Node.mapped();
    ClientResult Result;
    Result.Answered = Code == CURLE_OK;
    Result.MayHaveRun = SentBytes > 0;
    if (Code != CURLE_OK)
      Result.Failure = curl_easy_strerror(Code);
    Result.Reply = std::move(Ended.Reply);
    Result.Reply.Status = static_cast<int>(Status);
    Spare.push_back(std::move(Ended.Handle));
    Ended.OnDone(std::move(Result));
  }
}

EasyHandle Client::Impl::takeHandle() {
  if (Spare.empty())
    return EasyHandle(curl_easy_init());
  EasyHandle Handle = std::move(Spare.back());
  Spare.pop_back();
  curl_easy_reset(Handle.get());
  return Handle;
}

void Client::Impl::prepare(Transfer &Started) {
  CURL *Handle = Started.Handle.get();
  const ClientRequest &Asked = Started.Asked;
  for (const auto &[Name, Value] : Asked.Fields)
    addHeader(Started.Sent, Name + ": " + Value);
  // Without this the library may wait for "100 Continue" before a body.
  addHeader(Started.Sent, "Expect:");

  const auto LimitMillis =
      std::chrono::ceil<Common::Millis>(Asked.Limit).count();
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, &Started);
  curl_easy_setopt(Handle, CURLOPT_URL, Asked.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Asked.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Started.Sent.get());
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(LimitMillis, 1)));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &takeBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Started);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &takeHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Started);
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &Impl::onOpen);
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  if (!Asked.SourceAddress.empty())
    curl_easy_setopt(Handle, CURLOPT_INTERFACE, Asked.SourceAddress.c_str());
  if (Asked.NeverResend)
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
  if (Asked.Method == "HEAD") {
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  } else if (!Asked.Body.empty() || Asked.Method == "POST" ||
             Asked.Method == "PUT") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Asked.Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Asked.Body.c_str());
  }
}

Client::Client(Kernel::Task &Home) : Self(std::make_unique<Impl>(Home)) {}
Client::~Client() = default;

TransferId Client::send(ClientRequest Asked,
                        std::function<void(ClientResult)> OnDone) {
  auto Started = std::make_unique<Transfer>();
  Started->Id = Self->NextId++;
  Started->Handle = Self->takeHandle();
  Started->Asked = std::move(Asked);
  Started->OnDone = std::move(OnDone);
  Self->prepare(*Started);
  curl_multi_add_handle(Self->Multi, Started->Handle.get());
  const TransferId Id = Started->Id;
  Self->Running.emplace(Id, std::move(Started));
  return Id;
}

void Client::cancel(TransferId Id) {
  const auto Node = Self->Running.extract(Id);
  if (!Node.empty())
    curl_multi_remove_handle(Self->Multi, Node.mapped()->Handle.get());
}

} // namespace Http
