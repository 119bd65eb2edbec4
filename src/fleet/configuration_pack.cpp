#include "fleet/configuration_pack.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <stdexcept>

namespace lilacmux {
namespace {

constexpr int kLevel = 3;
constexpr std::size_t kMostUnpacked = 64 << 20;  // bytes
constexpr int kLeastWindow = 10;                 // log2 of bytes, the least that the format has

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

std::size_t checked(std::size_t code) {
  if (ZSTD_isError(code)) throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(code));
  return code;
}

// The window must reach from the end of the body back to the begin of its prefix.
int windowFor(std::size_t bytes) { return std::max(kLeastWindow, static_cast<int>(std::bit_width(bytes))); }

std::string compress(const std::string& body, const std::string* prefix) {
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  if (!context) throw std::bad_alloc();
  checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel));
  if (prefix) {
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowFor(body.size() + prefix->size())));
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1));
    checked(ZSTD_CCtx_refPrefix(context.get(), prefix->data(), prefix->size()));
  }
  std::string out(ZSTD_compressBound(body.size()), '\0');
  out.resize(checked(ZSTD_compress2(context.get(), out.data(), out.size(), body.data(), body.size())));
  return out;
}

}  // namespace

void ConfigurationPacker::take(std::uint64_t revision, const Body& body) {
  if (!body || find(revision)) return;
  const auto after = std::find_if(versions_.begin(), versions_.end(),
                                  [&](const Version& each) { return each.revision > revision; });
  versions_.insert(after, {revision, body});
  while (versions_.size() > kEarlier + 1) forgetOldest();
  std::size_t earlier = 0;
  for (std::size_t i = 0; i + 1 < versions_.size(); ++i) earlier += versions_[i].body->size();
  while (versions_.size() > 2 && earlier > kMostEarlierBytes) {
    earlier -= versions_.front().body->size();
    forgetOldest();
  }
}

void ConfigurationPacker::forgetOldest() {
  const std::uint64_t revision = versions_.front().revision;
  versions_.pop_front();
  std::erase_if(packed_, [&](const auto& entry) {
    return entry.first.first == revision || entry.first.second == revision;
  });
}

const ConfigurationPacker::Version* ConfigurationPacker::find(std::uint64_t revision) const {
  const auto found = std::find_if(versions_.begin(), versions_.end(),
                                  [&](const Version& each) { return each.revision == revision; });
  return found == versions_.end() ? nullptr : &*found;
}

std::shared_ptr<const PackedConfiguration> ConfigurationPacker::pack(std::uint64_t revision,
                                                                     std::uint64_t base) {
  const Version* version = find(revision);
  if (!version) return nullptr;
  const Version* prefix = base < revision ? find(base) : nullptr;
  auto& packed = packed_[{revision, prefix ? base : 0}];
  if (packed) return packed;
  auto made = std::make_shared<PackedConfiguration>();
  static_cast<Packed&>(*made) = lilacmux::pack(*version->body, prefix ? prefix->body.get() : nullptr);
  made->base = prefix ? base : 0;
  packed = std::move(made);
  return packed;
}

std::shared_ptr<const std::string> unpackConfiguration(const PackedConfiguration& packed,
                                                       std::uint64_t revision, const std::string* body) {
  if (packed.base == 0) return unpack(packed, nullptr);
  return packed.base == revision && body ? unpack(packed, body) : nullptr;
}

Packed pack(const std::string& text, const std::string* prefix) {
  return {text.size(), XXH3_64bits(text.data(), text.size()), compress(text, prefix)};
}

std::shared_ptr<const std::string> unpack(const Packed& packed, const std::string* prefix) {
  if (packed.size > kMostUnpacked) return nullptr;
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  if (!context) throw std::bad_alloc();
  if (prefix) {
    const int window = windowFor(packed.size + prefix->size());
    checked(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window));
    checked(ZSTD_DCtx_refPrefix(context.get(), prefix->data(), prefix->size()));
  }
  auto out = std::make_shared<std::string>(packed.size, '\0');
  const std::size_t got =
      ZSTD_decompressDCtx(context.get(), out->data(), out->size(), packed.bytes.data(), packed.bytes.size());
  if (ZSTD_isError(got) || got != packed.size) return nullptr;
  if (XXH3_64bits(out->data(), out->size()) != packed.check) return nullptr;
  return out;
}

}  // namespace lilacmux
