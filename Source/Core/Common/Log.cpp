#include "Common/Log.h"

#include <algorithm>
#include <climits>
#include <mutex>

#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "Common/Error.h"

namespace Common {

namespace {

// poll reports a pipe as writable when it has room for this many bytes, so that
// a write of at most this size does not block.
constexpr std::size_t AtomicPipeBytes = PIPE_BUF;

class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
  BoundedSink(int Fd, const LogBounds &Bounds) : Fd(Fd), Buffer(Bounds) {}

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Text;
    formatter_->format(Message, Text);
    const SteadyTime Now = std::chrono::steady_clock::now();
    Buffer.add(fmt::to_string(Text), Message.level >= spdlog::level::warn, Now);
    if (Buffer.isDue(Now))
      writePending(Now);
  }

  void flush_() override { writePending(std::chrono::steady_clock::now()); }

private:
  void writePending(SteadyTime Now) {
    reportDropped(Now);
    while (!Buffer.pending().empty()) {
      pollfd PollEntry = {Fd, POLLOUT, 0};
      if (::poll(&PollEntry, 1, 0) <= 0)
        return;
      const ssize_t Count =
          ::write(Fd, Buffer.pending().data(),
                  std::min(Buffer.pending().size(), AtomicPipeBytes));
      // Discards the pending lines on an error, because the reader has closed
      // the log.
      Buffer.markWritten(Count < 0 ? Buffer.pending().size()
                                   : static_cast<std::size_t>(Count),
                         Now);
    }
  }

  void reportDropped(SteadyTime Now) {
    UnreportedDrops += Buffer.takeDropped();
    if (UnreportedDrops == 0 || Now - ReportedAt < ReportInterval)
      return;
    if (Buffer.add("event=log-lines-dropped count=" +
                       std::to_string(UnreportedDrops) + "\n",
                   true, Now))
      UnreportedDrops = 0;
    ReportedAt = Now;
  }

  static constexpr Millis ReportInterval{1'000};

  int Fd;
  LogBuffer Buffer;
  std::uint64_t UnreportedDrops = 0;
  SteadyTime ReportedAt = {};
};

void setDefaultLogger(spdlog::sink_ptr Sink, const std::string &Program,
                      const std::string &Level, const std::string &Pattern) {
  const auto ParsedLevel = spdlog::level::from_str(Level);
  if (ParsedLevel == spdlog::level::off && Level != "off")
    throw Error(ResultCode::SettingsOutOfRange, "unknown log level " + Level);
  auto Logger = std::make_shared<spdlog::logger>(Program, std::move(Sink));
  Logger->set_level(ParsedLevel);
  Logger->set_pattern(Pattern);
  spdlog::set_default_logger(std::move(Logger));
}

} // namespace

void startBoundedLog(const std::string &Program, const std::string &Level,
                     const std::string &Pattern, const LogBounds &Bounds) {
  setDefaultLogger(std::make_shared<BoundedSink>(STDOUT_FILENO, Bounds),
                   Program, Level, Pattern);
}

void startLog(const std::string &Program, const std::string &Level,
              const std::string &Pattern) {
  setDefaultLogger(std::make_shared<spdlog::sinks::stderr_sink_mt>(), Program,
                   Level, Pattern);
}

} // namespace Common
