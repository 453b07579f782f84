#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <typeindex>

#include "Common/Error.h"
#include "Kernel/Mailbox.h"

namespace Kernel {

// Maps service names to their mailboxes. Thread-safe.
class Registry {
public:
  template <class Message>
  void add(const std::string &Name, std::shared_ptr<Mailbox<Message>> Inbox) {
    const std::scoped_lock Guard(Lock);
    Entries.insert_or_assign(
        Name, Entry{std::type_index(typeid(Message)), std::move(Inbox)});
  }

  // Throws ServiceNotFound if the name is unknown or the service takes another
  // message type.
  template <class Message> Address<Message> find(const std::string &Name) {
    const std::scoped_lock Guard(Lock);
    const auto Found = Entries.find(Name);
    if (Found == Entries.end() ||
        Found->second.Type != std::type_index(typeid(Message)))
      throw Common::Error(Common::ResultCode::ServiceNotFound, Name);
    return Address<Message>(
        std::static_pointer_cast<Mailbox<Message>>(Found->second.Inbox));
  }

private:
  struct Entry {
    std::type_index Type;
    std::shared_ptr<void> Inbox;
  };

  std::mutex Lock;
  std::map<std::string, Entry> Entries;
};

} // namespace Kernel
