#include "Net/Listener.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include "Common/Error.h"

namespace Net {

namespace {

// All callers of a VM may connect at the same time. When the accept queue is
// full, the kernel drops SYN packets, and the client retransmits them only
// after a second.
constexpr int AcceptQueueLength = 512;

} // namespace

struct Listener::Impl {
  Kernel::Task &Task;
  OnAccepted AcceptHandler;
  ACE_SOCK_Acceptor Acceptor;
  std::unique_ptr<Kernel::SocketWatch> Watch;
  int Port = 0;

  void acceptAll();
};

void Listener::Impl::acceptAll() {
  for (;;) {
    ACE_SOCK_Stream Stream;
    if (Acceptor.accept(Stream) < 0)
      return;
    AcceptHandler([&](ByteStream::Events Handlers) {
      return ByteStream::adopt(Task, Stream, std::move(Handlers));
    });
  }
}

Listener::Listener(Kernel::Task &Task, const std::string &Address, int Port,
                   OnAccepted AcceptHandler)
    : Self(new Impl{Task, std::move(AcceptHandler), {}, nullptr, 0}) {
  const ACE_INET_Addr ListenAddress(static_cast<u_short>(Port), Address.c_str(),
                                    AF_INET);
  if (Self->Acceptor.open(ListenAddress, 1, AF_INET, AcceptQueueLength) < 0)
    Common::throwSystemError("listening on " + Address + ":" +
                             std::to_string(Port));
  Self->Acceptor.enable(ACE_NONBLOCK);
  ACE_INET_Addr BoundAddress;
  Self->Acceptor.get_local_addr(BoundAddress);
  Self->Port = BoundAddress.get_port_number();
  Impl *Instance = Self.get();
  Self->Watch =
      Task.watch(Self->Acceptor.get_handle(), {.Read = true},
                 [Instance](Kernel::IoReadiness) { Instance->acceptAll(); });
}

Listener::~Listener() {
  Self->Watch.reset();
  Self->Acceptor.close();
}

void Listener::acceptWaiting() { Self->acceptAll(); }

int Listener::port() const { return Self->Port; }

} // namespace Net
