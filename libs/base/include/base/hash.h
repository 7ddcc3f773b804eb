#ifndef FIRMOOR_BASE_HASH_H_
#define FIRMOOR_BASE_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// 64-bit xxHash (XXH3) of `bytes`.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// The hash of `bytes` as a fraction, from 0 to below 1.
double HashFraction(std::string_view bytes);

/// 128-bit xxHash (XXH3) of `bytes` as 32 lower-case hexadecimal digits.
std::string Hash128Hex(std::string_view bytes);

/// Orders `names` by rendezvous hashing for `key`, best first. Removing a
/// name leaves the order of the others unchanged.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> names);

}  // namespace firmoor

#endif  // FIRMOOR_BASE_HASH_H_
