#ifndef FIRMOOR_SERVING_PREFIX_CHUNKS_H_
#define FIRMOOR_SERVING_PREFIX_CHUNKS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace firmoor {

/// Bytes of prompt text in one chunk.
constexpr std::size_t kChunkBytes = 256;
/// Average bytes of text per token.
constexpr std::size_t kBytesPerToken = 4;
/// Average tokens per chunk.
constexpr std::size_t kChunkTokens = kChunkBytes / kBytesPerToken;

/// Hashes of the complete chunks of a prompt. Each hash covers the text from
/// the start of the prompt, so equal hashes mean equal prefixes.
std::vector<std::uint64_t> PrefixChunks(std::string_view prompt);

/// Estimates the number of tokens in `text` from its length.
std::size_t EstimateTokens(std::string_view text);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_PREFIX_CHUNKS_H_
