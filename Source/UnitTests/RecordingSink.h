#pragma once

#include <vector>

#include "Kernel/Mailbox.h"

namespace UnitTests {

// A message sink that records the messages posted to it. A default-constructed
// sink is closed.
template <class Message> class RecordingSink {
public:
  explicit RecordingSink(std::vector<Message> &Messages)
      : Messages(&Messages) {}
  RecordingSink() = default;

  Kernel::PostResult post(Message Content) {
    if (!Messages)
      return Kernel::PostResult::Closed;
    Messages->push_back(std::move(Content));
    return Kernel::PostResult::Accepted;
  }

private:
  std::vector<Message> *Messages = nullptr;
};

} // namespace UnitTests
