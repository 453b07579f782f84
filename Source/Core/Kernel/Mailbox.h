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

// A destination for messages: an Address, or a mock in tests.
template <class Sink, class Message>
concept MessageSink = requires(Sink &Target, Message Content) {
  { Target.post(std::move(Content)) } -> std::same_as<PostResult>;
};

// The bounded message queue of a service. A full mailbox rejects a message at
// once and leaves the handling of the overload to the sender.
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

  // Sets the message handler. Called once, on the owner's thread. Returns the
  // number of messages already queued; the caller has to call deliverOne for
  // each of them.
  std::size_t open(std::function<void(Message)> OnMessage) {
    const std::scoped_lock Guard(Lock);
    Handler = std::move(OnMessage);
    return Queue.size();
  }

  // Discards the queued messages and rejects all later ones.
  void close() {
    const std::scoped_lock Guard(Lock);
    Closed = true;
    Handler = nullptr;
    Queue.clear();
  }

  // Passes the oldest message to the handler. Does nothing if there is no
  // message or no handler.
  void deliverOne() {
    std::optional<Message> Content;
    {
      const std::scoped_lock Guard(Lock);
      if (!Handler || Queue.empty())
        return;
      Content.emplace(std::move(Queue.front()));
      Queue.pop_front();
    }
    // Handler can be called without the lock, because only the owner's thread,
    // which runs this function, closes the mailbox.
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

// A handle for sending messages to a service. Copies share the mailbox. A
// default-constructed address rejects all messages as Closed.
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
      Target->owner().post([Inbox = Target] { Inbox->deliverOne(); });
    return Result;
  }

private:
  std::shared_ptr<Mailbox<Message>> Target;
};

} // namespace Kernel
