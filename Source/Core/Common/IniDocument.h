#pragma once

#include <string>
#include <vector>

#include "Common/ResultCode.h"

namespace Common {

// An error in an input file and its location.
struct Fault {
  ResultCode Code;
  std::string File;
  int Line = 0;
  std::string Detail;

  // Returns "FILE:LINE: NUMBER NAME: DETAIL".
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

// The sections of an INI file in their order, with line numbers.
struct IniDocument {
  std::vector<IniSection> Sections;
  // The numbers of the lines that are not valid INI.
  std::vector<int> BadLines;
};

IniDocument parseIni(const std::string &File, const std::string &Text);

// Returns the content of a file. Throws SettingsUnreadable.
std::string readFile(const std::string &Path);

} // namespace Common
