#include "Wire/FrameSocket.h"

#include "Common/Error.h"

namespace Wire {

namespace {

constexpr std::size_t LengthBytes = 4;

} // namespace

struct FrameSocket::Impl {
  explicit Impl(Events Wanted) : Listener(std::move(Wanted)) {}
  ~Impl() { *Alive = false; }

  Net::ByteStream::Events wiring();
  void takeBytes(std::string_view Bytes);
  bool takeFrame(std::string_view Content);
  void fail(const std::string &Why);

  Events Listener;
  std::unique_ptr<Net::ByteStream> Stream;
  std::string Incoming;
  // Set when this end gave the connection up.
  std::string Failure;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

Net::ByteStream::Events FrameSocket::Impl::wiring() {
  Net::ByteStream::Events Wired;
  Wired.OnBytes = [this](std::string_view Bytes) { takeBytes(Bytes); };
  Wired.OnConnected = [this] { Listener.OnConnected(); };
  Wired.OnClosed = [this](Net::StreamEnd, const std::string &Why) {
    const auto OnClosed = std::move(Listener.OnClosed);
    OnClosed(Failure.empty() ? Why : Failure);
  };
  return Wired;
}

void FrameSocket::Impl::fail(const std::string &Why) {
  Failure = Why;
  Stream->closeNow(Why);
}

void FrameSocket::Impl::takeBytes(std::string_view Bytes) {
  const std::shared_ptr<bool> Lives = Alive;
  Incoming.append(Bytes);
  std::size_t Position = 0;
  while (Incoming.size() - Position >= LengthBytes) {
    std::size_t Length = 0;
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Length =
          Length << 8 | static_cast<unsigned char>(Incoming[Position + Index]);
    if (Length > MaxFrameBytes) {
      fail("704 FrameTooLarge: " + std::to_string(Length) + " bytes");
      return;
    }
    if (Incoming.size() - Position - LengthBytes < Length)
      break;
    Position += LengthBytes;
    if (!takeFrame(std::string_view(Incoming).substr(Position, Length)) ||
        !*Lives || !Stream->isConnected())
      return;
    Position += Length;
  }
  Incoming.erase(0, Position);
}

bool FrameSocket::Impl::takeFrame(std::string_view Content) {
  const std::shared_ptr<bool> Lives = Alive;
  try {
    Listener.OnFrame(Content);
  } catch (const Common::Error &Refused) {
    if (*Lives)
      fail(Refused.what());
    return false;
  }
  return true;
}

FrameSocket::FrameSocket(std::unique_ptr<Impl> State)
    : Self(std::move(State)) {}
FrameSocket::~FrameSocket() = default;

std::unique_ptr<FrameSocket> FrameSocket::connect(Kernel::Task &Home,
                                                  const std::string &Where,
                                                  Events Listener) {
  auto State = std::make_unique<Impl>(std::move(Listener));
  State->Stream = Net::ByteStream::connect(Home, Where, State->wiring());
  return std::unique_ptr<FrameSocket>(new FrameSocket(std::move(State)));
}

void FrameSocket::send(std::string_view Content) {
  std::string Length;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Length.push_back(static_cast<char>(Content.size() >> Shift & 0xff));
  Self->Stream->write(Length);
  Self->Stream->write(Content);
}

bool FrameSocket::isConnected() const { return Self->Stream->isConnected(); }

std::size_t FrameSocket::unsentBytes() const {
  return Self->Stream->unsentBytes();
}

FrameListener::FrameListener(Kernel::Task &Home, const std::string &Address,
                             int Port, OnAccepted Accepted)
    : Socket(Home, Address, Port,
             [Accepted =
                  std::move(Accepted)](const Net::Listener::Adopter &Adopt) {
               Accepted([&](FrameSocket::Events Wanted) {
                 auto State =
                     std::make_unique<FrameSocket::Impl>(std::move(Wanted));
                 State->Stream = Adopt(State->wiring());
                 return std::unique_ptr<FrameSocket>(
                     new FrameSocket(std::move(State)));
               });
             }) {}

} // namespace Wire
