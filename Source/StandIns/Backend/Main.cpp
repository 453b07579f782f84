#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Common/Log.h"
#include "StandIns/Backend/BackendServer.h"

namespace {

int runBackend(int Count, const char **Words) {
  StandIns::BackendOptions Options;
  std::string Port = "0";
  std::string Slots = "6";
  std::string Work = "0us";
  Common::CommandLine("zinnia-standin-backend", "")
      .option("name", "NAME", "Name of the backend server", Options.Name)
      .option("service", "SERVICE", "Service it belongs to", Options.Service)
      .option("address", "IP", "Address to listen on", Options.Address)
      .option("port", "PORT", "Port to listen on; 0 takes a free one", Port)
      .option("slots", "N", "Requests it works on at a time", Slots)
      .option("node-admin", "IP:PORT", "Admin socket of the node beside it",
              Options.NodeAdmin)
      .option("work", "TIME", "Mean time of work for a request", Work)
      .parse(Count, Words);
  const auto Mean = Common::parseDuration(Work);
  if (Options.Name.empty() || Options.Service.empty() || !Mean)
    throw Common::Error(Common::ResultCode::UsageError,
                        "--name, --service and a --work such as 5ms");
  Options.Port = std::stoi(Port);
  Options.Slots = std::stoi(Slots);
  Options.Work = *Mean;
  Common::startLog(Options.Name, "info", "%H:%M:%S.%e %n %l %v");
  Kernel::HostBuilder Builder;
  Builder.task("server").service<StandIns::BackendServer>(
      "server", "server", {}, [&](Kernel::Context Around) {
        return std::make_unique<StandIns::BackendServer>(Around, Options);
      });
  Kernel::Host Running = Builder.build();
  Running.start();
  Running.waitForStopSignal();
  Running.stop(Common::Millis(100));
  return 0;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-standin-backend", runBackend, Count, Words);
}
