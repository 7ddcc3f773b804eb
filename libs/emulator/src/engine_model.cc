#include "emulator/engine_model.h"

#include <algorithm>
#include <utility>

#include "serving/prefix_chunks.h"

namespace firmoor {

void EngineModel::Add(const EngineSequence& sequence) {
  const auto at = std::find_if(waiting_.begin(), waiting_.end(),
                               [&](const EngineSequence& other) {
                                 return other.priority < sequence.priority;
                               });
  waiting_.insert(at, sequence);
}

void EngineModel::Cancel(std::uint64_t id) {
  std::erase_if(waiting_, [id](const auto& s) { return s.id == id; });
  std::erase_if(active_, [id](const auto& a) { return a.sequence.id == id; });
}

std::size_t EngineModel::queued_tokens() const {
  std::size_t tokens = 0;
  for (const auto& sequence : waiting_) tokens += sequence.prompt_tokens;
  for (const auto& active : active_) tokens += active.prefill_left;
  return tokens;
}

std::size_t EngineModel::CachedChunks(const EngineSequence& sequence) {
  std::size_t cached = 0;
  while (cached < sequence.chunks.size()) {
    const auto found = cache_.find(sequence.chunks[cached]);
    if (found == cache_.end()) break;
    cache_order_.splice(cache_order_.begin(), cache_order_, found->second);
    ++cached;
  }
  return cached;
}

void EngineModel::Admit() {
  while (!waiting_.empty() && active_.size() < shape_.batch) {
    const auto sequence = waiting_.front();
    waiting_.pop_front();
    const auto cached = CachedChunks(sequence);
    const auto cached_tokens =
        std::min(cached * kChunkTokens, sequence.prompt_tokens);
    for (std::size_t i = cached; i < sequence.chunks.size(); ++i) {
      if (computed_->contains(sequence.chunks[i])) recomputed_ += kChunkTokens;
    }
    const std::size_t again =
        sequence.kv_imported ? 0 : sequence.emitted_tokens;
    recomputed_ += again;
    // One token is always computed, so that the first one can follow.
    const auto prefill = std::max<std::size_t>(
        1, sequence.prompt_tokens - cached_tokens + again);
    prefilled_ += prefill;
    active_.push_back({sequence, prefill, sequence.emitted_tokens});
  }
}

void EngineModel::StoreChunks(const Active& active) {
  for (const auto chunk : active.sequence.chunks) {
    computed_->insert(chunk);
    if (cache_.contains(chunk)) continue;
    cache_order_.push_front(chunk);
    cache_.emplace(chunk, cache_order_.begin());
    change_.stored.push_back(chunk);
    if (cache_.size() <= shape_.cache_chunks) continue;
    change_.removed.push_back(cache_order_.back());
    cache_.erase(cache_order_.back());
    cache_order_.pop_back();
  }
}

EngineModel::StepResult EngineModel::Step() {
  Admit();
  StepResult result;
  if (active_.empty()) return result;
  // Prefill follows priority too, not only admission to the batch.
  std::stable_sort(active_.begin(), active_.end(),
                   [](const Active& a, const Active& b) {
                     return a.sequence.priority > b.sequence.priority;
                   });
  std::size_t prefill_room = shape_.prefill_tokens_per_step;
  std::size_t prefilled = 0;
  std::size_t decoding = 0;
  for (auto& active : active_) {
    if (active.prefill_left > 0) {
      const auto part = std::min(active.prefill_left, prefill_room);
      active.prefill_left -= part;
      prefill_room -= part;
      prefilled += part;
      if (active.prefill_left > 0 || part == 0) continue;
      StoreChunks(active);
    } else {
      ++decoding;
    }
    const auto token = active.next_token++;
    const bool last = active.next_token >= active.sequence.max_tokens;
    result.events.push_back({active.sequence.id, token, last});
  }
  std::erase_if(active_, [](const Active& active) {
    return active.prefill_left == 0 &&
           active.next_token >= active.sequence.max_tokens;
  });
  result.ms =
      shape_.step_ms +
      shape_.step_ms_per_sequence * static_cast<double>(decoding) +
      1'000.0 * static_cast<double>(prefilled) / shape_.prefill_tokens_per_s;
  return result;
}

EngineModel::CacheChange EngineModel::TakeCacheChange() {
  return std::exchange(change_, {});
}

}  // namespace firmoor
