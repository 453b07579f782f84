#include "Operator/SetLoader.h"

#include <algorithm>
#include <filesystem>

#include "Common/IniDocument.h"

namespace Operator {

void loadInto(Config::ObjectSetBuilder &Builder,
              const std::vector<std::string> &Paths) {
  std::vector<std::string> Files;
  for (const std::string &Path : Paths) {
    if (!std::filesystem::is_directory(Path)) {
      Files.push_back(Path);
      continue;
    }
    for (const auto &Each : std::filesystem::directory_iterator(Path))
      if (Each.path().extension() == ".ini")
        Files.push_back(Each.path().string());
  }
  // A folder lists its files in any order; faults must not depend on it.
  std::sort(Files.begin(), Files.end());
  for (const std::string &File : Files)
    Builder.input(File, Common::readFile(File));
}

} // namespace Operator
