#include "Wire/Compression.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include "Common/Error.h"

namespace Wire {

namespace {

// At 9 a set of 1,140 routes takes 7 ms of a whole core in place of 1, for a
// fifth less; a small VM has a tenth of a core.
constexpr int CompressionLevel = 3;
// A patch is mostly references to its base, which the fastest level finds.
constexpr int PatchLevel = 1;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

// The library's bounds for windows that any receiver takes.
constexpr int LeastWindowLog = 10;
constexpr int MostWindowLog = 27;

// The least power of two that covers so many bytes.
int windowLog(std::size_t Bytes) {
  return std::clamp(static_cast<int>(std::bit_width(Bytes)), LeastWindowLog,
                    MostWindowLog);
}

std::size_t contentSize(std::string_view Packed, std::size_t Limit) {
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Packed.data(), Packed.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN ||
      Size > Limit)
    throw Common::Error(Common::ResultCode::FrameMalformed,
                        "compressed part has no sound size");
  return Size;
}

void checkWritten(std::size_t Written, std::size_t Size) {
  if (ZSTD_isError(Written) || Written != Size)
    throw Common::Error(Common::ResultCode::FrameMalformed,
                        "compressed part is damaged");
}

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
  std::string Plain(contentSize(Packed, Limit), '\0');
  checkWritten(
      ZSTD_decompress(Plain.data(), Plain.size(), Packed.data(), Packed.size()),
      Plain.size());
  return Plain;
}

std::string makePatch(std::string_view Base, std::string_view Plain) {
  const Compressor Context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel, PatchLevel);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog,
                         windowLog(Base.size() + Plain.size()));
  ZSTD_CCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Patch(ZSTD_compressBound(Plain.size()), '\0');
  const std::size_t Size = ZSTD_compress2(
      Context.get(), Patch.data(), Patch.size(), Plain.data(), Plain.size());
  if (ZSTD_isError(Size))
    throw Common::Error(Common::ResultCode::LibraryFailed,
                        ZSTD_getErrorName(Size));
  Patch.resize(Size);
  return Patch;
}

std::string applyPatch(std::string_view Base, std::string_view Patch,
                       std::size_t Limit) {
  const Decompressor Context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Plain(contentSize(Patch, Limit), '\0');
  checkWritten(ZSTD_decompressDCtx(Context.get(), Plain.data(), Plain.size(),
                                   Patch.data(), Patch.size()),
               Plain.size());
  return Plain;
}

} // namespace Wire
