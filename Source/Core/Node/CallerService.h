#pragma once

#include <string>

#include "Common/Time.h"

namespace Node {

// Decides in the name of which service the callers on this VM make their calls.
class CallerService {
public:
  CallerService() = default;
  // The settings stated this service when they were read at the start.
  CallerService(std::string Stated, Common::WallTime StatedAt);

  // The settings were read again.
  void handleSetting(const std::string &Service, Common::WallTime ReadAt);

  // A server of this VM was announced. One that started after the settings were
  // read is newer than what they state. The announcement of an earlier server
  // may arrive late.
  void handleAnnouncement(const std::string &Service,
                          Common::WallTime ServerStart);

  const std::string &current() const { return Current; }

private:
  std::string Current;
  // The service that the settings state, and since when that is known.
  std::string Stated;
  Common::WallTime StatedAt;
};

} // namespace Node
