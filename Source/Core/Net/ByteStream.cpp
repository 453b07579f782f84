#include "Net/ByteStream.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace Net {

namespace {

constexpr std::size_t ReadChunkBytes = 64 << 10;
// Read in one turn of the loop, so that a peer that sends as fast as it is
// read does not keep the others waiting.
constexpr int MaxChunksPerTurn = 4;
// The kernel gives up on unacknowledged data after this. Above the longest
// retransmission series that a lossy link of our users causes.
constexpr unsigned int UserTimeoutMillis = 5000;

void prepare(ACE_SOCK_Stream &Stream) {
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
  Impl(Kernel::Task &Home, Events Wired)
      : Home(Home), Wired(std::move(Wired)) {}
  ~Impl() {
    *Alive = false;
    Watch.reset();
    Stream.close();
  }

  void watch(bool ForWrite);
  void updateInterest();
  void onReady(Kernel::IoReadiness Ready);
  void finishConnect();
  void readAll();
  void deliver(std::string_view Bytes);
  void writeAll();
  void close(StreamEnd How, const std::string &Why);

  Kernel::Task &Home;
  Events Wired;
  ACE_SOCK_Stream Stream;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  bool Connecting = false;
  bool Closed = false;
  bool Finishing = false;
  bool WantsRead = true;
  bool WaitsForWrite = false;
  bool FlushScheduled = false;
  std::string Outgoing;
  std::size_t Written = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

void ByteStream::Impl::watch(bool ForWrite) {
  WaitsForWrite = ForWrite;
  Watch =
      Home.watch(Stream.get_handle(), {.Read = !Connecting, .Write = ForWrite},
                 [this](Kernel::IoReadiness Ready) { onReady(Ready); });
}

void ByteStream::Impl::updateInterest() {
  if (Watch && !Connecting)
    Watch->setInterest({.Read = WantsRead, .Write = WaitsForWrite});
}

void ByteStream::Impl::onReady(Kernel::IoReadiness Ready) {
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

void ByteStream::Impl::finishConnect() {
  int Failure = 0;
  int Size = sizeof Failure;
  Stream.get_option(SOL_SOCKET, SO_ERROR, &Failure, &Size);
  if (Failure != 0) {
    close(StreamEnd::Broken, std::string("connect: ") + std::strerror(Failure));
    return;
  }
  Connecting = false;
  WaitsForWrite = false;
  updateInterest();
  const std::shared_ptr<bool> Lives = Alive;
  Wired.OnConnected();
  if (*Lives && !Closed)
    writeAll();
}

void ByteStream::Impl::readAll() {
  const std::shared_ptr<bool> Lives = Alive;
  static thread_local std::array<char, ReadChunkBytes> Chunk;
  for (int Chunks = 0;
       *Lives && !Closed && WantsRead && Chunks < MaxChunksPerTurn; ++Chunks) {
    const ssize_t Count = Stream.recv(Chunk.data(), Chunk.size());
    if (Count < 0 && wouldBlock())
      return;
    if (Count == 0) {
      close(StreamEnd::Finished, "closed by peer");
      return;
    }
    if (Count < 0) {
      close(StreamEnd::Broken, errnoText());
      return;
    }
    if (!Finishing)
      deliver({Chunk.data(), static_cast<std::size_t>(Count)});
    if (static_cast<std::size_t>(Count) < Chunk.size())
      return;
  }
}

// A connection whose bytes cannot be taken ends; left open it would be ready
// again at once, for ever.
void ByteStream::Impl::deliver(std::string_view Bytes) {
  const std::shared_ptr<bool> Lives = Alive;
  try {
    Wired.OnBytes(Bytes);
  } catch (const std::exception &Fault) {
    spdlog::error("event=bytes-refused count={} reason=\"{}\"", Bytes.size(),
                  Fault.what());
    if (*Lives)
      close(StreamEnd::Broken, Fault.what());
  }
}

void ByteStream::Impl::writeAll() {
  while (Written < Outgoing.size()) {
    const ssize_t Count = ::send(Stream.get_handle(), Outgoing.data() + Written,
                                 Outgoing.size() - Written, MSG_NOSIGNAL);
    if (Count < 0 && wouldBlock())
      break;
    if (Count < 0) {
      close(StreamEnd::Broken, errnoText());
      return;
    }
    Written += static_cast<std::size_t>(Count);
  }
  if (Written == Outgoing.size()) {
    Outgoing.clear();
    Written = 0;
    if (Finishing)
      Stream.close_writer();
  }
  const bool MustWait = !Outgoing.empty();
  if (MustWait != WaitsForWrite) {
    WaitsForWrite = MustWait;
    updateInterest();
  }
}

void ByteStream::Impl::close(StreamEnd How, const std::string &Why) {
  if (Closed)
    return;
  Closed = true;
  Watch.reset();
  Stream.close();
  // Told from the loop: the receiver may destroy this stream.
  Home.post([this, How, Why, Lives = Alive] {
    if (!*Lives)
      return;
    const auto OnClosed = std::move(Wired.OnClosed);
    OnClosed(How, Why);
  });
}

ByteStream::ByteStream(std::unique_ptr<Impl> State) : Self(std::move(State)) {}
ByteStream::~ByteStream() = default;

std::unique_ptr<ByteStream> ByteStream::connect(Kernel::Task &Home,
                                                const std::string &Where,
                                                Events Wired) {
  auto State = std::make_unique<Impl>(Home, std::move(Wired));
  const ACE_INET_Addr Target(Where.c_str(), AF_INET);
  ACE_SOCK_Connector Connector;
  ACE_Time_Value NoWait = ACE_Time_Value::zero;
  const int Result = Connector.connect(State->Stream, Target, &NoWait);
  if (Result < 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    State->close(StreamEnd::Broken, "connect: " + errnoText());
  } else {
    prepare(State->Stream);
    State->Connecting = true;
    State->watch(true);
  }
  return std::unique_ptr<ByteStream>(new ByteStream(std::move(State)));
}

std::unique_ptr<ByteStream>
ByteStream::adopt(Kernel::Task &Home, ACE_SOCK_Stream &Accepted, Events Wired) {
  prepare(Accepted);
  auto State = std::make_unique<Impl>(Home, std::move(Wired));
  State->Stream = Accepted;
  State->watch(false);
  return std::unique_ptr<ByteStream>(new ByteStream(std::move(State)));
}

void ByteStream::write(std::string_view Bytes) {
  if (Self->Closed || Self->Finishing)
    return;
  Self->Outgoing.append(Bytes);
  if (Self->Connecting || Self->WaitsForWrite || Self->FlushScheduled)
    return;
  Self->FlushScheduled = true;
  Self->Home.post([State = Self.get(), Lives = Self->Alive] {
    if (!*Lives || State->Closed)
      return;
    State->FlushScheduled = false;
    if (!State->Connecting)
      State->writeAll();
  });
}

void ByteStream::finish() {
  if (Self->Closed || Self->Finishing)
    return;
  write({});
  Self->Finishing = true;
  Self->WantsRead = true;
  Self->updateInterest();
}

void ByteStream::abandon(const std::string &Why) {
  Self->close(StreamEnd::Broken, Why);
}

void ByteStream::setReading(bool Wanted) {
  if (Self->WantsRead == Wanted || Self->Finishing)
    return;
  Self->WantsRead = Wanted;
  Self->updateInterest();
}

bool ByteStream::isConnected() const {
  return !Self->Connecting && !Self->Closed;
}

std::size_t ByteStream::unsentBytes() const {
  return Self->Outgoing.size() - Self->Written;
}

std::string ByteStream::peerAddress() const {
  ACE_INET_Addr Peer;
  if (Self->Stream.get_remote_addr(Peer) < 0)
    return {};
  const char *Text = Peer.get_host_addr();
  return Text ? Text : "";
}

} // namespace Net
