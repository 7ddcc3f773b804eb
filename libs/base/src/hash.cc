#include "base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace firmoor {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double HashFraction(std::string_view bytes) {
  constexpr double kHashes = 18'446'744'073'709'551'616.0;  // 2 to the 64th
  constexpr double kBelowOne = 1.0 - 1e-15;
  return std::min(kBelowOne, static_cast<double>(Hash64(bytes)) / kHashes);
}

std::string Hash128Hex(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> names) {
  const std::uint64_t seed = Hash64(key);
  std::sort(names.begin(), names.end(),
            [seed](const std::string& a, const std::string& b) {
              const auto hash_a = Hash64(a, seed);
              const auto hash_b = Hash64(b, seed);
              return hash_a != hash_b ? hash_a > hash_b : a < b;
            });
  return names;
}

}  // namespace firmoor
