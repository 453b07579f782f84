#include <boost/test/unit_test.hpp>

#include "Node/CallResponse.h"

BOOST_AUTO_TEST_SUITE(CallResponses)

BOOST_AUTO_TEST_CASE(ForwardsTheServerReply) {
  Routing::CallReply Reply;
  Reply.HttpStatus = 404;
  Reply.Body = "none";
  Reply.Fields = {{"content-type", "text/x"}, {"connection", "close"}};
  Reply.Server = "s1";
  const Http::Response Response = Node::toResponse(Reply, 2, "c-1");
  BOOST_TEST(Response.Status == 404);
  BOOST_TEST(Response.Body == "none");
  BOOST_TEST(Response.Fields.at("content-type") == "text/x");
  BOOST_TEST(!Response.Fields.contains("connection"));
  BOOST_TEST(Response.Fields.at("x-zinnia-result") == "0");
  BOOST_TEST(Response.Fields.at("x-zinnia-attempts") == "2");
}

BOOST_AUTO_TEST_CASE(StatusDistinguishesNotRunFromUnknown) {
  Routing::CallReply Reply;
  Reply.Result = Common::ResultCode::QueueFull;
  BOOST_TEST(Node::toResponse(Reply, 1, "").Status == 503);
  Reply.Result = Common::ResultCode::ConnectionLost;
  BOOST_TEST(Node::toResponse(Reply, 1, "").Status == 504);
  Reply.Result = Common::ResultCode::NoRoute;
  BOOST_TEST(Node::toResponse(Reply, 1, "").Status == 404);
}

// A node of another version may pass such a status on.
BOOST_AUTO_TEST_CASE(ReplacesAStatusOutsideOfHttp) {
  for (const int Status : {0, 1, 99, 101, 199, 600, 999}) {
    Routing::CallReply Reply;
    Reply.HttpStatus = Status;
    Reply.Body = "of the server";
    Reply.Fields["x-origin"] = "server";
    const Http::Response Response = Node::toResponse(Reply, 1, "");
    BOOST_TEST(Response.Status == 504);
    BOOST_TEST(Response.Fields.at("x-zinnia-result") == "200");
    BOOST_TEST(!Response.Fields.contains("x-origin"));
    BOOST_TEST(Response.Body != "of the server");
  }
}

BOOST_AUTO_TEST_CASE(ReadsTheLimitsOfTheCaller) {
  Http::Request Request;
  Request.Fields = {{"x-deadline-ms", "250"},
                    {"x-attempts-left", "1"},
                    {"x-correlation-id", "abc"},
                    {"host", "h"}};
  const auto Start = Node::toCallStart(7, Request, "fresh");
  BOOST_TEST(Start.Timeout->count() == 250'000);
  BOOST_TEST(*Start.AttemptsLeft == 1);
  BOOST_TEST(Start.CorrelationId == "abc");
  BOOST_TEST(!Start.Fields.contains("host"));
}

BOOST_AUTO_TEST_CASE(IgnoresMalformedLimits) {
  Http::Request Request;
  Request.Fields = {{"x-deadline-ms", "soon"}, {"x-attempts-left", "-4"}};
  const auto Start = Node::toCallStart(7, Request, "fresh");
  BOOST_TEST(!Start.Timeout.has_value());
  BOOST_TEST(!Start.AttemptsLeft.has_value());
  BOOST_TEST(Start.CorrelationId == "fresh");
}

BOOST_AUTO_TEST_SUITE_END()
