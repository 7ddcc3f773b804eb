#ifndef FIRMOOR_EMULATOR_ENGINE_MODEL_H_
#define FIRMOOR_EMULATOR_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace firmoor {

/// Speed and capacity of an emulated engine.
struct EngineParameters {
  double prefill_tokens_per_s = 20'000;
  double step_ms = 8;  ///< Base duration of a step.
  double step_ms_per_sequence = 0.25;
  std::size_t batch = 32;  ///< Maximum sequences in a batch.
  std::size_t prefill_tokens_per_step = 1'024;
  std::size_t cache_chunks = 2'000;  ///< Capacity of the prefix cache.
};

/// A sequence to generate.
struct EngineSequence {
  std::uint64_t id = 0;
  std::vector<std::uint64_t> chunks;  ///< Chunk hashes of the prompt.
  std::size_t prompt_tokens = 0;
  std::size_t emitted_tokens = 0;  ///< Already emitted by another engine.
  std::size_t max_tokens = 0;
  int priority = 0;
  bool kv_imported = false;  ///< The emitted tokens need no prefill.
};

/// Continuous batching with chunked prefill and a bounded prefix cache, in
/// virtual time: each `Step` is one forward pass.
class EngineModel {
 public:
  struct Event {
    std::uint64_t id = 0;
    std::size_t token = 0;  ///< Index of the token that was generated.
    bool last = false;
  };
  struct CacheChange {
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
  };
  struct StepResult {
    double ms = 0;  ///< Duration of the step; 0 without work.
    std::vector<Event> events;
  };

  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  void Add(const EngineSequence& sequence);
  void Cancel(std::uint64_t id);
  StepResult Step();

  [[nodiscard]] std::size_t running() const {
    return active_.size() + waiting_.size();
  }
  [[nodiscard]] std::size_t queued_tokens() const;
  [[nodiscard]] std::uint64_t prefilled_tokens() const { return prefilled_; }
  /// Prefilled tokens of chunks that an engine with the same set of computed
  /// chunks had computed before, plus emitted tokens that were prefilled again.
  [[nodiscard]] std::uint64_t recomputed_tokens() const { return recomputed_; }
  /// Shares the set of all chunks ever computed with other engines.
  void ShareComputedChunks(std::unordered_set<std::uint64_t>* computed) {
    computed_ = computed;
  }
  CacheChange TakeCacheChange();

 private:
  struct Active {
    EngineSequence sequence;
    std::size_t prefill_left = 0;
    std::size_t next_token = 0;
  };

  void Admit();
  void StoreChunks(const Active& active);
  std::size_t CachedChunks(const EngineSequence& sequence);

  EngineParameters parameters_;
  std::deque<EngineSequence> waiting_;
  std::vector<Active> active_;
  std::list<std::uint64_t> cache_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::unordered_set<std::uint64_t> own_computed_;
  std::unordered_set<std::uint64_t>* computed_ = &own_computed_;
  CacheChange change_;
  std::uint64_t prefilled_ = 0;
  std::uint64_t recomputed_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_EMULATOR_ENGINE_MODEL_H_
