#include "Wire/DatagramSocket.h"

#include <array>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include "Common/Error.h"

namespace Wire {

namespace {

constexpr std::size_t MaxDatagramBytes = 64 << 10;

} // namespace

struct DatagramSocket::Impl {
  std::function<void(std::string_view)> OnDatagram;
  ACE_SOCK_Dgram Socket;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  int Port = 0;

  void receiveAll() {
    static thread_local std::array<char, MaxDatagramBytes> Buffer;
    for (;;) {
      ACE_INET_Addr Sender;
      const ssize_t Count = Socket.recv(Buffer.data(), Buffer.size(), Sender);
      if (Count < 0)
        return;
      OnDatagram(
          std::string_view(Buffer.data(), static_cast<std::size_t>(Count)));
    }
  }
};

DatagramSocket::DatagramSocket(Kernel::Task &Owner, const std::string &Address,
                               int Port,
                               std::function<void(std::string_view)> OnDatagram)
    : Self(new Impl{std::move(OnDatagram), {}, nullptr, 0}) {
  const ACE_INET_Addr BindAddress(static_cast<u_short>(Port), Address.c_str(),
                                  AF_INET);
  if (Self->Socket.open(BindAddress, AF_INET) < 0)
    Common::throwSystemError("binding UDP socket " + Address + ":" +
                             std::to_string(Port));
  Self->Socket.enable(ACE_NONBLOCK);
  ACE_INET_Addr Bound;
  Self->Socket.get_local_addr(Bound);
  Self->Port = Bound.get_port_number();
  Impl *State = Self.get();
  Self->Watch =
      Owner.watch(Self->Socket.get_handle(), {.Read = true},
                  [State](Kernel::IoReadiness) { State->receiveAll(); });
}

DatagramSocket::~DatagramSocket() {
  Self->Watch.reset();
  Self->Socket.close();
}

int DatagramSocket::port() const { return Self->Port; }

void DatagramSocket::send(const std::string &Address, int Port,
                          std::string_view Content) {
  const ACE_INET_Addr Destination(static_cast<u_short>(Port), Address.c_str(),
                                  AF_INET);
  Self->Socket.send(Content.data(), Content.size(), Destination);
}

} // namespace Wire
