#include "serving/claim_store.h"

#include <fmt/format.h>

#include <QTimer>
#include <map>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr int kTickMs = 10;

}  // namespace

struct ClaimStore::Impl {
  ObjectStore* store;
  std::int64_t slots;
  Duration wait;
  std::map<std::string, ClaimBatcher> batchers;
  std::map<std::uint64_t, Done> waiting;
  std::uint64_t next_id = 1;
  QTimer timer;
  // Answers that arrive after this object is gone find it false.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void Tick();
  void Advance(const std::string& name, ClaimBatcher* batcher);
  void Deliver(ClaimBatcher* batcher);
};

void ClaimStore::Impl::Tick() {
  bool has_work = false;
  for (auto& [name, batcher] : batchers) {
    if (!batcher.HasWork()) continue;
    has_work = true;
    Advance(name, &batcher);
  }
  if (!has_work) timer.stop();
}

void ClaimStore::Impl::Advance(const std::string& name, ClaimBatcher* batcher) {
  const auto call = batcher->NextCall(MonotonicNow(), WallClockMs());
  if (call && call->is_write) {
    store->Write(name, call->expected, call->value,
                 [this, name, batcher, guard = alive](StoreStatus status,
                                                      std::int64_t version) {
                   if (!*guard) return;
                   batcher->OnWrite(status, version, MonotonicNow());
                   Advance(name, batcher);
                 });
  } else if (call) {
    store->Read(name, [this, name, batcher, guard = alive](
                          StoreStatus status, const StoredObject& object) {
      if (!*guard) return;
      batcher->OnRead(status, object, MonotonicNow());
      Advance(name, batcher);
    });
  }
  Deliver(batcher);
}

void ClaimStore::Impl::Deliver(ClaimBatcher* batcher) {
  for (const auto& decided : batcher->TakeDecided(MonotonicNow())) {
    const auto found = waiting.find(decided.id);
    if (found == waiting.end()) continue;
    const auto done = std::move(found->second);
    waiting.erase(found);
    done(decided);
  }
}

ClaimStore::ClaimStore(ObjectStore* store, std::int64_t slots, Duration wait)
    : impl_(std::make_unique<Impl>()) {
  FIRMOOR_PRECONDITION(slots > 0, "there is a slot for claims");
  impl_->store = store;
  impl_->slots = slots;
  impl_->wait = wait;
  impl_->timer.setInterval(kTickMs);
  QObject::connect(&impl_->timer, &QTimer::timeout, &impl_->timer,
                   [state = impl_.get()] { state->Tick(); });
}

ClaimStore::~ClaimStore() { *impl_->alive = false; }

std::string ClaimStore::SlotOf(const std::string& key) const {
  return fmt::format("claims-{}",
                     Hash64(key) % static_cast<std::uint64_t>(impl_->slots));
}

void ClaimStore::Claim(const firmoor::Claim& wanted, Done done) {
  const auto name = SlotOf(wanted.key);
  auto& batcher = impl_->batchers[name];
  const auto id = impl_->next_id++;
  impl_->waiting.emplace(id, std::move(done));
  batcher.Claim(id, wanted, MonotonicNow() + impl_->wait);
  impl_->timer.start();
  impl_->Advance(name, &batcher);
}

void ClaimStore::Record(const firmoor::Claim& ended) {
  const auto name = SlotOf(ended.key);
  auto& batcher = impl_->batchers[name];
  batcher.Record(ended);
  impl_->timer.start();
  impl_->Advance(name, &batcher);
}

std::size_t ClaimStore::Unrecorded() const {
  std::size_t count = 0;
  for (const auto& [name, batcher] : impl_->batchers) {
    count += batcher.unrecorded();
  }
  return count;
}

}  // namespace firmoor
