#pragma once

#include "Kernel/Host.h"
#include "Node/NodeSettings.h"

namespace Node {

// Puts the services of a node onto their tasks.
class NodeBuilder {
public:
  NodeBuilder &settings(NodeSettings Value);
  Kernel::Host build();

private:
  NodeSettings Settings;
};

} // namespace Node
