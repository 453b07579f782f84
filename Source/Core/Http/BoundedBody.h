#pragma once

#include <cstdint>
#include <string>

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace Http {

// A body of text for the parser that is refused as soon as its stated or its
// received length is over a limit. The parser's own one makes room for
// whatever length is stated before it looks at a limit. The names of the types
// inside are the library's.
struct BoundedBody {
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct value_type {
    std::string Text;
    std::size_t Limit = 0;
  };

  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> & /*Head*/,
           value_type &Target)
        : Target(Target) {}

    void init(const boost::optional<std::uint64_t> &Stated,
              boost::beast::error_code &Fault) {
      check(Stated.value_or(0), Fault);
    }

    template <class Buffers>
    std::size_t put(const Buffers &Received, boost::beast::error_code &Fault) {
      const std::size_t Count = boost::beast::buffer_bytes(Received);
      check(Target.Text.size() + Count, Fault);
      if (Fault)
        return 0;
      for (const auto Each : boost::beast::buffers_range_ref(Received))
        Target.Text.append(static_cast<const char *>(Each.data()), Each.size());
      return Count;
    }

    void finish(boost::beast::error_code &Fault) { Fault = {}; }

  private:
    void check(std::uint64_t Length, boost::beast::error_code &Fault) const {
      Fault = {};
      if (Length > Target.Limit)
        Fault = boost::beast::http::error::body_limit;
    }

    value_type &Target;
  };
};

} // namespace Http
