#include <cstdio>
#include <fstream>

#include "Common/CommandLine.h"
#include "Common/Error.h"
#include "Operator/SyncHttp.h"
#include "Report/BurnReport.h"

namespace {

Report::BurnSettings readSettings(const std::string &File) {
  std::vector<Common::Fault> Faults;
  auto Settings =
      Report::readBurnSettings(File, Common::readFile(File), Faults);
  for (const Common::Fault &Fault : Faults)
    std::fprintf(stderr, "%s\n", Fault.text().c_str());
  if (!Faults.empty())
    throw Common::Error(Faults.front().Code, Faults.front().text());
  return Settings;
}

Report::BurnReport collect(const Report::BurnSettings &Settings) {
  Report::BurnReport Result;
  std::map<Report::WindowKey, Report::CallCounts> Totals;
  Operator::SyncHttp Transport;
  for (const std::string &Node : Settings.Nodes) {
    Http::ClientRequest Request;
    Request.Url = "http://" + Node + "/v1/metrics";
    Request.Timeout = Settings.NodeTimeout;
    const Http::ClientResult Answer = Transport.send(std::move(Request));
    if (!Answer.Answered || Answer.Reply.Status != 200) {
      Result.Unreachable.push_back(Node);
      continue;
    }
    Result.Answered.push_back(Node);
    Report::addWindows(Report::parseMetricsPage(Answer.Reply.Body), Totals);
  }
  Result.Objectives = Report::computeBurn(Settings.Objectives, Totals);
  return Result;
}

void writePage(const std::string &Path, const Report::BurnReport &Result) {
  std::ofstream Out(Path);
  Out << Report::burnPage(Result);
  if (!Out.flush())
    throw Common::Error(Common::ResultCode::SystemCallFailed,
                        "cannot write " + Path);
}

int runBurn(int ArgCount, const char **Args) {
  std::string File;
  std::string PageFile;
  bool CheckOnly = false;
  const auto Operands =
      Common::CommandLine("zinnia-burn", "--settings FILE")
          .option("settings", "FILE", "File with nodes and objectives (INI)",
                  File)
          .option("page", "FILE",
                  "Also write an HTML page with plots to this file", PageFile)
          .flag("check-settings", "Check the settings and exit", CheckOnly)
          .parse(ArgCount, Args);
  if (File.empty() || !Operands.empty())
    throw Common::Error(
        Common::ResultCode::UsageError,
        "--settings FILE is required, without further arguments");
  const Report::BurnSettings Settings = readSettings(File);
  if (CheckOnly)
    return 0;
  const Report::BurnReport Result = collect(Settings);
  std::printf("%s", Report::burnText(Result).c_str());
  if (!PageFile.empty())
    writePage(PageFile, Result);
  return Result.Unreachable.empty() ? 0 : 1;
}

} // namespace

int main(int ArgCount, const char **Args) {
  return Common::runProgram("zinnia-burn", runBurn, ArgCount, Args);
}
