#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/IniDocument.h"
#include "Config/ObjectSet.h"

namespace Config {

// Builds an object set from files or from objects, and validates it as a whole.
class ObjectSetBuilder {
public:
  ObjectSetBuilder &input(const std::string &File, const std::string &Text);

  // Sets the name that faults report for objects that were not read from a
  // file.
  ObjectSetBuilder &origin(std::string NewOrigin);
  ObjectSetBuilder &add(Service Definition);
  ObjectSetBuilder &add(RetryRule Definition);
  ObjectSetBuilder &add(RequestKind Definition);
  ObjectSetBuilder &add(Route Definition);
  ObjectSetBuilder &add(Tenant Definition);
  ObjectSetBuilder &limits(const CallerLimits &Limits);

  // Returns every fault of the set, ordered by file and line.
  const std::vector<Common::Fault> &faults();
  // Throws an Error with the first fault if there is one. The set is moved out
  // of the builder, so this can be called only once.
  ObjectSetPtr build();

private:
  struct Location {
    std::string File;
    int Line = 0;
  };

  template <class Object>
  ObjectSetBuilder &addTyped(const std::string &Type,
                             std::map<std::string, Object> &Objects,
                             Object Definition);
  void check();
  void parseSection(const Common::IniSection &Section);
  void parseService(const std::string &Name, const Common::IniSection &Section);
  void parseRetryRule(const std::string &Name,
                      const Common::IniSection &Section);
  void parseKind(const std::string &Name, const Common::IniSection &Section);
  void parseRoute(const std::string &Name, const Common::IniSection &Section);
  void parseTenant(const std::string &Name, const Common::IniSection &Section);
  void checkReferences();
  void checkFallbackCycles();
  void checkRouteConflicts();
  void checkSplits();
  void checkTenants();
  // Returns the origin for an object that was not read from a file.
  Location locationOf(const std::string &Object) const;
  void addFault(Common::ResultCode Code, const std::string &Object,
                const std::string &Detail);

  std::vector<Common::IniSection> Sections;
  std::vector<Common::Fault> Faults;
  // Where each object that was read from a file is defined, by heading, such as
  // "route prices".
  std::map<std::string, Location> Locations;
  std::string Origin = "set";
  ObjectSet Result;
  bool Checked = false;
};

} // namespace Config
