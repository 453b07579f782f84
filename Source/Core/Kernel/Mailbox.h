#pragma once

#include <concepts>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "Kernel/Task.h"

namespace Kernel {

enum class PostResult { Accepted, Full, Closed };

// Anything a message can be sent to: an address, or a mock in tests.
template <class Sink, class Message>
concept MessageSink = requires(Sink &Target, Message Content) {
  { Target.post(std::move(Content)) } -> std::same_as<PostResult>;
};

// The bounded queue of messages before one service. A full mailbox refuses
// the message at once; the sender decides what to do.
template <class Message> class Mailbox {
public:
  Mailbox(Task &Owner, std::size_t Capacity)
      : Owner(Owner), Capacity(Capacity) {}

  PostResult post(Message Content) {
    {
      const std::scoped_lock Guard(Lock);
      if (Closed)
        return PostResult::Closed;
      if (Queue.size() >= Capacity)
        return PostResult::Full;
      Queue.push_back(std::move(Content));
    }
    return PostResult::Accepted;
  }

  // Called once, on the owner's thread. Messages that came before stay queued;
  // deliverOne has to be called for each of them.
  std::size_t open(std::function<void(Message)> OnMessage) {
    const std::scoped_lock Guard(Lock);
    Handler = std::move(OnMessage);
    return Queue.size();
  }

  void close() {
    const std::scoped_lock Guard(Lock);
    Closed = true;
    Handler = nullptr;
    Queue.clear();
  }

  void deliverOne() {
    std::optional<Message> Content;
    {
      const std::scoped_lock Guard(Lock);
      if (!Handler || Queue.empty())
        return;
      Content.emplace(std::move(Queue.front()));
      Queue.pop_front();
    }
    // Only the owner's thread closes the mailbox, so Handler stays valid.
    Handler(std::move(*Content));
  }

  Task &owner() { return Owner; }

private:
  Task &Owner;
  const std::size_t Capacity;
  std::mutex Lock;
  bool Closed = false;
  std::deque<Message> Queue;
  std::function<void(Message)> Handler;
};

// Where to send messages to a service. Copies share the mailbox.
template <class Message> class Address {
public:
  Address() = default;
  explicit Address(std::shared_ptr<Mailbox<Message>> Target)
      : Target(std::move(Target)) {}

  PostResult post(Message Content) {
    if (!Target)
      return PostResult::Closed;
    const PostResult Result = Target->post(std::move(Content));
    if (Result == PostResult::Accepted)
      Target->owner().post([Box = Target] { Box->deliverOne(); });
    return Result;
  }

private:
  std::shared_ptr<Mailbox<Message>> Target;
};

} // namespace Kernel
