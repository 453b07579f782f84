#include "Wire/FrameSocket.h"

#include "Common/Error.h"
#include "Common/LengthPrefix.h"

namespace Wire {

namespace {

using Common::LengthPrefixBytes;

// Room for received bytes that a connection keeps between frames.
constexpr std::size_t MaxKeptBytes = 256 << 10;

} // namespace

struct FrameSocket::Impl {
  explicit Impl(Events EventHandlers) : Handlers(std::move(EventHandlers)) {}
  ~Impl() { *Alive = false; }

  Net::ByteStream::Events streamEvents();
  void onBytes(std::string_view Bytes);
  bool deliverFrame(std::string_view Content);
  void fail(const std::string &Reason);

  Events Handlers;
  std::unique_ptr<Net::ByteStream> Stream;
  std::string Incoming;
  std::uint64_t QueuedBytes = 0;
  // The reason why this side closed the connection, empty if it did not.
  std::string FailureReason;
  // Set to false by the destructor. Copies let a function that runs callbacks
  // notice that one of them destroyed this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Net::ByteStream::Events FrameSocket::Impl::streamEvents() {
  Net::ByteStream::Events Result;
  Result.OnBytes = [this](std::string_view Bytes) { onBytes(Bytes); };
  Result.OnConnected = [this] { Handlers.OnConnected(); };
  Result.OnClosed = [this](Net::StreamEnd, const std::string &Reason) {
    const auto OnClosed = std::move(Handlers.OnClosed);
    OnClosed(FailureReason.empty() ? Reason : FailureReason);
  };
  return Result;
}

void FrameSocket::Impl::fail(const std::string &Reason) {
  FailureReason = Reason;
  Stream->closeNow(Reason);
}

void FrameSocket::Impl::onBytes(std::string_view Bytes) {
  const std::shared_ptr<bool> IsAlive = Alive;
  Incoming.append(Bytes);
  std::size_t Position = 0;
  while (Incoming.size() - Position >= LengthPrefixBytes) {
    const std::size_t Length = Common::decodeBigEndian(
        std::string_view(Incoming).substr(Position, LengthPrefixBytes));
    if (Length > MaxFrameBytes) {
      fail("704 FrameTooLarge: " + std::to_string(Length) + " bytes");
      return;
    }
    if (Incoming.size() - Position - LengthPrefixBytes < Length)
      break;
    Position += LengthPrefixBytes;
    if (!deliverFrame(std::string_view(Incoming).substr(Position, Length)) ||
        !*IsAlive)
      return;
    Position += Length;
  }
  Incoming.erase(0, Position);
  if (Incoming.empty() && Incoming.capacity() > MaxKeptBytes)
    std::string().swap(Incoming);
}

bool FrameSocket::Impl::deliverFrame(std::string_view Content) {
  const std::shared_ptr<bool> IsAlive = Alive;
  try {
    Handlers.OnFrame(Content);
  } catch (const Common::Error &Failure) {
    if (*IsAlive)
      fail(Failure.what());
    return false;
  }
  return true;
}

FrameSocket::FrameSocket(std::unique_ptr<Impl> State)
    : Self(std::move(State)) {}
FrameSocket::~FrameSocket() = default;

std::unique_ptr<FrameSocket>
FrameSocket::connect(Kernel::Task &Owner, const std::string &SocketAddress,
                     Events Handlers) {
  auto State = std::make_unique<Impl>(std::move(Handlers));
  State->Stream =
      Net::ByteStream::connect(Owner, SocketAddress, State->streamEvents());
  return std::unique_ptr<FrameSocket>(new FrameSocket(std::move(State)));
}

void FrameSocket::send(std::string_view Content) {
  const std::size_t Before = Self->Stream->unsentBytes();
  Self->Stream->write(Common::encodeLengthPrefix(Content.size()));
  Self->Stream->write(Content);
  Self->QueuedBytes += Self->Stream->unsentBytes() - Before;
}

void FrameSocket::sendOwned(std::string Content) {
  const std::size_t Before = Self->Stream->unsentBytes();
  Self->Stream->write(Common::encodeLengthPrefix(Content.size()));
  Self->Stream->writeOwned(std::move(Content));
  Self->QueuedBytes += Self->Stream->unsentBytes() - Before;
}

void FrameSocket::closeGracefully() { Self->Stream->closeGracefully(); }

void FrameSocket::flush() { Self->Stream->flush(); }

void FrameSocket::readArrived() { Self->Stream->readArrived(); }

bool FrameSocket::isConnected() const { return Self->Stream->isConnected(); }

std::size_t FrameSocket::unsentBytes() const {
  return Self->Stream->unsentBytes();
}

std::uint64_t FrameSocket::queuedBytes() const { return Self->QueuedBytes; }

std::uint64_t FrameSocket::sentBytes() const {
  return Self->QueuedBytes - Self->Stream->unsentBytes();
}

FrameListener::FrameListener(Kernel::Task &Owner, const std::string &Address,
                             int Port, OnAccepted Handler)
    : Socket(
          Owner, Address, Port,
          [Handler = std::move(Handler)](const Net::Listener::Adopter &Adopt) {
            Handler([&](FrameSocket::Events Handlers) {
              auto State =
                  std::make_unique<FrameSocket::Impl>(std::move(Handlers));
              State->Stream = Adopt(State->streamEvents());
              return std::unique_ptr<FrameSocket>(
                  new FrameSocket(std::move(State)));
            });
          }) {}

} // namespace Wire
