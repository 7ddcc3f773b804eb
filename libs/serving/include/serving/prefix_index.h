#ifndef FIRMOOR_SERVING_PREFIX_INDEX_H_
#define FIRMOOR_SERVING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace firmoor {

/// What one replica probably has in its prefix cache: a bounded set of chunk
/// hashes that forgets the least recently used. Cache events arrive late and
/// with gaps, so the index is a hint and never a promise. Pure.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity_chunks);

  /// Notes that the replica has, or will soon have, these chunks.
  void Touch(std::span<const std::uint64_t> chunks);

  /// Notes that the replica dropped these chunks.
  void Remove(std::span<const std::uint64_t> chunks);

  /// Leading chunks of a prompt that the replica probably holds.
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
