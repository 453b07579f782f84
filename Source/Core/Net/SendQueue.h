#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include <sys/uio.h>

namespace Net {

// The bytes that a connection has still to send, in blocks. Blocks are freed as
// they are sent, so that the memory follows what is left of a long message.
class SendQueue {
public:
  void append(std::string_view Bytes);
  // Takes the bytes over instead of copying them, unless a few follow others.
  void appendOwned(std::string Bytes);
  // The first bytes, for one system call.
  std::vector<iovec> front() const;
  // Removes the first Count bytes, which have been sent.
  void remove(std::size_t Count);

  bool empty() const { return Unsent == 0; }
  std::size_t size() const { return Unsent; }
  std::size_t allocatedBytes() const { return Allocated; }

private:
  void appendBlock(std::string Block);
  void trimFirst();

  std::deque<std::string> Blocks;
  // How much of the first block is sent.
  std::size_t SentOfFirst = 0;
  std::size_t Unsent = 0;
  std::size_t Allocated = 0;
};

} // namespace Net
