#include "Node/CallerService.h"

#include <utility>

namespace Node {

CallerService::CallerService(std::string Stated, Common::WallTime StatedAt)
    : Current(Stated), Stated(std::move(Stated)), StatedAt(StatedAt) {}

void CallerService::handleSetting(const std::string &Service,
                                  Common::WallTime ReadAt) {
  if (Service == Stated)
    return;
  Stated = Service;
  StatedAt = ReadAt;
  Current = Service;
}

void CallerService::handleAnnouncement(const std::string &Service,
                                       Common::WallTime ServerStart) {
  if (ServerStart > StatedAt)
    Current = Service;
}

} // namespace Node
