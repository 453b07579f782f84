#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Node/Messages.h"
#include "Node/NodeBuilder.h"

BOOST_AUTO_TEST_SUITE(NodeBuilders)

// Guards against a planned stop that fails a running call of another node,
// because the calls that the server makes for it find the ingress closed.
BOOST_AUTO_TEST_CASE(ServerSideDrainsBeforeTheIngress) {
  const std::vector<std::string> Order =
      Node::NodeBuilder().settings({}).build().startOrder();
  const auto Position = [&Order](const std::string &Name) {
    return std::find(Order.begin(), Order.end(), Name) - Order.begin();
  };
  // Services drain in reverse order of their start.
  BOOST_TEST(Position(Node::MembersName) > Position(Node::BackendName));
  BOOST_TEST(Position(Node::BackendName) > Position(Node::IngressName));
  BOOST_TEST(Position(Node::IngressName) > Position(Node::ClaimsName));
  BOOST_TEST(Position(Node::IngressName) > Position(Node::PeersName));
}

BOOST_AUTO_TEST_SUITE_END()
