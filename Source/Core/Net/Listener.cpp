#include "Net/Listener.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include "Common/Error.h"

namespace Net {

namespace {

// A full queue drops the opening packet, which then comes again after a
// second; all callers of a VM may come at once.
constexpr int AcceptQueueLength = 512;

} // namespace

struct Listener::Impl {
  Kernel::Task &Home;
  OnAccepted Accepted;
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
    Accepted([&](ByteStream::Events Wired) {
      return ByteStream::adopt(Home, Stream, std::move(Wired));
    });
  }
}

Listener::Listener(Kernel::Task &Home, const std::string &Address, int Port,
                   OnAccepted Accepted)
    : Self(new Impl{Home, std::move(Accepted), {}, nullptr, 0}) {
  const ACE_INET_Addr Where(static_cast<u_short>(Port), Address.c_str(),
                            AF_INET);
  if (Self->Acceptor.open(Where, 1, AF_INET, AcceptQueueLength) < 0)
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

Listener::~Listener() {
  Self->Watch.reset();
  Self->Acceptor.close();
}

int Listener::port() const { return Self->Port; }

} // namespace Net
