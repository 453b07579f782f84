#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/Log.h"
#include "StandIns/Log/LogService.h"

namespace {

int runLog(int ArgCount, const char **Args) {
  std::string Address = "127.0.0.1";
  std::string Port = "0";
  std::string Retention = "1h";
  std::string AppendLimit = "0";
  Common::CommandLine("zinnia-standin-log", "")
      .option("address", "IP", "Address to listen on", Address)
      .option("port", "PORT", "Port to listen on; 0 selects a free one", Port)
      .option("append-limit", "N",
              "Maximum number of appends per second; 0 is unlimited",
              AppendLimit)
      .option("retention", "TIME", "How long to keep records", Retention)
      .parse(ArgCount, Args);
  const auto RetentionTime = Common::parseDuration(Retention);
  if (!RetentionTime)
    throw Common::Error(Common::ResultCode::UsageError,
                        "--retention requires a duration such as 10s or 1h");
  Common::startLog("standin-log", "info", "%H:%M:%S.%e %n %l %v");
  Kernel::HostBuilder Builder;
  Builder.task("log").service<StandIns::LogService>(
      "log", "log", {}, [&](Kernel::Context Context) {
        return std::make_unique<StandIns::LogService>(
            Context, Address, std::stoi(Port), *RetentionTime,
            std::stoi(AppendLimit));
      });
  Kernel::Host Host = Builder.build();
  Host.start();
  Host.waitForStopSignal();
  Host.stop(Common::Millis(100));
  return 0;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-standin-log", runLog, ArgCount, Args);
}
