#pragma once

#include <cstdint>
#include <string>

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace Http {

// A string body for Boost.Beast parsers. Parsing fails as soon as the announced
// or the received length exceeds Limit. Beast's own string body isn't used
// because it reserves memory for the announced length before it checks Limit.
// Beast prescribes the names of the nested types.
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

    void init(const boost::optional<std::uint64_t> &ContentLength,
              boost::beast::error_code &Error) {
      check(ContentLength.value_or(0), Error);
      // A string that grows by itself is copied each time, and takes up to
      // twice its size.
      if (!Error && ContentLength)
        Target.Text.reserve(static_cast<std::size_t>(*ContentLength));
    }

    template <class Buffers>
    std::size_t put(const Buffers &Received, boost::beast::error_code &Error) {
      const std::size_t Count = boost::beast::buffer_bytes(Received);
      check(Target.Text.size() + Count, Error);
      if (Error)
        return 0;
      for (const auto Buffer : boost::beast::buffers_range_ref(Received))
        Target.Text.append(static_cast<const char *>(Buffer.data()),
                           Buffer.size());
      return Count;
    }

    void finish(boost::beast::error_code &Error) { Error = {}; }

  private:
    void check(std::uint64_t Length, boost::beast::error_code &Error) const {
      Error = {};
      if (Length > Target.Limit)
        Error = boost::beast::http::error::body_limit;
    }

    value_type &Target;
  };
};

} // namespace Http
