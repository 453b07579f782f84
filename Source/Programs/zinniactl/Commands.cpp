#include "Commands.h"

#include <charconv>
#include <cstdio>
#include <optional>

#include "Common/Error.h"
#include "Config/SetDelta.h"
#include "Operator/Convergence.h"
#include "Operator/Publisher.h"
#include "Operator/SetLoader.h"

namespace Control {

namespace {

using Common::Error;
using Common::ResultCode;

constexpr Common::Micros WatchWait{5'000'000};

long long number(Config::Version Value) { return Value; }

std::string nameOf(ResultCode Code) {
  return std::string(Common::resultCodeName(Code));
}

Config::Version parseVersion(const std::string &Text) {
  Config::Version Value = 0;
  const auto [Rest, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || Rest != Text.data() + Text.size() || Value < 0)
    throw Error(ResultCode::UsageError, Text + " is no version");
  return Value;
}

// Prints every fault of the set; false when there is one.
bool reportFaults(Config::ObjectSetBuilder &Builder) {
  for (const Common::Fault &Each : Builder.faults())
    std::fprintf(stderr, "%s\n", Each.text().c_str());
  return Builder.faults().empty();
}

// The checked set of the files, or null when it has faults.
Config::ObjectSetPtr loadSet(const Arguments &Paths) {
  Config::ObjectSetBuilder Builder;
  Operator::loadInto(Builder, Paths);
  return reportFaults(Builder) ? Builder.build() : nullptr;
}

void printObjects(char Mark, const std::vector<std::string> &Names) {
  for (const std::string &Each : Names)
    std::printf("%c %s\n", Mark, Each.c_str());
}

void printDifference(const Config::SetDifference &Found) {
  printObjects('+', Found.Added);
  printObjects('-', Found.Removed);
  printObjects('~', Found.Changed);
}

// Which nodes are late; the exit code.
int waitForAll(const Options &Given, Operator::SyncHttp &Transport,
               Config::Version Number) {
  const auto Lagging =
      Operator::waitForNodes(Transport, Given.Nodes, Number, Given.Limit);
  if (Lagging.empty()) {
    std::printf("in force on %zu nodes\n", Given.Nodes.size());
    return 0;
  }
  for (const Operator::Laggard &Each : Lagging)
    std::fprintf(stderr, "%s lags: %s\n", Each.Node.c_str(),
                 Each.Held ? ("version " + std::to_string(*Each.Held)).c_str()
                           : "604 NodeUnreachable");
  throw Error(ResultCode::ConvergenceTimeout,
              std::to_string(Lagging.size()) + " of " +
                  std::to_string(Given.Nodes.size()) + " nodes lag");
}

void reportRefusal(const Operator::Publication &Refused) {
  const Config::RecordResult &Judged = Refused.Judged;
  std::fprintf(stderr, "refused: %d %s: %s\n",
               Common::resultCodeNumber(Judged.Code),
               nameOf(Judged.Code).c_str(), Judged.Detail.c_str());
  if (Judged.Code != ResultCode::PublishRaceLost)
    return;
  std::fprintf(stderr, "winner: version %lld\n", number(Judged.Winner));
  if (Refused.Conflicts.empty())
    std::fprintf(stderr, "no object was changed by both\n");
  for (const std::string &Each : Refused.Conflicts)
    std::fprintf(stderr, "conflict: %s\n", Each.c_str());
}

int publishText(const Options &Given, Operator::SyncHttp &Transport,
                Operator::Publisher &Publishing, const std::string &SetText) {
  std::optional<Config::Version> Base;
  if (!Given.Base.empty())
    Base = parseVersion(Given.Base);
  const Operator::Publication Result =
      Publishing.publish(SetText, Given.Author, Given.Note, Base);
  if (!Result.Judged.isAccepted()) {
    reportRefusal(Result);
    return 1;
  }
  std::printf("accepted: version %lld\n", number(Result.Judged.Offset));
  std::fflush(stdout);
  return Given.Wait ? waitForAll(Given, Transport, Result.Judged.Offset) : 0;
}

void printRecord(const Config::RecordResult &Judged) {
  std::printf("record %lld: %d %s, by %s, base %lld", number(Judged.Offset),
              Common::resultCodeNumber(Judged.Code),
              nameOf(Judged.Code).c_str(), Judged.Author.c_str(),
              number(Judged.Base));
  if (!Judged.Note.empty())
    std::printf(", note: %s", Judged.Note.c_str());
  if (!Judged.Detail.empty())
    std::printf(", %s", Judged.Detail.c_str());
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace

int checkSet(const Arguments &Paths) {
  const Config::ObjectSetPtr Set = loadSet(Paths);
  if (!Set)
    return 1;
  std::printf("sound: %zu services, %zu routes, %zu kinds, %zu retry rules\n",
              Set->services().size(), Set->routes().size(), Set->kinds().size(),
              Set->retryRules().size());
  return 0;
}

int publishSet(const Options &Given, const Arguments &Paths) {
  const Config::ObjectSetPtr Set = loadSet(Paths);
  if (!Set)
    return 1;
  Operator::SyncHttp Transport;
  Operator::Publisher Publishing(Transport, Given.Log);
  return publishText(Given, Transport, Publishing, Set->canonicalText());
}

int rollBack(const Options &Given, const std::string &Version) {
  Operator::SyncHttp Transport;
  Operator::Publisher Publishing(Transport, Given.Log);
  Publishing.history().catchUp();
  Options Noted = Given;
  if (Noted.Note.empty())
    Noted.Note = "rollback to version " + Version;
  const std::string Text = Publishing.history().textOf(parseVersion(Version));
  return publishText(Noted, Transport, Publishing, Text);
}

int showDifference(const Options &Given, const Arguments &Paths) {
  const Config::ObjectSetPtr Set = loadSet(Paths);
  if (!Set)
    return 1;
  Operator::SyncHttp Transport;
  Operator::HistoryReader Reader(Transport, Given.Log);
  Reader.catchUp();
  const Config::Version Base = Given.Base.empty()
                                   ? Reader.history().current().SetVersion
                                   : parseVersion(Given.Base);
  std::printf("against version %lld\n", number(Base));
  printDifference(
      Config::compareSets(Reader.textOf(Base), Set->canonicalText()));
  return 0;
}

int explainRecord(const Options &Given, const std::string &Offset) {
  Operator::SyncHttp Transport;
  Operator::HistoryReader Reader(Transport, Given.Log);
  Reader.catchUp();
  const auto Found = Reader.records().find(parseVersion(Offset));
  if (Found == Reader.records().end())
    throw Error(ResultCode::VersionUnknown,
                "the log has no record " + Offset + " or no longer keeps it");
  const Config::RecordResult &Judged = Found->second.Judged;
  printRecord(Judged);
  std::printf("id: %s\n", Judged.RecordId.c_str());
  if (Judged.Winner != 0)
    std::printf("winner: version %lld\n", number(Judged.Winner));
  if (Reader.knows(Judged.Base))
    printDifference(
        Config::compareSets(Reader.textOf(Judged.Base), Found->second.SetText));
  else
    std::printf("what it changed is not known: base %lld has expired\n",
                number(Judged.Base));
  return 0;
}

int watchRecords(const Options &Given) {
  Operator::SyncHttp Transport;
  Operator::HistoryReader Reader(Transport, Given.Log);
  Reader.catchUp();
  const auto End = std::chrono::steady_clock::now() + Given.Limit;
  Config::Version Shown = Reader.history().lastOffset();
  std::printf("version %lld is in force\n",
              number(Reader.history().current().SetVersion));
  std::fflush(stdout);
  while (std::chrono::steady_clock::now() < End) {
    const auto Left = std::chrono::duration_cast<Common::Micros>(
        End - std::chrono::steady_clock::now());
    Reader.readMore(std::min(WatchWait, Left));
    for (auto Each = Reader.records().upper_bound(Shown);
         Each != Reader.records().end(); ++Each)
      printRecord(Each->second.Judged);
    Shown = Reader.history().lastOffset();
  }
  return 0;
}

int showStatus(const Options &Given) {
  Operator::SyncHttp Transport;
  bool AllAnswered = true;
  for (const std::string &Node : Given.Nodes) {
    Http::ClientRequest Asked;
    Asked.Url = "http://" + Node + "/v1/status";
    const Http::ClientResult Result = Transport.send(std::move(Asked));
    std::printf("; %s\n%s", Node.c_str(),
                Result.Answered ? Result.Reply.Body.c_str()
                                : "; 604 NodeUnreachable\n");
    AllAnswered = AllAnswered && Result.Answered;
  }
  return AllAnswered ? 0 : 1;
}

} // namespace Control
