#pragma once

#include <string>
#include <vector>

#include "Common/ResultCode.h"

namespace Common {

// A fault found in an input file, with its place.
struct Fault {
  ResultCode Code;
  std::string File;
  int Line = 0;
  std::string Detail;

  std::string text() const;
};

struct IniEntry {
  std::string Key;
  std::string Value;
  int Line = 0;
};

struct IniSection {
  std::string Name;
  std::string File;
  int Line = 0;
  std::vector<IniEntry> Entries;
};

// The sections of an INI file in order, each with its line numbers.
struct IniDocument {
  std::vector<IniSection> Sections;
  // Lines that are no INI, as line numbers.
  std::vector<int> BadLines;
};

IniDocument parseIni(const std::string &File, const std::string &Text);

// Reads a whole file; throws SettingsUnreadable.
std::string readFile(const std::string &Path);

} // namespace Common
