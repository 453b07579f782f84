#pragma once

#include <memory>

#include "Http/Client.h"
#include "Kernel/Task.h"
#include "OwnLog/LogClient.h"

namespace Operator {

// Lets a command wait for answers: a task of its own does the transfers.
class SyncHttp {
public:
  SyncHttp();
  ~SyncHttp();

  Http::ClientResult send(Http::ClientRequest Asked);
  OwnLog::AppendResult append(const std::string &LogUrl,
                              const std::string &Stream,
                              const std::string &Content, Common::Micros Limit);
  OwnLog::ReadResult read(const std::string &LogUrl, const std::string &Stream,
                          OwnLog::Offset From, Common::Micros Wait);

private:
  Kernel::Task Worker;
  std::unique_ptr<Http::Client> Transport;
};

} // namespace Operator
