#include "Common/LengthPrefix.h"

namespace Common {

std::string encodeLengthPrefix(std::size_t Length) {
  std::string Result;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Result.push_back(static_cast<char>(Length >> Shift & 0xff));
  return Result;
}

std::uint64_t decodeBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  return Value;
}

} // namespace Common
