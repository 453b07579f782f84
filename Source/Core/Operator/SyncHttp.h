#pragma once

#include <memory>

#include "Http/Client.h"
#include "Kernel/Task.h"
#include "OwnLog/LogClient.h"

namespace Operator {

// A blocking HTTP and log client for commands. Its own task runs the transfers.
class SyncHttp {
public:
  SyncHttp();
  ~SyncHttp();

  Http::ClientResult send(Http::ClientRequest Request);
  OwnLog::AppendResult append(const std::string &LogUrl,
                              const std::string &Stream,
                              const std::string &Content,
                              Common::Micros Timeout);
  OwnLog::ReadResult read(const std::string &LogUrl, const std::string &Stream,
                          OwnLog::Offset From, Common::Micros Wait);

private:
  Kernel::Task Worker;
  std::unique_ptr<Http::Client> Transport;
};

} // namespace Operator
