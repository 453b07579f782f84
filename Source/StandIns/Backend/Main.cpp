#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/Log.h"
#include "StandIns/Backend/BackendServer.h"

namespace {

int runBackend(int ArgCount, const char **Args) {
  StandIns::BackendOptions Options;
  std::string Port = "0";
  std::string Slots = "6";
  std::string Work = "0us";
  Common::CommandLine("zinnia-standin-backend", "")
      .option("name", "NAME", "Name of the backend server", Options.Name)
      .option("service", "SERVICE", "Service it belongs to", Options.Service)
      .option("address", "IP", "Address to listen on", Options.Address)
      .option("port", "PORT", "Port to listen on; 0 selects a free one", Port)
      .option("slots", "N", "Number of requests it works on at the same time",
              Slots)
      .option("node-admin", "IP:PORT",
              "Admin socket of the node on the same VM", Options.NodeAdmin)
      .option("work", "TIME", "Mean work time of a request", Work)
      .parse(ArgCount, Args);
  const auto MeanWork = Common::parseDuration(Work);
  if (Options.Name.empty() || Options.Service.empty() || !MeanWork)
    throw Common::Error(
        Common::ResultCode::UsageError,
        "--name and --service are required, and --work has to be a "
        "duration such as 5ms");
  Options.Port = std::stoi(Port);
  Options.Slots = std::stoi(Slots);
  Options.Work = *MeanWork;
  Common::startLog(Options.Name, "info", "%H:%M:%S.%e %n %l %v");
  Kernel::HostBuilder Builder;
  Builder.task("server").service<StandIns::BackendServer>(
      "server", "server", {}, [&](Kernel::Context Context) {
        return std::make_unique<StandIns::BackendServer>(Context, Options);
      });
  Kernel::Host Host = Builder.build();
  Host.start();
  Host.waitForStopSignal();
  Host.stop(Common::Millis(100));
  return 0;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-standin-backend", runBackend, ArgCount,
                            Args);
}
