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
  for (const Common::Fault &Each : Faults)
    std::fprintf(stderr, "%s\n", Each.text().c_str());
  if (!Faults.empty())
    throw Common::Error(Faults.front().Code, Faults.front().text());
  return Settings;
}

Report::BurnReport collect(const Report::BurnSettings &Settings) {
  Report::BurnReport Result;
  std::map<Report::WindowKey, Report::CallCounts> Sum;
  Operator::SyncHttp Transport;
  for (const std::string &Node : Settings.Nodes) {
    Http::ClientRequest Asked;
    Asked.Url = "http://" + Node + "/v1/metrics";
    Asked.Timeout = Settings.NodeLimit;
    const Http::ClientResult Answer = Transport.send(std::move(Asked));
    if (!Answer.Answered || Answer.Reply.Status != 200) {
      Result.Silent.push_back(Node);
      continue;
    }
    Result.Answered.push_back(Node);
    Report::addWindows(Report::parseMetricsPage(Answer.Reply.Body), Sum);
  }
  Result.Objectives = Report::computeBurn(Settings.Objectives, Sum);
  return Result;
}

void writePage(const std::string &Path, const Report::BurnReport &Result) {
  std::ofstream Out(Path);
  Out << Report::burnPage(Result);
  if (!Out.flush())
    throw Common::Error(Common::ResultCode::SystemCallFailed,
                        "cannot write " + Path);
}

int runBurn(int Count, const char **Words) {
  std::string File;
  std::string Page;
  bool OnlyCheck = false;
  const auto Rest =
      Common::CommandLine("zinnia-burn", "--settings FILE")
          .option("settings", "FILE", "Nodes and objectives (INI)", File)
          .option("page", "FILE", "Also write a page with plots", Page)
          .flag("check-settings", "Check the settings and do no more",
                OnlyCheck)
          .parse(Count, Words);
  if (File.empty() || !Rest.empty())
    throw Common::Error(Common::ResultCode::UsageError,
                        "wanted is --settings FILE");
  const Report::BurnSettings Settings = readSettings(File);
  if (OnlyCheck)
    return 0;
  const Report::BurnReport Result = collect(Settings);
  std::printf("%s", Report::burnText(Result).c_str());
  if (!Page.empty())
    writePage(Page, Result);
  return Result.Silent.empty() ? 0 : 1;
}

} // namespace

int main(int Count, const char **Words) {
  return Common::runProgram("zinnia-burn", runBurn, Count, Words);
}
