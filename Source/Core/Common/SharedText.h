#pragma once

#include <memory>
#include <ostream>
#include <string>

namespace Common {

// An immutable text whose copies share the bytes. Bodies of requests are kept
// by several owners at a time, and may be as large as a good part of the
// memory.
class SharedText {
public:
  SharedText() = default;
  // Implicit, so that it is a drop-in for a string that is only read.
  SharedText(std::string Value) // NOLINT(google-explicit-constructor)
      : Text(Value.empty()
                 ? nullptr
                 : std::make_shared<const std::string>(std::move(Value))) {}
  SharedText(const char *Value) // NOLINT(google-explicit-constructor)
      : SharedText(std::string(Value)) {}

  const std::string &str() const {
    static const std::string Empty;
    return Text ? *Text : Empty;
  }
  std::size_t size() const { return str().size(); }
  bool empty() const { return str().empty(); }

  friend bool operator==(const SharedText &Left, const SharedText &Right) {
    return Left.str() == Right.str();
  }
  friend std::ostream &operator<<(std::ostream &Out, const SharedText &Value) {
    return Out << Value.str();
  }

private:
  std::shared_ptr<const std::string> Text;
};

} // namespace Common
