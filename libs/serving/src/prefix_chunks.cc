#include "serving/prefix_chunks.h"

#include "base/hash.h"

namespace firmoor {

std::vector<std::uint64_t> PrefixChunks(std::string_view prompt) {
  std::vector<std::uint64_t> chunks;
  std::uint64_t chain = 0;
  for (std::size_t at = 0; at + kChunkBytes <= prompt.size();
       at += kChunkBytes) {
    chain = Hash64(prompt.substr(at, kChunkBytes), chain);
    chunks.push_back(chain);
  }
  return chunks;
}

std::size_t EstimateTokens(std::string_view text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace firmoor
