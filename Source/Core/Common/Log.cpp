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

// A pipe with room for this much takes it without blocking.
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
      writeHeld(Now);
  }

  void flush_() override { writeHeld(std::chrono::steady_clock::now()); }

private:
  void writeHeld(SteadyTime Now) {
    tellDropped(Now);
    while (!Buffer.held().empty()) {
      pollfd Wanted = {Fd, POLLOUT, 0};
      if (::poll(&Wanted, 1, 0) <= 0)
        return;
      const ssize_t Count =
          ::write(Fd, Buffer.held().data(),
                  std::min(Buffer.held().size(), AtomicPipeBytes));
      // Whoever closed the log has no use for it.
      Buffer.written(Count < 0 ? Buffer.held().size()
                               : static_cast<std::size_t>(Count),
                     Now);
    }
  }

  void tellDropped(SteadyTime Now) {
    DroppedUntold += Buffer.takeDropped();
    if (DroppedUntold == 0 || Now - ToldAt < TellInterval)
      return;
    if (Buffer.add("event=log-lines-dropped count=" +
                       std::to_string(DroppedUntold) + "\n",
                   true, Now))
      DroppedUntold = 0;
    ToldAt = Now;
  }

  static constexpr Millis TellInterval{1'000};

  int Fd;
  LogBuffer Buffer;
  std::uint64_t DroppedUntold = 0;
  SteadyTime ToldAt = {};
};

void useSink(spdlog::sink_ptr Sink, const std::string &Program,
             const std::string &Level, const std::string &Pattern) {
  const auto Parsed = spdlog::level::from_str(Level);
  if (Parsed == spdlog::level::off && Level != "off")
    throw Error(ResultCode::SettingsOutOfRange, "log level " + Level);
  auto Logger = std::make_shared<spdlog::logger>(Program, std::move(Sink));
  Logger->set_level(Parsed);
  Logger->set_pattern(Pattern);
  spdlog::set_default_logger(std::move(Logger));
}

} // namespace

void startBoundedLog(const std::string &Program, const std::string &Level,
                     const std::string &Pattern, const LogBounds &Bounds) {
  useSink(std::make_shared<BoundedSink>(STDOUT_FILENO, Bounds), Program, Level,
          Pattern);
}

void startLog(const std::string &Program, const std::string &Level,
              const std::string &Pattern) {
  useSink(std::make_shared<spdlog::sinks::stderr_sink_mt>(), Program, Level,
          Pattern);
}

} // namespace Common
