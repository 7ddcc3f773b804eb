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
  while (!waiting_.empty() && active_.size() < parameters_.batch) {
    const auto sequence = waiting_.front();
    waiting_.pop_front();
    const auto cached = CachedChunks(sequence);
    const auto cached_tokens =
        std::min(cached * kChunkTokens, sequence.prompt_tokens);
    for (std::size_t i = cached; i < sequence.chunks.size(); ++i) {
      if (computed_->contains(sequence.chunks[i])) recomputed_ += kChunkTokens;
    }
    const std::size_t emitted_to_prefill =
        sequence.kv_imported ? 0 : sequence.emitted_tokens;
    recomputed_ += emitted_to_prefill;
    // At least one token is computed, since the first output token needs its
    // logits.
    const auto prefill = std::max<std::size_t>(
        1, sequence.prompt_tokens - cached_tokens + emitted_to_prefill);
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
    if (cache_.size() <= parameters_.cache_chunks) continue;
    change_.removed.push_back(cache_order_.back());
    cache_.erase(cache_order_.back());
    cache_order_.pop_back();
  }
}

EngineModel::StepResult EngineModel::Step() {
  Admit();
  StepResult result;
  if (active_.empty()) return result;
  // Priority applies to prefill as well as to admission to the batch.
  std::stable_sort(active_.begin(), active_.end(),
                   [](const Active& a, const Active& b) {
                     return a.sequence.priority > b.sequence.priority;
                   });
  std::size_t prefill_budget = parameters_.prefill_tokens_per_step;
  std::size_t prefilled = 0;
  std::size_t decoding = 0;
  for (auto& active : active_) {
    if (active.prefill_left > 0) {
      const auto prefill_tokens = std::min(active.prefill_left, prefill_budget);
      active.prefill_left -= prefill_tokens;
      prefill_budget -= prefill_tokens;
      prefilled += prefill_tokens;
      if (active.prefill_left > 0 || prefill_tokens == 0) continue;
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
  result.ms = parameters_.step_ms +
              parameters_.step_ms_per_sequence * static_cast<double>(decoding) +
              1'000.0 * static_cast<double>(prefilled) /
                  parameters_.prefill_tokens_per_s;
  return result;
}

EngineModel::CacheChange EngineModel::TakeCacheChange() {
  return std::exchange(change_, {});
}

}  // namespace firmoor
