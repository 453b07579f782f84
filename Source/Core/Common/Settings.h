#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/IniDocument.h"
#include "Common/Time.h"

namespace Common {

enum class SettingType { Text, Integer, Time, Flag };

// Describes a key that a program accepts in its settings.
struct SettingRule {
  std::string Section;
  std::string Key;
  SettingType Type = SettingType::Text;
  // A key without a default is required.
  std::optional<std::string> Default;
  // Range of an Integer, or of a Time in microseconds.
  std::int64_t Min = 0;
  std::int64_t Max = INT64_MAX;
  std::string Help;
};

// The validated settings of a program. Only keys with a rule can be read.
class Settings {
public:
  const std::string &text(const std::string &Section,
                          const std::string &Key) const;
  std::int64_t integer(const std::string &Section,
                       const std::string &Key) const;
  Micros time(const std::string &Section, const std::string &Key) const;
  bool flag(const std::string &Section, const std::string &Key) const;

private:
  friend class SettingsBuilder;
  std::map<std::string, std::string> Values;
};

// Further settings, as "section.key=value" entries separated by commas. Entries
// without a value are left out, so that their defaults apply.
struct SettingsText {
  // Where they come from, for faults.
  std::string Origin;
  std::string Entries;
};

// Collects rules and input, and validates all input before it builds Settings.
class SettingsBuilder {
public:
  SettingsBuilder &rule(SettingRule Rule);
  SettingsBuilder &rules(const std::vector<SettingRule> &Rules);
  // Adds the text of a file. A key may occur only once in all files.
  SettingsBuilder &input(const std::string &File, const std::string &Text);
  SettingsBuilder &input(const SettingsText &Further);

  // Returns all faults of the input.
  const std::vector<Fault> &faults();
  // Throws an Error for the first fault, if any.
  Settings build();

private:
  void check();
  void checkEntry(const IniSection &Section, const IniEntry &Entry);
  const SettingRule *findRule(const std::string &Section,
                              const std::string &Key) const;

  std::vector<SettingRule> Rules;
  std::vector<IniSection> Sections;
  std::vector<Fault> Faults;
  std::string LastFile = "settings";
  Settings Result;
  bool Checked = false;
};

// Reads a settings file and further settings. Prints all faults to standard
// error and throws an Error for the first one.
Settings readSettingsFile(const std::vector<SettingRule> &Rules,
                          const std::string &File,
                          const SettingsText &Further = {});

// Describes the values that a rule allows, for error messages and docs.
std::string describeAllowed(const SettingRule &Rule);

} // namespace Common
