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
        add(ResultCode::SettingsUnknownSection, Section, Section.Line,
            "allowed are [nodes] and [objective NAME]");
    }
    if (Result.Nodes.empty())
      Faults.push_back({ResultCode::SettingsMissing, File, 0,
                        "[nodes] admin is missing; allowed are IP:PORT, "
                        "separated by spaces"});
    if (Result.Objectives.empty())
      Faults.push_back({ResultCode::SettingsMissing, File, 0,
                        "no [objective NAME] is given"});
    return Result;
  }

private:
  void readNodes(const Common::IniSection &Section) {
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "admin") {
        std::istringstream Words(Entry.Value);
        for (std::string Word; Words >> Word;)
          Result.Nodes.push_back(Word);
      } else if (Entry.Key == "timeout") {
        readTime(Section, Entry, Result.NodeLimit);
      } else {
        add(ResultCode::SettingsUnknownKey, Section, Entry.Line,
            Entry.Key + "; allowed are admin, timeout");
      }
    }
  }

  void readObjective(const Common::IniSection &Section) {
    Objective Taken;
    Taken.Name = Section.Name.substr(ObjectivePrefix.size());
    for (const Common::IniEntry &Entry : Section.Entries) {
      if (Entry.Key == "service") {
        Taken.Service = Entry.Value;
      } else if (Entry.Key == "kind") {
        Taken.Kind = Entry.Value;
      } else if (Entry.Key == "target-percent") {
        readTarget(Section, Entry, Taken);
      } else if (Entry.Key == "latency") {
        Common::Micros Limit{0};
        readTime(Section, Entry, Limit);
        Taken.LatencyLimit = Limit;
      } else {
        add(ResultCode::SettingsUnknownKey, Section, Entry.Line,
            Entry.Key + "; allowed are service, kind, target-percent, "
                        "latency");
      }
    }
    if (Taken.Service.empty())
      add(ResultCode::SettingsMissing, Section, Section.Line,
          "service is missing");
    Result.Objectives.push_back(std::move(Taken));
  }

  void readTarget(const Common::IniSection &Section,
                  const Common::IniEntry &Entry, Objective &Taken) {
    char *Rest = nullptr;
    const double Percent = std::strtod(Entry.Value.c_str(), &Rest);
    // At 100 there is no budget, and a burn rate would divide by it.
    if (*Rest != '\0' || !(Percent > 0 && Percent < 100))
      add(ResultCode::SettingsOutOfRange, Section, Entry.Line,
          Entry.Key + " = " + Entry.Value +
              "; allowed is a number above 0 and below 100");
    Taken.TargetShare = Percent / 100;
  }

  void readTime(const Common::IniSection &Section,
                const Common::IniEntry &Entry, Common::Micros &Into) {
    const auto Value = Common::parseDuration(Entry.Value);
    if (!Value || Value->count() == 0)
      add(ResultCode::SettingsWrongType, Section, Entry.Line,
          Entry.Key + " = " + Entry.Value + "; allowed is a time with unit");
    else
      Into = *Value;
  }

  void add(ResultCode Code, const Common::IniSection &Section, int Line,
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
