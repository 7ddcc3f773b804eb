#include "serving/prefix_chunks.h"

#include "base/hash.h"

namespace firmoor {

std::vector<std::uint64_t> PrefixChunks(std::string_view prompt) {
  std::vector<std::uint64_t> chunks;
  std::uint64_t prefix_hash = 0;
  for (std::size_t offset = 0; offset + kChunkBytes <= prompt.size();
       offset += kChunkBytes) {
    prefix_hash = Hash64(prompt.substr(offset, kChunkBytes), prefix_hash);
    chunks.push_back(prefix_hash);
  }
  return chunks;
}

std::size_t EstimateTokens(std::string_view text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace firmoor
