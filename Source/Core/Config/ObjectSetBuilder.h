#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/IniDocument.h"
#include "Config/ObjectSet.h"

namespace Config {

// Reads objects from files and checks the whole set together.
class ObjectSetBuilder {
public:
  ObjectSetBuilder &input(const std::string &File, const std::string &Text);

  // Objects that were read from another form; Origin names it in faults.
  ObjectSetBuilder &origin(std::string Origin);
  ObjectSetBuilder &add(Service Given);
  ObjectSetBuilder &add(RetryRule Given);
  ObjectSetBuilder &add(RequestKind Given);
  ObjectSetBuilder &add(Route Given);
  ObjectSetBuilder &limits(const CallerLimits &Given);

  // Every fault of the set, ordered by file and line.
  const std::vector<Common::Fault> &faults();
  // Throws an Error with the first fault if there is one. The set is handed
  // over, so a builder builds once.
  ObjectSetPtr build();

private:
  struct Place {
    std::string File;
    int Line = 0;
  };

  template <class Object>
  ObjectSetBuilder &addTyped(const std::string &Type,
                             std::map<std::string, Object> &Among,
                             Object Given);
  void check();
  void takeSection(const Common::IniSection &Section);
  void takeService(const std::string &Name, const Common::IniSection &Section);
  void takeRetryRule(const std::string &Name,
                     const Common::IniSection &Section);
  void takeKind(const std::string &Name, const Common::IniSection &Section);
  void takeRoute(const std::string &Name, const Common::IniSection &Section);
  void checkReferences();
  void checkFallbackCycles();
  void checkRouteConflicts();
  void checkSplits();
  // Of an object that came in no file, the origin.
  Place placeOf(const std::string &Object) const;
  void addFault(Common::ResultCode Code, const std::string &Object,
                const std::string &Detail);

  std::vector<Common::IniSection> Sections;
  std::vector<Common::Fault> Faults;
  // Where each object that came in a file, such as "route prices", was defined.
  std::map<std::string, Place> Places;
  std::string Origin = "set";
  ObjectSet Result;
  bool Checked = false;
};

} // namespace Config
