#include "Report/Objective.h"

#include <cstdlib>
#include <sstream>

namespace Report {

using Common::ResultCode;

namespace {

const std::string ObjectivePrefix = "objective ";

class BurnSettingsReader {
public:
  BurnSettingsReader(std::vector<Common::Fault> &Faults) : Faults(Faults) {}

  BurnSettings read(const std::string &File, const std::string &Text) {
    const Common::IniDocument Document = Common::parseIni(File, Text);
    for (const int Line : Document.BadLines)
      Faults.push_back({ResultCode::SettingsSyntax, File, Line,
                        "allowed are [section], key = value and ; comment"});
    for (const Common::IniSection &Section : Document.Sections) {
      if (Section.Name == "nodes")
        readNodes(Section);
      else if (Section.Name.rfind(ObjectivePrefix, 0) == 0)
        readObjective(Section);
      else
        addFault(ResultCode::SettingsUnknownSection, Section, Section.Line,
                 "allowed are [nodes] and [objective NAME]");
    }
    if (Result.Nodes.empty())
      Faults.push_back({ResultCode::SettingsMissing, File, 0,
                        "[nodes] admin is missing; allowed are IP:PORT, "
                        "separated by spaces"});
    if (Result.Objectives.empty())
      Faults.push_back({ResultCode::SettingsMissing, File, 0,
                        "at least one [objective NAME] is required"});
    return Result;
  }

private:
  void readNodes(const Common::IniSection &Section) {
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "admin") {
        std::istringstream Words(Entry.Value);
        for (std::string Address; Words >> Address;)
          Result.Nodes.push_back(Address);
      } else if (Entry.Key == "timeout") {
        readDuration(Section, Entry, Result.NodeTimeout);
      } else {
        addFault(ResultCode::SettingsUnknownKey, Section, Entry.Line,
                 Entry.Key + "; allowed are admin, timeout");
      }
    }
  }

  void readObjective(const Common::IniSection &Section) {
    Objective Parsed;
    Parsed.Name = Section.Name.substr(ObjectivePrefix.size());
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "service") {
        Parsed.Service = Entry.Value;
      } else if (Entry.Key == "kind") {
        Parsed.Kind = Entry.Value;
      } else if (Entry.Key == "target-percent") {
        readTarget(Section, Entry, Parsed);
      } else if (Entry.Key == "latency") {
        Common::Micros Limit{0};
        readDuration(Section, Entry, Limit);
        Parsed.LatencyLimit = Limit;
      } else {
        addFault(ResultCode::SettingsUnknownKey, Section, Entry.Line,
                 Entry.Key + "; allowed are service, kind, target-percent, "
                             "latency");
      }
    }
    if (Parsed.Service.empty())
      addFault(ResultCode::SettingsMissing, Section, Section.Line,
               "service is missing");
    Result.Objectives.push_back(std::move(Parsed));
  }

  void readTarget(const Common::IniSection &Section,
                  const Common::IniEntry &Entry, Objective &Parsed) {
    char *Rest = nullptr;
    const double Percent = std::strtod(Entry.Value.c_str(), &Rest);
    // At 100 the error budget is 0, and the burn rate would divide by it.
    if (*Rest != '\0' || !(Percent > 0 && Percent < 100))
      addFault(ResultCode::SettingsOutOfRange, Section, Entry.Line,
               Entry.Key + " = " + Entry.Value +
                   "; allowed is a number above 0 and below 100");
    Parsed.TargetShare = Percent / 100;
  }

  void readDuration(const Common::IniSection &Section,
                    const Common::IniEntry &Entry, Common::Micros &Duration) {
    const auto Value = Common::parseDuration(Entry.Value);
    if (!Value || Value->count() == 0)
      addFault(ResultCode::SettingsWrongType, Section, Entry.Line,
               Entry.Key + " = " + Entry.Value +
                   "; allowed is a duration with a unit, such as 2s");
    else
      Duration = *Value;
  }

  void addFault(ResultCode Code, const Common::IniSection &Section, int Line,
                const std::string &Detail) {
    Faults.push_back(
        {Code, Section.File, Line, "[" + Section.Name + "] " + Detail});
  }

  std::vector<Common::Fault> &Faults;
  BurnSettings Result;
};

} // namespace

BurnSettings readBurnSettings(const std::string &File, const std::string &Text,
                              std::vector<Common::Fault> &Faults) {
  return BurnSettingsReader(Faults).read(File, Text);
}

} // namespace Report
