#include "Common/IniDocument.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <ini.h>

#include "Common/Error.h"

namespace Common {

namespace {

struct ParseState {
  std::istringstream Input;
  std::string File;
  IniDocument Document;
  int Line = 0;
};

// The line reader of inih. It also counts lines and records section headers,
// because inih passes no line numbers and does not report empty sections.
char *readLine(char *Buffer, int Size, void *Stream) {
  auto &State = *static_cast<ParseState *>(Stream);
  std::string Text;
  if (!std::getline(State.Input, Text))
    return nullptr;
  ++State.Line;

  const bool TooLong = Text.size() + 2 > static_cast<std::size_t>(Size);
  const bool IsContinuation =
      !Text.empty() && (Text[0] == ' ' || Text[0] == '\t') &&
      Text.find_first_not_of(" \t\r") != std::string::npos;
  if (TooLong || IsContinuation || Text.find('\0') != std::string::npos) {
    State.Document.BadLines.push_back(State.Line);
    Text.clear();
  }

  const std::size_t Close = Text.find(']');
  if (!Text.empty() && Text[0] == '[' && Close != std::string::npos) {
    IniSection Section;
    Section.Name = Text.substr(1, Close - 1);
    Section.File = State.File;
    Section.Line = State.Line;
    State.Document.Sections.push_back(std::move(Section));
  }
  Text += '\n';
  std::copy(Text.begin(), Text.end(), Buffer);
  Buffer[Text.size()] = '\0';
  return Buffer;
}

int addEntry(void *User, const char *Section, const char *Key,
             const char *Value) {
  auto &State = *static_cast<ParseState *>(User);
  (void)Section;
  if (State.Document.Sections.empty()) {
    State.Document.BadLines.push_back(State.Line);
    return 1;
  }
  State.Document.Sections.back().Entries.push_back({Key, Value, State.Line});
  return 1;
}

} // namespace

std::string Fault::text() const {
  return File + ":" + std::to_string(Line) + ": " +
         std::to_string(resultCodeNumber(Code)) + " " +
         std::string(resultCodeName(Code)) + ": " + Detail;
}

IniDocument parseIni(const std::string &File, const std::string &Text) {
  ParseState State;
  State.Input.str(Text);
  State.File = File;
  const int FirstBadLine = ini_parse_stream(readLine, &State, addEntry, &State);
  std::vector<int> &BadLines = State.Document.BadLines;
  if (FirstBadLine > 0)
    BadLines.push_back(FirstBadLine);
  std::sort(BadLines.begin(), BadLines.end());
  BadLines.erase(std::unique(BadLines.begin(), BadLines.end()), BadLines.end());
  return std::move(State.Document);
}

std::string readFile(const std::string &Path) {
  std::ifstream Input(Path, std::ios::binary);
  if (!Input)
    throw Error(ResultCode::SettingsUnreadable, "cannot open " + Path);
  std::ostringstream Content;
  Content << Input.rdbuf();
  if (Input.bad() || Content.fail())
    throw Error(ResultCode::SettingsUnreadable, "cannot read " + Path);
  return Content.str();
}

} // namespace Common
