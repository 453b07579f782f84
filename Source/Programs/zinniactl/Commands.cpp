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

constexpr Common::Micros MaxWatchWait{5'000'000};

long long toLongLong(Config::Version Value) { return Value; }

std::string codeName(ResultCode Code) {
  return std::string(Common::resultCodeName(Code));
}

Config::Version parseVersion(const std::string &Text) {
  Config::Version Value = 0;
  const auto [Rest, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || Rest != Text.data() + Text.size() || Value < 0)
    throw Error(ResultCode::UsageError, Text + " is not a version number");
  return Value;
}

// Prints the faults of the set. Returns false if there are any.
bool printFaults(Config::ObjectSetBuilder &Builder) {
  for (const Common::Fault &Fault : Builder.faults())
    std::fprintf(stderr, "%s\n", Fault.text().c_str());
  return Builder.faults().empty();
}

// Loads the set from the files; null if it has faults.
Config::ObjectSetPtr loadSet(const Arguments &Paths) {
  Config::ObjectSetBuilder Builder;
  Operator::addFiles(Builder, Paths);
  return printFaults(Builder) ? Builder.build() : nullptr;
}

void printObjects(char Mark, const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    std::printf("%c %s\n", Mark, Name.c_str());
}

void printDifference(const Config::SetDifference &Difference) {
  printObjects('+', Difference.Added);
  printObjects('-', Difference.Removed);
  printObjects('~', Difference.Changed);
}

// Waits until the nodes have the version in force and returns the exit code.
// Prints the nodes that lag and throws ConvergenceTimeout.
int waitForConvergence(const CommandOptions &Options,
                       Operator::SyncHttp &Transport, Config::Version Version) {
  const auto Lagging =
      Operator::waitForNodes(Transport, Options.Nodes, Version, Options.Limit);
  if (Lagging.empty()) {
    std::printf("in force on %zu nodes\n", Options.Nodes.size());
    return 0;
  }
  for (const Operator::LaggingNode &Entry : Lagging)
    std::fprintf(stderr, "node %s lags: %s\n", Entry.Node.c_str(),
                 Entry.Version
                     ? ("version " + std::to_string(*Entry.Version)).c_str()
                     : "604 NodeUnreachable");
  throw Error(ResultCode::ConvergenceTimeout,
              std::to_string(Lagging.size()) + " of " +
                  std::to_string(Options.Nodes.size()) +
                  " nodes do not have the version in force");
}

void printRefusal(const Operator::Publication &Publication) {
  const Config::RecordResult &Outcome = Publication.Outcome;
  std::fprintf(stderr, "refused: %d %s: %s\n",
               Common::resultCodeNumber(Outcome.Code),
               codeName(Outcome.Code).c_str(), Outcome.Detail.c_str());
  if (Outcome.Code != ResultCode::PublishRaceLost)
    return;
  std::fprintf(stderr, "winner: version %lld\n", toLongLong(Outcome.Winner));
  if (Publication.Conflicts.empty())
    std::fprintf(stderr, "no object was changed by both sets\n");
  for (const std::string &Conflict : Publication.Conflicts)
    std::fprintf(stderr, "conflict: %s\n", Conflict.c_str());
}

int publishText(const CommandOptions &Options, Operator::SyncHttp &Transport,
                Operator::Publisher &Publisher, const std::string &SetText) {
  std::optional<Config::Version> Base;
  if (!Options.Base.empty())
    Base = parseVersion(Options.Base);
  const Operator::Publication Result =
      Publisher.publish(SetText, Options.Author, Options.Note, Base);
  if (!Result.Outcome.isAccepted()) {
    printRefusal(Result);
    return 1;
  }
  std::printf("accepted: version %lld\n", toLongLong(Result.Outcome.Offset));
  std::fflush(stdout);
  return Options.Wait
             ? waitForConvergence(Options, Transport, Result.Outcome.Offset)
             : 0;
}

void printRecord(const Config::RecordResult &Outcome) {
  std::printf(
      "record %lld: %d %s, by %s, base %lld", toLongLong(Outcome.Offset),
      Common::resultCodeNumber(Outcome.Code), codeName(Outcome.Code).c_str(),
      Outcome.Author.c_str(), toLongLong(Outcome.Base));
  if (!Outcome.Note.empty())
    std::printf(", note: %s", Outcome.Note.c_str());
  if (!Outcome.Detail.empty())
    std::printf(", %s", Outcome.Detail.c_str());
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace

int checkSet(const Arguments &Paths) {
  const Config::ObjectSetPtr Set = loadSet(Paths);
  if (!Set)
    return 1;
  std::printf("valid: %zu services, %zu routes, %zu kinds, %zu retry rules\n",
              Set->services().size(), Set->routes().size(), Set->kinds().size(),
              Set->retryRules().size());
  return 0;
}

int publishSet(const CommandOptions &Options, const Arguments &Paths) {
  const Config::ObjectSetPtr Set = loadSet(Paths);
  if (!Set)
    return 1;
  Operator::SyncHttp Transport;
  Operator::Publisher Publisher(Transport, Options.Log);
  return publishText(Options, Transport, Publisher, Set->canonicalText());
}

int rollBack(const CommandOptions &Options, const std::string &Version) {
  Operator::SyncHttp Transport;
  Operator::Publisher Publisher(Transport, Options.Log);
  Publisher.history().catchUp();
  CommandOptions RollbackOptions = Options;
  if (RollbackOptions.Note.empty())
    RollbackOptions.Note = "rollback to version " + Version;
  const std::string Text = Publisher.history().textOf(parseVersion(Version));
  return publishText(RollbackOptions, Transport, Publisher, Text);
}

int showDifference(const CommandOptions &Options, const Arguments &Paths) {
  const Config::ObjectSetPtr Set = loadSet(Paths);
  if (!Set)
    return 1;
  Operator::SyncHttp Transport;
  Operator::HistoryReader Reader(Transport, Options.Log);
  Reader.catchUp();
  const Config::Version Base = Options.Base.empty()
                                   ? Reader.history().current().SetVersion
                                   : parseVersion(Options.Base);
  std::printf("compared with version %lld\n", toLongLong(Base));
  printDifference(
      Config::compareSets(Reader.textOf(Base), Set->canonicalText()));
  return 0;
}

int explainRecord(const CommandOptions &Options, const std::string &Offset) {
  Operator::SyncHttp Transport;
  Operator::HistoryReader Reader(Transport, Options.Log);
  Reader.catchUp();
  const auto Found = Reader.records().find(parseVersion(Offset));
  if (Found == Reader.records().end())
    throw Error(ResultCode::VersionUnknown, "the log has no record " + Offset +
                                                ", or the record has expired");
  const Config::RecordResult &Outcome = Found->second.Outcome;
  printRecord(Outcome);
  std::printf("id: %s\n", Outcome.RecordId.c_str());
  if (Outcome.Winner != 0)
    std::printf("winner: version %lld\n", toLongLong(Outcome.Winner));
  if (Reader.hasTextOf(Outcome.Base))
    printDifference(Config::compareSets(Reader.textOf(Outcome.Base),
                                        Found->second.SetText));
  else
    std::printf("changes unknown: base version %lld has expired\n",
                toLongLong(Outcome.Base));
  return 0;
}

int watchRecords(const CommandOptions &Options) {
  Operator::SyncHttp Transport;
  Operator::HistoryReader Reader(Transport, Options.Log);
  Reader.catchUp();
  const auto Deadline = std::chrono::steady_clock::now() + Options.Limit;
  Config::Version LastShown = Reader.history().lastOffset();
  std::printf("version %lld is in force\n",
              toLongLong(Reader.history().current().SetVersion));
  std::fflush(stdout);
  while (std::chrono::steady_clock::now() < Deadline) {
    const auto Remaining = std::chrono::duration_cast<Common::Micros>(
        Deadline - std::chrono::steady_clock::now());
    Reader.readMore(std::min(MaxWatchWait, Remaining));
    for (auto Entry = Reader.records().upper_bound(LastShown);
         Entry != Reader.records().end(); ++Entry)
      printRecord(Entry->second.Outcome);
    LastShown = Reader.history().lastOffset();
  }
  return 0;
}

int showStatus(const CommandOptions &Options) {
  Operator::SyncHttp Transport;
  bool AllAnswered = true;
  for (const std::string &Node : Options.Nodes) {
    Http::ClientRequest Request;
    Request.Url = "http://" + Node + "/v1/status";
    const Http::ClientResult Result = Transport.send(std::move(Request));
    std::printf("; %s\n%s", Node.c_str(),
                Result.Answered ? Result.Reply.Body.c_str()
                                : "; 604 NodeUnreachable\n");
    AllAnswered = AllAnswered && Result.Answered;
  }
  return AllAnswered ? 0 : 1;
}

} // namespace Control
