#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Kernel/Task.h"

namespace Wire {

// A UDP socket that receives on a task.
class DatagramSocket {
public:
  // Throws SystemCallFailed if the port cannot be bound. Port 0 selects a free
  // port.
  DatagramSocket(Kernel::Task &Owner, const std::string &Address, int Port,
                 std::function<void(std::string_view)> OnDatagram);
  ~DatagramSocket();

  int port() const;
  // Delivery is not guaranteed, so a failed send is ignored like any other lost
  // datagram.
  void send(const std::string &Address, int Port, std::string_view Content);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Wire
