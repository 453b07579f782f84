#pragma once

#include "Kernel/Host.h"
#include "Node/NodeSettings.h"

namespace Node {

// Assembles the services of a node and assigns them to tasks.
class NodeBuilder {
public:
  NodeBuilder &settings(NodeSettings Value);
  Kernel::Host build();

private:
  NodeSettings Settings;
};

} // namespace Node
