#include "fleet/packed.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <new>
#include <stdexcept>

namespace lilacmux {
namespace {

constexpr int kCompressionLevel = 3;
constexpr std::size_t kMaxUnpackedBytes = std::size_t{64} << 20;
constexpr int kMinWindowLog = 10;  // log2 of bytes; the minimum of the format

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// Returns the result of a zstd function. Throws if it is an error code.
std::size_t checked(std::size_t code) {
  if (ZSTD_isError(code)) throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(code));
  return code;
}

// Returns the log2 of the window size, which must reach from the end of the text back to the start of its
// prefix.
int windowLogFor(std::size_t bytes) {
  return std::max(kMinWindowLog, static_cast<int>(std::bit_width(bytes)));
}

std::string compress(const std::string& text, const std::string* prefix) {
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  if (!context) throw std::bad_alloc();
  checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel));
  if (prefix) {
    const int windowLog = windowLogFor(text.size() + prefix->size());
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog));
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1));
    checked(ZSTD_CCtx_refPrefix(context.get(), prefix->data(), prefix->size()));
  }
  std::string out(ZSTD_compressBound(text.size()), '\0');
  out.resize(checked(ZSTD_compress2(context.get(), out.data(), out.size(), text.data(), text.size())));
  return out;
}

}  // namespace

Packed pack(const std::string& text, const std::string* prefix) {
  return {text.size(), XXH3_64bits(text.data(), text.size()), compress(text, prefix)};
}

std::shared_ptr<const std::string> unpack(const Packed& packed, const std::string* prefix) {
  if (packed.size > kMaxUnpackedBytes) return nullptr;
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  if (!context) throw std::bad_alloc();
  if (prefix) {
    const int windowLog = windowLogFor(packed.size + prefix->size());
    checked(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, windowLog));
    checked(ZSTD_DCtx_refPrefix(context.get(), prefix->data(), prefix->size()));
  }
  auto out = std::make_shared<std::string>(packed.size, '\0');
  const std::size_t size =
      ZSTD_decompressDCtx(context.get(), out->data(), out->size(), packed.bytes.data(), packed.bytes.size());
  if (ZSTD_isError(size) || size != packed.size) return nullptr;
  if (XXH3_64bits(out->data(), out->size()) != packed.checksum) return nullptr;
  return out;
}

}  // namespace lilacmux
