#pragma once

#include <map>
#include <string>
#include <vector>

#include "Routing/ServerView.h"
#include "Routing/VersionPolicy.h"

namespace Routing {

// The servers of one service that is being moved, divided by their versions.
class DividedServers {
public:
  DividedServers(const std::vector<ServerEntry> &Servers,
                 const std::string &Service, const VersionSplit &Split);

  // The lists in which to look for a server for the next attempt, in this
  // order. An attempt that is due for the target version may go to others, but
  // not the other way round, since that would exceed the share.
  std::vector<const std::vector<ServerEntry> *> candidates();
  void onChosen(const ServerEntry &Server);
  // Keeps the credit of an earlier division.
  void resume(const DividedServers &Earlier) { Credit = Earlier.Credit; }

  const VersionSplit &split() const { return Split; }

private:
  bool isTargetDue();

  VersionSplit Split;
  // The part of an attempt to the target version that is due.
  double Credit = 0;
  std::vector<ServerEntry> Target;
  // Never empty as long as the service has servers: if all of them run the
  // target version, they are all here, as no call is refused for a version.
  std::vector<ServerEntry> Others;
};

// The divided servers of all services that are being moved.
class VersionedServers {
public:
  void rebuild(const ServerView &Servers, const VersionPolicy &Policy);
  // Null if all versions of the service are treated alike.
  DividedServers *find(const std::string &Service);

private:
  std::map<std::string, DividedServers> ByService;
};

} // namespace Routing
