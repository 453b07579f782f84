#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Kernel/Task.h"

namespace Wire {

// A UDP socket on a task.
class DatagramSocket {
public:
  // Throws SystemCallFailed when the port cannot be had. 0 takes a free one.
  DatagramSocket(Kernel::Task &Home, const std::string &Address, int Port,
                 std::function<void(std::string_view)> OnDatagram);
  ~DatagramSocket();

  int port() const;
  // Datagrams may be lost at any time; a failed send is one of the ways.
  void send(const std::string &Address, int Port, std::string_view Content);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace Wire
