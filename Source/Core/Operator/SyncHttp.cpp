#include "Operator/SyncHttp.h"

#include <future>

namespace Operator {

SyncHttp::SyncHttp() : Worker("transfers") {
  Worker.spawn();
  Worker.runAndWait(
      [this] { Transport = std::make_unique<Http::Client>(Worker); });
}

SyncHttp::~SyncHttp() {
  Worker.runAndWait([this] { Transport.reset(); });
}

Http::ClientResult SyncHttp::send(Http::ClientRequest Request) {
  std::promise<Http::ClientResult> Answer;
  Worker.post([&] {
    Transport->send(std::move(Request), [&](Http::ClientResult Result) {
      Answer.set_value(std::move(Result));
    });
  });
  return Answer.get_future().get();
}

OwnLog::AppendResult SyncHttp::append(const std::string &LogUrl,
                                      const std::string &Stream,
                                      const std::string &Content,
                                      Common::Micros Timeout) {
  std::promise<OwnLog::AppendResult> Answer;
  Worker.post([&] {
    OwnLog::LogClient(*Transport, LogUrl)
        .append(Stream, Content, Timeout, [&](OwnLog::AppendResult Result) {
          Answer.set_value(std::move(Result));
        });
  });
  return Answer.get_future().get();
}

OwnLog::ReadResult SyncHttp::read(const std::string &LogUrl,
                                  const std::string &Stream,
                                  OwnLog::Offset From, Common::Micros Wait) {
  std::promise<OwnLog::ReadResult> Answer;
  Worker.post([&] {
    OwnLog::LogClient(*Transport, LogUrl)
        .read(Stream, From, Wait, [&](OwnLog::ReadResult Result) {
          Answer.set_value(std::move(Result));
        });
  });
  return Answer.get_future().get();
}

} // namespace Operator
