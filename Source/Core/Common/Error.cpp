#include "Common/Error.h"

#include <cerrno>
#include <system_error>

namespace Common {

Error::Error(ResultCode Code, const std::string &Detail)
    : std::runtime_error(std::to_string(resultCodeNumber(Code)) + " " +
                         std::string(resultCodeName(Code)) + ": " + Detail),
      Code(Code) {}

void throwSystemError(const std::string &Operation) {
  const std::string Text = std::generic_category().message(errno);
  throw Error(ResultCode::SystemCallFailed, Operation + ": " + Text);
}

} // namespace Common
