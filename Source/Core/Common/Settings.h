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

// Describes one key that a program accepts in its settings.
struct SettingRule {
  std::string Section;
  std::string Key;
  SettingType Type = SettingType::Text;
  // Empty means that the key must be given.
  std::optional<std::string> Default;
  // Bounds of an Integer, or of a Time in microseconds.
  std::int64_t Least = 0;
  std::int64_t Most = INT64_MAX;
  std::string Help;
};

// The checked settings of a program. Only keys with a rule can be read.
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

// Collects rules and input and checks all of it before anything is built.
class SettingsBuilder {
public:
  SettingsBuilder &rule(SettingRule Rule);
  SettingsBuilder &rules(const std::vector<SettingRule> &Rules);
  // Adds a file's text; a later one may not repeat a key.
  SettingsBuilder &input(const std::string &File, const std::string &Text);

  // Every fault of the input, in order.
  const std::vector<Fault> &faults();
  // Throws an Error with the first fault if there is one.
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

// Reads a file by the rules. Writes every fault of it to standard error, and
// throws the first one.
Settings readSettingsFile(const std::vector<SettingRule> &Rules,
                          const std::string &File);

// What a rule allows, for messages and docs.
std::string describeAllowed(const SettingRule &Rule);

} // namespace Common
