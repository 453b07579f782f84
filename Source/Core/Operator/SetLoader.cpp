#include "Operator/SetLoader.h"

#include <algorithm>
#include <filesystem>

#include "Common/IniDocument.h"

namespace Operator {

void addFiles(Config::ObjectSetBuilder &Builder,
              const std::vector<std::string> &Paths) {
  std::vector<std::string> Files;
  for (const std::string &Path : Paths) {
    if (!std::filesystem::is_directory(Path)) {
      Files.push_back(Path);
      continue;
    }
    for (const auto &Entry : std::filesystem::directory_iterator(Path))
      if (Entry.path().extension() == ".ini")
        Files.push_back(Entry.path().string());
  }
  // The directory order is unspecified. Sorting makes the order of the reported
  // faults deterministic.
  std::sort(Files.begin(), Files.end());
  for (const std::string &File : Files)
    Builder.input(File, Common::readFile(File));
}

} // namespace Operator
