#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "Common/Time.h"
#include "Config/ObjectSet.h"

namespace Routing {

// An answered call, as the caller-side node saw it.
struct CostSample {
  std::string Kind;
  std::size_t BodyBytes = 0;
  Common::Micros ServiceTime{0};
  // How long work took at the server, in percent of a server of usual speed; 0
  // if unknown.
  int SlownessPercent = 0;
};

// Learns how long a call holds a slot of a server of usual speed, from what can
// be seen of its request: the kind and the size of the body.
//
// Load pattern: calls of one kind differ in work, and servers of one service
// differ in speed. Without the speed, a kind whose calls went to slow servers
// by chance would look expensive.
class CostModel {
public:
  void addSample(const CostSample &Sample);
  // Returns 0 until there are enough samples of the kind.
  Common::Micros expected(const std::string &Kind, std::size_t BodyBytes) const;
  // Drops what was learnt of all other kinds.
  void useKinds(const std::map<std::string, Config::RequestKind> &Current);
  std::size_t size() const { return Kinds.size(); }

private:
  struct Mean {
    double Micros = 0;
    int Samples = 0;

    void add(double Value);
  };
  struct KindCosts {
    Mean All;
    // By the class of the body size.
    std::map<int, Mean> BySize;
  };

  static int sizeClass(std::size_t BodyBytes);

  std::unordered_map<std::string, KindCosts> Kinds;
};

} // namespace Routing
