#include "Common/Settings.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <sstream>

#include "Common/Error.h"

namespace Common {

namespace {

std::string joinedKey(const std::string &Section, const std::string &Key) {
  return Section + "." + Key;
}

std::optional<std::int64_t> parseInteger(const std::string &Text) {
  std::int64_t Integer = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Integer);
  if (Failure != std::errc() || Rest != End)
    return std::nullopt;
  return Integer;
}

std::optional<ResultCode> checkValue(const SettingRule &Rule,
                                     const std::string &Value) {
  if (Rule.Type == SettingType::Text)
    return std::nullopt;
  if (Rule.Type == SettingType::Flag) {
    if (Value == "yes" || Value == "no")
      return std::nullopt;
    return ResultCode::SettingsWrongType;
  }
  std::optional<std::int64_t> Integer;
  if (Rule.Type == SettingType::Integer)
    Integer = parseInteger(Value);
  else if (const std::optional<Micros> Time = parseDuration(Value))
    Integer = Time->count();
  if (!Integer)
    return ResultCode::SettingsWrongType;
  if (*Integer < Rule.Min || *Integer > Rule.Max)
    return ResultCode::SettingsOutOfRange;
  return std::nullopt;
}

} // namespace

std::string describeAllowed(const SettingRule &Rule) {
  switch (Rule.Type) {
  case SettingType::Text:
    return "text";
  case SettingType::Flag:
    return "yes or no";
  case SettingType::Integer:
    return "a whole number from " + std::to_string(Rule.Min) + " to " +
           std::to_string(Rule.Max);
  case SettingType::Time:
    return "a time with unit (us, ms, s, m, h, d) from " +
           formatDuration(Micros(Rule.Min)) + " to " +
           formatDuration(Micros(Rule.Max));
  }
  return "";
}

const std::string &Settings::text(const std::string &Section,
                                  const std::string &Key) const {
  const auto Found = Values.find(joinedKey(Section, Key));
  if (Found == Values.end())
    throw Error(ResultCode::SettingsUnknownKey, joinedKey(Section, Key));
  return Found->second;
}

std::int64_t Settings::integer(const std::string &Section,
                               const std::string &Key) const {
  return parseInteger(text(Section, Key)).value();
}

Micros Settings::time(const std::string &Section,
                      const std::string &Key) const {
  return parseDuration(text(Section, Key)).value();
}

bool Settings::flag(const std::string &Section, const std::string &Key) const {
  return text(Section, Key) == "yes";
}

SettingsBuilder &SettingsBuilder::rule(SettingRule Rule) {
  Rules.push_back(std::move(Rule));
  return *this;
}

SettingsBuilder &
SettingsBuilder::rules(const std::vector<SettingRule> &MoreRules) {
  Rules.insert(Rules.end(), MoreRules.begin(), MoreRules.end());
  return *this;
}

SettingsBuilder &SettingsBuilder::input(const std::string &File,
                                        const std::string &Text) {
  IniDocument Document = parseIni(File, Text);
  LastFile = File;
  for (const int Line : Document.BadLines)
    Faults.push_back({ResultCode::SettingsSyntax, File, Line,
                      "allowed are [section], key = value and ; comment"});
  for (IniSection &Section : Document.Sections)
    Sections.push_back(std::move(Section));
  return *this;
}

const SettingRule *SettingsBuilder::findRule(const std::string &Section,
                                             const std::string &Key) const {
  for (const SettingRule &Rule : Rules)
    if (Rule.Section == Section && Rule.Key == Key)
      return &Rule;
  return nullptr;
}

void SettingsBuilder::checkEntry(const IniSection &Section,
                                 const IniEntry &Entry) {
  const SettingRule *Rule = findRule(Section.Name, Entry.Key);
  if (!Rule) {
    std::string Allowed;
    for (const SettingRule &Known : Rules)
      if (Known.Section == Section.Name)
        Allowed += (Allowed.empty() ? "" : ", ") + Known.Key;
    Faults.push_back({ResultCode::SettingsUnknownKey, Section.File, Entry.Line,
                      "[" + Section.Name + "] " + Entry.Key +
                          " is unknown; allowed are " + Allowed});
    return;
  }
  // Added before the value is checked, so that the key of an invalid value is
  // not reported as missing too.
  const auto Insertion =
      Result.Values.emplace(joinedKey(Section.Name, Entry.Key), Entry.Value);
  if (const auto Code = checkValue(*Rule, Entry.Value)) {
    Faults.push_back({*Code, Section.File, Entry.Line,
                      "[" + Section.Name + "] " + Entry.Key + " = " +
                          Entry.Value + "; allowed is " +
                          describeAllowed(*Rule)});
    return;
  }
  if (!Insertion.second)
    Faults.push_back(
        {ResultCode::SettingsDuplicate, Section.File, Entry.Line,
         "[" + Section.Name + "] " + Entry.Key + " is given more than once"});
}

void SettingsBuilder::check() {
  if (Checked)
    return;
  Checked = true;
  for (const IniSection &Section : Sections) {
    const bool Known =
        std::any_of(Rules.begin(), Rules.end(), [&](const SettingRule &Rule) {
          return Rule.Section == Section.Name;
        });
    if (!Known) {
      Faults.push_back({ResultCode::SettingsUnknownSection, Section.File,
                        Section.Line, "[" + Section.Name + "] is unknown"});
      continue;
    }
    for (const IniEntry &Entry : Section.Entries)
      checkEntry(Section, Entry);
  }
  for (const SettingRule &Rule : Rules) {
    if (Rule.Default)
      Result.Values.emplace(joinedKey(Rule.Section, Rule.Key), *Rule.Default);
    else if (!Result.Values.contains(joinedKey(Rule.Section, Rule.Key)))
      Faults.push_back({ResultCode::SettingsMissing, LastFile, 0,
                        "[" + Rule.Section + "] " + Rule.Key +
                            " is missing; allowed is " +
                            describeAllowed(Rule)});
  }
}

SettingsBuilder &SettingsBuilder::input(const SettingsText &Further) {
  std::string Ini;
  std::istringstream Parts(Further.Entries);
  for (std::string Entry; std::getline(Parts, Entry, ',');) {
    const std::size_t Dot = Entry.find('.');
    if (Dot == std::string::npos)
      Ini += Entry + "\n";
    else if (Entry.back() != '=')
      Ini += "[" + Entry.substr(0, Dot) + "]\n" + Entry.substr(Dot + 1) + "\n";
  }
  return input(Further.Origin, Ini);
}

const std::vector<Fault> &SettingsBuilder::faults() {
  check();
  return Faults;
}

Settings SettingsBuilder::build() {
  check();
  if (!Faults.empty())
    throw Error(Faults.front().Code, Faults.front().text());
  return Result;
}

Settings readSettingsFile(const std::vector<SettingRule> &Rules,
                          const std::string &File,
                          const SettingsText &Further) {
  SettingsBuilder Builder;
  Builder.rules(Rules).input(File, readFile(File));
  if (!Further.Entries.empty())
    Builder.input(Further);
  for (const Fault &Found : Builder.faults())
    std::fprintf(stderr, "%s\n", Found.text().c_str());
  return Builder.build();
}

} // namespace Common
