#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/Log.h"
#include "StandIns/Log/LogService.h"

namespace {

int runLog(int Count, const char **Words) {
  std::string Address = "127.0.0.1";
  std::string Port = "0";
  std::string Retention = "1h";
  std::string AppendLimit = "0";
  Common::CommandLine("zinnia-standin-log", "")
      .option("address", "IP", "Address to listen on", Address)
      .option("port", "PORT", "Port to listen on; 0 takes a free one", Port)
      .option("append-limit", "N", "Appends a second; 0 for any number",
              AppendLimit)
      .option("retention", "TIME", "How long records are kept", Retention)
      .parse(Count, Words);
  const auto Kept = Common::parseDuration(Retention);
  if (!Kept)
    throw Common::Error(Common::ResultCode::UsageError,
                        "--retention wants a time such as 10s or 1h");
  Common::startLog("standin-log", "info", "%H:%M:%S.%e %n %l %v");
  Kernel::HostBuilder Builder;
  Builder.task("log").service<StandIns::LogService>(
      "log", "log", {}, [&](Kernel::Context Around) {
        return std::make_unique<StandIns::LogService>(
            Around, Address, std::stoi(Port), *Kept, std::stoi(AppendLimit));
      });
  Kernel::Host Running = Builder.build();
  Running.start();
  Running.waitForStopSignal();
  Running.stop(Common::Millis(100));
  return 0;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-standin-log", runLog, Count, Words);
}
