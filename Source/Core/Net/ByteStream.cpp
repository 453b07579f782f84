#include "Net/ByteStream.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "Net/SendQueue.h"

namespace Net {

namespace {

constexpr std::size_t ReadChunkBytes = 64 << 10;
// Limit on reads per iteration of the event loop, so that a peer that sends as
// fast as it is read doesn't starve other connections.
constexpr int MaxChunksPerIteration = 4;
// Limit on the reads of what is left when a connection ends.
constexpr int MaxFinalChunks = 128;
// Time after which the kernel closes a connection with unacknowledged data. It
// exceeds the longest series of retransmissions on the lossy links of the
// users.
constexpr unsigned int UserTimeoutMillis = 5000;

void configureSocket(ACE_SOCK_Stream &Stream) {
  int On = 1;
  unsigned int Timeout = UserTimeoutMillis;
  Stream.set_option(IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  Stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof Timeout);
  Stream.enable(ACE_NONBLOCK);
}

std::string errnoText() { return std::strerror(errno); }

bool wouldBlock() { return errno == EWOULDBLOCK || errno == EAGAIN; }

} // namespace

struct ByteStream::Impl {
  Impl(Kernel::Task &Task, Events Handlers)
      : Task(Task), Handlers(std::move(Handlers)) {}
  ~Impl() {
    *Alive = false;
    Watch.reset();
    if (!Closed && !Connecting)
      endSending();
    Stream.close();
  }

  void watch(bool ForWrite);
  void updateInterest();
  void onReady(Kernel::IoReadiness Ready);
  void finishConnect();
  void readAll();
  void deliver(std::string_view Bytes);
  void scheduleFlush();
  bool sendOutgoing();
  void writeAll();
  void failWriting(const std::string &Reason);
  void close(StreamEnd End, const std::string &Reason);
  int unreadBytes() const;
  void endSending();

  Kernel::Task &Task;
  Events Handlers;
  ACE_SOCK_Stream Stream;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  bool Connecting = false;
  bool Closed = false;
  bool ClosingGracefully = false;
  bool ReadEnabled = true;
  bool WaitingForWrite = false;
  bool FlushScheduled = false;
  bool HasSent = false;
  bool WriteFailed = false;
  bool PeerFinished = false;
  SendQueue Outgoing;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

void ByteStream::Impl::watch(bool ForWrite) {
  WaitingForWrite = ForWrite;
  Watch =
      Task.watch(Stream.get_handle(), {.Read = !Connecting, .Write = ForWrite},
                 [this](Kernel::IoReadiness Ready) { onReady(Ready); });
}

void ByteStream::Impl::updateInterest() {
  if (Watch && !Connecting)
    Watch->setInterest({.Read = ReadEnabled, .Write = WaitingForWrite});
}

void ByteStream::Impl::onReady(Kernel::IoReadiness Ready) {
  const std::shared_ptr<bool> IsAlive = Alive;
  if (Connecting) {
    finishConnect();
    return;
  }
  if (Ready.Write)
    writeAll();
  if (*IsAlive && !Closed && Ready.Read)
    readAll();
}

void ByteStream::Impl::finishConnect() {
  int Error = 0;
  int Size = sizeof Error;
  Stream.get_option(SOL_SOCKET, SO_ERROR, &Error, &Size);
  if (Error != 0) {
    close(StreamEnd::NotConnected,
          std::string("connect: ") + std::strerror(Error));
    return;
  }
  Connecting = false;
  WaitingForWrite = false;
  updateInterest();
  const std::shared_ptr<bool> IsAlive = Alive;
  Handlers.OnConnected();
  if (*IsAlive && !Closed)
    writeAll();
}

void ByteStream::Impl::readAll() {
  const std::shared_ptr<bool> IsAlive = Alive;
  static thread_local std::array<char, ReadChunkBytes> Chunk;
  for (int Chunks = 0;
       *IsAlive && !Closed && ReadEnabled && Chunks < MaxChunksPerIteration;
       ++Chunks) {
    const ssize_t Count = Stream.recv(Chunk.data(), Chunk.size());
    if (Count < 0 && wouldBlock())
      return;
    if (Count == 0 && ClosingGracefully && !Outgoing.empty()) {
      // The peer may have closed only its sending side.
      PeerFinished = true;
      ReadEnabled = false;
      WaitingForWrite = true;
      updateInterest();
      return;
    }
    if (Count == 0) {
      close(StreamEnd::Finished, "closed by peer");
      return;
    }
    if (Count < 0) {
      close(StreamEnd::Broken, errnoText());
      return;
    }
    if (!ClosingGracefully)
      deliver({Chunk.data(), static_cast<std::size_t>(Count)});
    if (static_cast<std::size_t>(Count) < Chunk.size())
      return;
  }
}

// Closes the connection if the receiver throws. Otherwise the socket would
// become readable again immediately, without end.
void ByteStream::Impl::deliver(std::string_view Bytes) {
  const std::shared_ptr<bool> IsAlive = Alive;
  try {
    Handlers.OnBytes(Bytes);
  } catch (const std::exception &Error) {
    spdlog::error("event=receive-handler-failed bytes={} reason=\"{}\"",
                  Bytes.size(), Error.what());
    if (*IsAlive)
      close(StreamEnd::Broken, Error.what());
  }
}

// Sends what the kernel takes at once. Returns false if the connection is
// broken.
bool ByteStream::Impl::sendOutgoing() {
  while (!Outgoing.empty()) {
    SendQueue::Parts Room;
    const std::span<iovec> Parts = Outgoing.front(Room);
    msghdr Message = {};
    Message.msg_iov = Parts.data();
    Message.msg_iovlen = Parts.size();
    const ssize_t Count =
        Parts.size() == 1
            ? ::send(Stream.get_handle(), Parts[0].iov_base, Parts[0].iov_len,
                     MSG_NOSIGNAL)
            : ::sendmsg(Stream.get_handle(), &Message, MSG_NOSIGNAL);
    if (Count < 0)
      return wouldBlock();
    Outgoing.remove(static_cast<std::size_t>(Count));
    HasSent = true;
  }
  return true;
}

void ByteStream::Impl::writeAll() {
  const bool IsSending = !Outgoing.empty();
  if (!sendOutgoing()) {
    failWriting(errnoText());
    return;
  }
  if (Outgoing.empty()) {
    if (ClosingGracefully)
      Stream.close_writer();
    if (PeerFinished)
      close(StreamEnd::Finished, "closed by peer");
  }
  if (Closed)
    return;
  const bool MustWait = !Outgoing.empty();
  if (MustWait != WaitingForWrite) {
    WaitingForWrite = MustWait;
    updateInterest();
  }
  if (IsSending && !MustWait)
    Handlers.OnAllSent();
}

// Delivers what the peer had sent before the connection broke, then closes.
void ByteStream::Impl::failWriting(const std::string &Reason) {
  WriteFailed = true;
  const std::shared_ptr<bool> IsAlive = Alive;
  static thread_local std::array<char, ReadChunkBytes> Chunk;
  for (int Chunks = 0; *IsAlive && !Closed && !ClosingGracefully &&
                       ReadEnabled && Chunks < MaxFinalChunks;
       ++Chunks) {
    const ssize_t Count = Stream.recv(Chunk.data(), Chunk.size());
    if (Count <= 0)
      break;
    deliver({Chunk.data(), static_cast<std::size_t>(Count)});
  }
  if (*IsAlive && !Closed)
    close(StreamEnd::Broken, Reason + ", " + std::to_string(unreadBytes()) +
                                 " received bytes are unread");
}

// The received bytes that the kernel still holds.
int ByteStream::Impl::unreadBytes() const {
  int Count = 0;
  return ::ioctl(Stream.get_handle(), FIONREAD, &Count) == 0 ? Count : 0;
}

// Sends what was written last. Closing a socket with unread bytes resets the
// connection, which discards what the kernel has still to deliver.
void ByteStream::Impl::endSending() {
  if (WriteFailed || !sendOutgoing() || !HasSent)
    return;
  Stream.close_writer();
  static thread_local std::array<char, ReadChunkBytes> Chunk;
  for (int Chunks = 0;
       Chunks < MaxFinalChunks && Stream.recv(Chunk.data(), Chunk.size()) > 0;
       ++Chunks) {
  }
}

void ByteStream::Impl::close(StreamEnd End, const std::string &Reason) {
  if (Closed)
    return;
  Closed = true;
  Watch.reset();
  Stream.close();
  // Called from the event loop, because the receiver may destroy this stream.
  Task.post([this, End, Reason, IsAlive = Alive] {
    if (!*IsAlive)
      return;
    const auto OnClosed = std::move(Handlers.OnClosed);
    OnClosed(End, Reason);
  });
}

ByteStream::ByteStream(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
ByteStream::~ByteStream() = default;

std::unique_ptr<ByteStream> ByteStream::connect(Kernel::Task &Task,
                                                const std::string &Address,
                                                Events Handlers) {
  auto State = std::make_unique<Impl>(Task, std::move(Handlers));
  const ACE_INET_Addr PeerAddress(Address.c_str(), AF_INET);
  ACE_SOCK_Connector Connector;
  ACE_Time_Value ZeroTimeout = ACE_Time_Value::zero;
  const int Result =
      Connector.connect(State->Stream, PeerAddress, &ZeroTimeout);
  if (Result < 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    State->close(StreamEnd::NotConnected, "connect: " + errnoText());
  } else {
    configureSocket(State->Stream);
    State->Connecting = true;
    State->watch(true);
  }
  return std::unique_ptr<ByteStream>(new ByteStream(std::move(State)));
}

std::unique_ptr<ByteStream> ByteStream::adopt(Kernel::Task &Task,
                                              ACE_SOCK_Stream &Accepted,
                                              Events Handlers) {
  configureSocket(Accepted);
  auto State = std::make_unique<Impl>(Task, std::move(Handlers));
  State->Stream = Accepted;
  State->watch(false);
  return std::unique_ptr<ByteStream>(new ByteStream(std::move(State)));
}

void ByteStream::Impl::scheduleFlush() {
  if (Connecting || WaitingForWrite || FlushScheduled)
    return;
  FlushScheduled = true;
  Task.post([this, IsAlive = Alive] {
    if (!*IsAlive || Closed)
      return;
    FlushScheduled = false;
    if (!Connecting)
      writeAll();
  });
}

void ByteStream::write(std::string_view Bytes) {
  if (Self->Closed || Self->ClosingGracefully || Self->WriteFailed)
    return;
  Self->Outgoing.append(Bytes);
  Self->scheduleFlush();
}

void ByteStream::writeOwned(std::string Bytes) {
  if (Self->Closed || Self->ClosingGracefully || Self->WriteFailed)
    return;
  Self->Outgoing.appendOwned(std::move(Bytes));
  Self->scheduleFlush();
}

void ByteStream::flush() {
  if (isConnected())
    Self->writeAll();
}

void ByteStream::closeGracefully() {
  if (Self->Closed || Self->ClosingGracefully)
    return;
  write({});
  Self->ClosingGracefully = true;
  Self->ReadEnabled = true;
  Self->updateInterest();
}

void ByteStream::closeNow(const std::string &Reason) {
  Self->close(StreamEnd::Broken, Reason);
}

void ByteStream::setReading(bool Enabled) {
  if (Self->ReadEnabled == Enabled || Self->ClosingGracefully)
    return;
  Self->ReadEnabled = Enabled;
  Self->updateInterest();
}

void ByteStream::readArrived() {
  constexpr std::size_t BytesPerRead = ReadChunkBytes * MaxChunksPerIteration;
  Impl &State = *Self;
  const std::shared_ptr<bool> IsAlive = State.Alive;
  // Bounded by what has arrived by now, since the peer may go on sending.
  for (std::size_t Reads = unreadBytes() / BytesPerRead + 1;
       Reads > 0 && *IsAlive && !State.Connecting && !State.Closed; --Reads)
    State.readAll();
}

bool ByteStream::isConnected() const {
  return !Self->Connecting && !Self->Closed && !Self->WriteFailed;
}

std::size_t ByteStream::unsentBytes() const { return Self->Outgoing.size(); }

std::size_t ByteStream::allocatedBytes() const {
  return Self->Outgoing.allocatedBytes();
}

std::size_t ByteStream::undeliveredBytes() const {
  int Unacknowledged = 0;
  if (Self->Closed || Self->Connecting ||
      ::ioctl(Self->Stream.get_handle(), SIOCOUTQ, &Unacknowledged) != 0)
    Unacknowledged = 0;
  return unsentBytes() + static_cast<std::size_t>(Unacknowledged);
}

std::size_t ByteStream::unreadBytes() const {
  return Self->Closed || Self->Connecting
             ? 0
             : static_cast<std::size_t>(Self->unreadBytes());
}

bool ByteStream::isQuiet() const {
  char Byte = 0;
  return isConnected() &&
         ::recv(Self->Stream.get_handle(), &Byte, sizeof Byte,
                MSG_PEEK | MSG_DONTWAIT) < 0 &&
         wouldBlock();
}

std::string ByteStream::peerAddress() const {
  ACE_INET_Addr Peer;
  if (Self->Stream.get_remote_addr(Peer) < 0)
    return {};
  const char *Text = Peer.get_host_addr();
  return Text ? Text : "";
}

} // namespace Net
