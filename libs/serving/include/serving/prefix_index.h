#ifndef FIRMOOR_SERVING_PREFIX_INDEX_H_
#define FIRMOOR_SERVING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace firmoor {

/// Estimate of the prefix cache of one replica: a bounded LRU set of chunk
/// hashes. Cache events arrive late and may be lost, so the index is only a
/// hint. Performs no I/O.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity_chunks);

  /// Marks chunks that the replica caches, or will cache soon, as used.
  void Touch(std::span<const std::uint64_t> chunks);

  /// Removes chunks that the replica evicted.
  void Remove(std::span<const std::uint64_t> chunks);

  /// Number of leading chunks of a prompt that are probably cached.
  [[nodiscard]] std::size_t MatchedChunks(
      std::span<const std::uint64_t> chunks) const;

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> lru_order_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      entries_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_PREFIX_INDEX_H_
