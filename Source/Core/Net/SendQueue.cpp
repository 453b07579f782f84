#include "Net/SendQueue.h"

#include <algorithm>
#include <utility>

#include "Common/Memory.h"

namespace Net {

namespace {

// The size of the blocks into which bytes are copied, and above which bytes
// that are handed over get a block of their own.
constexpr std::size_t BlockBytes = 64 << 10;
// The size up to which the last block stays for the next message.
constexpr std::size_t KeptBytes = 2 << 10;

} // namespace

void SendQueue::appendBlock(std::string Block) {
  if (empty()) {
    Blocks.clear();
    Allocated = 0;
  }
  Unsent += Block.size();
  Allocated += Common::allocatedBytes(Block);
  Blocks.push_back(std::move(Block));
}

void SendQueue::append(std::string_view Bytes) {
  if (!Blocks.empty() && Blocks.back().size() < BlockBytes) {
    std::string &Last = Blocks.back();
    const std::string_view Fitting = Bytes.substr(0, BlockBytes - Last.size());
    Allocated -= Common::allocatedBytes(Last);
    // A string grows to twice its size by itself.
    if (Last.size() + Fitting.size() > BlockBytes / 4)
      Last.reserve(BlockBytes);
    Last.append(Fitting);
    Allocated += Common::allocatedBytes(Last);
    Unsent += Fitting.size();
    Bytes.remove_prefix(Fitting.size());
  }
  for (; !Bytes.empty();
       Bytes.remove_prefix(std::min(Bytes.size(), BlockBytes)))
    appendBlock(std::string(Bytes.substr(0, BlockBytes)));
}

void SendQueue::appendOwned(std::string Bytes) {
  const bool FitsKept =
      !Blocks.empty() && Bytes.size() <= Blocks.front().capacity();
  if (Bytes.size() > BlockBytes || (empty() && !FitsKept && !Bytes.empty()))
    appendBlock(std::move(Bytes));
  else
    append(Bytes);
}

std::span<iovec> SendQueue::front(Parts &Room) const {
  const std::size_t Count = std::min(Blocks.size(), Room.size());
  std::size_t Skipped = SentOfFirst;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::string &Block = Blocks[Index];
    // The type of the system call isn't const, but it doesn't write there.
    Room[Index] = {const_cast<char *>(Block.data()) + Skipped,
                   Block.size() - Skipped};
    Skipped = 0;
  }
  return std::span(Room).first(Count);
}

void SendQueue::remove(std::size_t Count) {
  Unsent -= Count;
  while (Count > 0) {
    const std::size_t Left = Blocks.front().size() - SentOfFirst;
    if (Count < Left) {
      SentOfFirst += Count;
      trimFirst();
      return;
    }
    Count -= Left;
    SentOfFirst = 0;
    if (Blocks.size() == 1 && Blocks.front().capacity() <= KeptBytes) {
      Blocks.front().clear();
      return;
    }
    Allocated -= Common::allocatedBytes(Blocks.front());
    Blocks.pop_front();
  }
}

// Frees the part of a large block that is sent once it is the larger one, so
// that each byte is moved once at most on average.
void SendQueue::trimFirst() {
  std::string &First = Blocks.front();
  if (First.size() <= BlockBytes || SentOfFirst <= First.size() / 2)
    return;
  Allocated -= Common::allocatedBytes(First);
  First = First.substr(SentOfFirst);
  Allocated += Common::allocatedBytes(First);
  SentOfFirst = 0;
}

} // namespace Net
