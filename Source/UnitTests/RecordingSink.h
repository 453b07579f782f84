#pragma once

#include <vector>

#include "Kernel/Mailbox.h"

namespace UnitTests {

// Stands for the address of a service and keeps what was sent to it.
template <class Message> class RecordingSink {
public:
  explicit RecordingSink(std::vector<Message> &Kept) : Kept(&Kept) {}
  RecordingSink() = default;

  Kernel::PostResult post(Message Content) {
    if (!Kept)
      return Kernel::PostResult::Closed;
    Kept->push_back(std::move(Content));
    return Kernel::PostResult::Accepted;
  }

private:
  std::vector<Message> *Kept = nullptr;
};

} // namespace UnitTests
