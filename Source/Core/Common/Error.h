#pragma once

#include <stdexcept>
#include <string>

#include "Common/ResultCode.h"

namespace Common {

// An exception that carries a numbered result.
class Error : public std::runtime_error {
public:
  Error(ResultCode Code, const std::string &Detail);

  ResultCode code() const { return Code; }

private:
  ResultCode Code;
};

// Throws SystemCallFailed with the text of errno.
[[noreturn]] void throwSystemError(const std::string &What);

} // namespace Common
