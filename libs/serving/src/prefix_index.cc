#include "serving/prefix_index.h"

#include "base/invariant.h"

namespace firmoor {

PrefixIndex::PrefixIndex(std::size_t capacity_chunks)
    : capacity_(capacity_chunks) {
  FIRMOOR_PRECONDITION(capacity_ > 0, "the capacity is at least one chunk");
}

void PrefixIndex::Touch(std::span<const std::uint64_t> chunks) {
  for (const auto chunk : chunks) {
    const auto found = entries_.find(chunk);
    if (found != entries_.end()) {
      lru_order_.splice(lru_order_.begin(), lru_order_, found->second);
      continue;
    }
    lru_order_.push_front(chunk);
    entries_.emplace(chunk, lru_order_.begin());
    if (entries_.size() > capacity_) {
      entries_.erase(lru_order_.back());
      lru_order_.pop_back();
    }
  }
}

void PrefixIndex::Remove(std::span<const std::uint64_t> chunks) {
  for (const auto chunk : chunks) {
    const auto found = entries_.find(chunk);
    if (found == entries_.end()) continue;
    lru_order_.erase(found->second);
    entries_.erase(found);
  }
}

std::size_t PrefixIndex::MatchedChunks(
    std::span<const std::uint64_t> chunks) const {
  std::size_t matched = 0;
  while (matched < chunks.size() && entries_.contains(chunks[matched])) {
    ++matched;
  }
  return matched;
}

}  // namespace firmoor
