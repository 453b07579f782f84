#include "Wire/FrameSocket.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>

#include "Common/Error.h"

namespace Wire {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ReadChunkBytes = 64 << 10;
// The kernel gives up on unacknowledged data after this.
constexpr unsigned int UserTimeoutMillis = 5000;

void prepare(ACE_SOCK_Stream &Stream) {
  int On = 1;
  unsigned int Timeout = UserTimeoutMillis;
  Stream.set_option(IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  Stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof Timeout);
  Stream.enable(ACE_NONBLOCK);
}

std::string errnoText() { return std::strerror(errno); }

} // namespace

struct FrameSocket::Impl {
  Impl(Kernel::Task &Home, Events Listener)
      : Home(Home), Listener(std::move(Listener)) {}
  ~Impl() {
    *Alive = false;
    Watch.reset();
    Stream.close();
  }

  void watch(bool ForWrite);
  void onReady(Kernel::IoReadiness Ready);
  void finishConnect();
  void readAll();
  bool takeFrames();
  void writeAll();
  void close(const std::string &Why);

  Kernel::Task &Home;
  Events Listener;
  ACE_SOCK_Stream Stream;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  bool Connecting = false;
  bool Closed = false;
  bool WaitsForWrite = false;
  bool FlushScheduled = false;
  std::string Incoming;
  std::string Outgoing;
  std::size_t Written = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

void FrameSocket::Impl::watch(bool ForWrite) {
  WaitsForWrite = ForWrite;
  Watch =
      Home.watch(Stream.get_handle(), {.Read = !Connecting, .Write = ForWrite},
                 [this](Kernel::IoReadiness Ready) { onReady(Ready); });
}

void FrameSocket::Impl::onReady(Kernel::IoReadiness Ready) {
  const std::shared_ptr<bool> Lives = Alive;
  if (Connecting) {
    finishConnect();
    return;
  }
  if (Ready.Write)
    writeAll();
  if (*Lives && !Closed && Ready.Read)
    readAll();
}

void FrameSocket::Impl::finishConnect() {
  int Failure = 0;
  int Size = sizeof Failure;
  Stream.get_option(SOL_SOCKET, SO_ERROR, &Failure, &Size);
  if (Failure != 0) {
    close(std::string("connect: ") + std::strerror(Failure));
    return;
  }
  Connecting = false;
  WaitsForWrite = false;
  Watch->setInterest({.Read = true});
  const std::shared_ptr<bool> Lives = Alive;
  Listener.OnConnected();
  if (*Lives && !Closed)
    writeAll();
}

void FrameSocket::Impl::readAll() {
  const std::shared_ptr<bool> Lives = Alive;
  static thread_local std::array<char, ReadChunkBytes> Chunk;
  while (*Lives && !Closed) {
    const ssize_t Count = Stream.recv(Chunk.data(), Chunk.size());
    if (Count < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
      return;
    if (Count <= 0) {
      close(Count == 0 ? "closed by peer" : errnoText());
      return;
    }
    Incoming.append(Chunk.data(), static_cast<std::size_t>(Count));
    if (!takeFrames())
      return;
    if (static_cast<std::size_t>(Count) < Chunk.size())
      return;
  }
}

bool FrameSocket::Impl::takeFrames() {
  const std::shared_ptr<bool> Lives = Alive;
  std::size_t Position = 0;
  while (Incoming.size() - Position >= LengthBytes) {
    std::size_t Length = 0;
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Length =
          Length << 8 | static_cast<unsigned char>(Incoming[Position + Index]);
    if (Length > MaxFrameBytes) {
      close("704 FrameTooLarge: " + std::to_string(Length) + " bytes");
      return false;
    }
    if (Incoming.size() - Position - LengthBytes < Length)
      break;
    Position += LengthBytes;
    try {
      Listener.OnFrame(std::string_view(Incoming).substr(Position, Length));
    } catch (const Common::Error &Failure) {
      if (*Lives)
        close(Failure.what());
      return false;
    }
    if (!*Lives || Closed)
      return false;
    Position += Length;
  }
  Incoming.erase(0, Position);
  return true;
}

void FrameSocket::Impl::writeAll() {
  while (Written < Outgoing.size()) {
    const ssize_t Count =
        Stream.send(Outgoing.data() + Written, Outgoing.size() - Written);
    if (Count < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
      break;
    if (Count < 0) {
      close(errnoText());
      return;
    }
    Written += static_cast<std::size_t>(Count);
  }
  if (Written == Outgoing.size()) {
    Outgoing.clear();
    Written = 0;
  }
  const bool MustWait = !Outgoing.empty();
  if (MustWait != WaitsForWrite) {
    WaitsForWrite = MustWait;
    Watch->setInterest({.Read = true, .Write = MustWait});
  }
}

void FrameSocket::Impl::close(const std::string &Why) {
  if (Closed)
    return;
  Closed = true;
  Watch.reset();
  Stream.close();
  // Told from the loop: the receiver may destroy this socket.
  Home.post([this, Why, Lives = Alive] {
    if (!*Lives)
      return;
    const auto OnClosed = std::move(Listener.OnClosed);
    OnClosed(Why);
  });
}

FrameSocket::FrameSocket(std::unique_ptr<Impl> State)
    : Self(std::move(State)) {}
FrameSocket::~FrameSocket() = default;

std::unique_ptr<FrameSocket> FrameSocket::connect(Kernel::Task &Home,
                                                  const std::string &Where,
                                                  Events Listener) {
  auto State = std::make_unique<Impl>(Home, std::move(Listener));
  const ACE_INET_Addr Target(Where.c_str(), AF_INET);
  ACE_SOCK_Connector Connector;
  ACE_Time_Value NoWait = ACE_Time_Value::zero;
  const int Result = Connector.connect(State->Stream, Target, &NoWait);
  if (Result < 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    State->close("connect: " + errnoText());
  } else {
    prepare(State->Stream);
    State->Connecting = true;
    State->watch(true);
  }
  return std::unique_ptr<FrameSocket>(new FrameSocket(std::move(State)));
}

void FrameSocket::send(std::string_view Content) {
  if (Self->Closed)
    return;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Self->Outgoing.push_back(static_cast<char>(Content.size() >> Shift & 0xff));
  Self->Outgoing.append(Content);
  if (Self->Connecting || Self->WaitsForWrite || Self->FlushScheduled)
    return;
  // Frames of one turn of the loop leave in one system call.
  Self->FlushScheduled = true;
  Self->Home.post([State = Self.get(), Lives = Self->Alive] {
    if (!*Lives || State->Closed)
      return;
    State->FlushScheduled = false;
    if (!State->Connecting)
      State->writeAll();
  });
}

bool FrameSocket::isConnected() const {
  return !Self->Connecting && !Self->Closed;
}

std::size_t FrameSocket::unsentBytes() const {
  return Self->Outgoing.size() - Self->Written;
}

struct FrameListener::Impl {
  Kernel::Task &Home;
  OnAccepted Accepted;
  ACE_SOCK_Acceptor Acceptor;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  int Port = 0;

  void acceptAll();
};

void FrameListener::Impl::acceptAll() {
  for (;;) {
    ACE_SOCK_Stream Stream;
    if (Acceptor.accept(Stream) < 0)
      return;
    prepare(Stream);
    Accepted([&](FrameSocket::Events Listener) {
      auto State =
          std::make_unique<FrameSocket::Impl>(Home, std::move(Listener));
      State->Stream = Stream;
      State->watch(false);
      return std::unique_ptr<FrameSocket>(new FrameSocket(std::move(State)));
    });
  }
}

FrameListener::FrameListener(Kernel::Task &Home, const std::string &Address,
                             int Port, OnAccepted Accepted)
    : Self(new Impl{Home, std::move(Accepted), {}, nullptr, 0}) {
  const ACE_INET_Addr Where(static_cast<u_short>(Port), Address.c_str(),
                            AF_INET);
  if (Self->Acceptor.open(Where, 1, AF_INET) < 0)
    Common::throwSystemError("listening on " + Address + ":" +
                             std::to_string(Port));
  Self->Acceptor.enable(ACE_NONBLOCK);
  ACE_INET_Addr Bound;
  Self->Acceptor.get_local_addr(Bound);
  Self->Port = Bound.get_port_number();
  Impl *Running = Self.get();
  Self->Watch =
      Home.watch(Self->Acceptor.get_handle(), {.Read = true},
                 [Running](Kernel::IoReadiness) { Running->acceptAll(); });
}

FrameListener::~FrameListener() {
  Self->Watch.reset();
  Self->Acceptor.close();
}

int FrameListener::port() const { return Self->Port; }

} // namespace Wire
