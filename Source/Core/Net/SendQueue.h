#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <string_view>

#include <sys/uio.h>

namespace Net {

// The bytes that a connection has still to send, in blocks. Blocks are freed as
// they are sent, so that the memory follows what is left of a long message.
class SendQueue {
public:
  static constexpr std::size_t MaxPartsPerCall = 16;
  using Parts = std::array<iovec, MaxPartsPerCall>;

  void append(std::string_view Bytes);
  // Takes the bytes over instead of copying them, unless a few follow others.
  void appendOwned(std::string Bytes);
  // The first bytes, for one system call: the parts of Room that are filled.
  std::span<iovec> front(Parts &Room) const;
  // Removes the first Count bytes, which have been sent.
  void remove(std::size_t Count);

  bool empty() const { return Unsent == 0; }
  std::size_t size() const { return Unsent; }
  // The memory of the unsent bytes.
  std::size_t allocatedBytes() const { return Unsent == 0 ? 0 : Allocated; }

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
