#pragma once

#include <stdexcept>
#include <string>

#include "Common/ResultCode.h"

namespace Common {

// An exception with a result code. what() begins with its number and name.
class Error : public std::runtime_error {
public:
  Error(ResultCode Code, const std::string &Detail);

  ResultCode code() const { return Code; }

private:
  ResultCode Code;
};

// Throws SystemCallFailed with the failed operation and the text of errno.
[[noreturn]] void throwSystemError(const std::string &Operation);

} // namespace Common
