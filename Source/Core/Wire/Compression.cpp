#include "Wire/Compression.h"

#include <zstd.h>

#include "Common/Error.h"

namespace Wire {

namespace {

constexpr int CompressionLevel = 9;

} // namespace

std::string compress(std::string_view Plain) {
  std::string Packed(ZSTD_compressBound(Plain.size()), '\0');
  const std::size_t Size =
      ZSTD_compress(Packed.data(), Packed.size(), Plain.data(), Plain.size(),
                    CompressionLevel);
  if (ZSTD_isError(Size))
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        ZSTD_getErrorName(Size));
  Packed.resize(Size);
  return Packed;
}

std::string decompress(std::string_view Packed, std::size_t Limit) {
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Packed.data(), Packed.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN ||
      Size > Limit)
    throw Common::Error(Common::ResultCode::FrameMalformed,
                        "compressed part has no sound size");
  std::string Plain(Size, '\0');
  const std::size_t Written =
      ZSTD_decompress(Plain.data(), Plain.size(), Packed.data(), Packed.size());
  if (ZSTD_isError(Written) || Written != Size)
    throw Common::Error(Common::ResultCode::FrameMalformed,
                        "compressed part is damaged");
  return Plain;
}

} // namespace Wire
