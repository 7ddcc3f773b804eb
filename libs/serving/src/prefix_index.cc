#include "serving/prefix_index.h"

#include "base/invariant.h"

namespace firmoor {

PrefixIndex::PrefixIndex(std::size_t capacity_chunks)
    : capacity_(capacity_chunks) {
  FIRMOOR_PRECONDITION(capacity_ > 0, "an index can hold a chunk");
}

void PrefixIndex::Touch(std::span<const std::uint64_t> chunks) {
  for (const auto chunk : chunks) {
    const auto found = where_.find(chunk);
    if (found != where_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front(chunk);
    where_.emplace(chunk, order_.begin());
    if (where_.size() > capacity_) {
      where_.erase(order_.back());
      order_.pop_back();
    }
  }
}

void PrefixIndex::Remove(std::span<const std::uint64_t> chunks) {
  for (const auto chunk : chunks) {
    const auto found = where_.find(chunk);
    if (found == where_.end()) continue;
    order_.erase(found->second);
    where_.erase(found);
  }
}

std::size_t PrefixIndex::MatchedChunks(
    std::span<const std::uint64_t> chunks) const {
  std::size_t matched = 0;
  while (matched < chunks.size() && where_.contains(chunks[matched])) {
    ++matched;
  }
  return matched;
}

}  // namespace firmoor
