#include "serving/claim_store.h"

#include <fmt/format.h>

#include <QTimer>
#include <map>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr int kTickMs = 10;
constexpr Duration kQueryTimeout{300};

}  // namespace

struct ClaimStore::Impl {
  ObjectStore* store;
  std::int64_t slots;
  Duration claim_timeout;
  std::map<std::string, ClaimBatcher> batchers;
  std::map<std::uint64_t, Done> claim_callbacks;
  std::map<std::uint64_t, RecordDone> record_callbacks;
  /// Attempts with an outcome that is not stored yet.
  std::set<std::string> unstored_attempts;
  HomeCalls home_calls;
  std::uint64_t next_id = 1;
  QTimer timer;
  // Set to false on destruction; late store answers check it.
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
  const auto object =
      call && !call->segment.empty() ? name + "-" + call->segment : name;
  if (call && call->is_write) {
    store->Write(object, call->expected, call->value,
                 [this, name, batcher, guard = alive](StoreStatus status,
                                                      StoreVersion version) {
                   if (!*guard) return;
                   batcher->OnWrite(status, version, MonotonicNow());
                   Advance(name, batcher);
                 });
  } else if (call) {
    store->Read(object, [this, name, batcher, guard = alive](
                            StoreStatus status, const StoredObject& read) {
      if (!*guard) return;
      batcher->OnRead(status, read, MonotonicNow());
      Advance(name, batcher);
    });
  }
  Deliver(batcher);
}

void ClaimStore::Impl::Deliver(ClaimBatcher* batcher) {
  for (const auto& decision : batcher->TakeDecisions(MonotonicNow())) {
    const auto found = claim_callbacks.find(decision.id);
    if (found == claim_callbacks.end()) continue;
    const auto done = std::move(found->second);
    claim_callbacks.erase(found);
    done(decision);
  }
  for (const auto id : batcher->TakeStoredRecords()) {
    const auto found = record_callbacks.find(id);
    if (found == record_callbacks.end()) continue;
    const auto done = std::move(found->second);
    record_callbacks.erase(found);
    done();
  }
}

ClaimStore::ClaimStore(ObjectStore* store, std::int64_t slots,
                       Duration claim_timeout)
    : impl_(std::make_unique<Impl>()) {
  FIRMOOR_PRECONDITION(slots > 0, "the number of claim slots is positive");
  impl_->store = store;
  impl_->slots = slots;
  impl_->claim_timeout = claim_timeout;
  impl_->timer.setInterval(kTickMs);
  QObject::connect(&impl_->timer, &QTimer::timeout, &impl_->timer,
                   [state = impl_.get()] { state->Tick(); });
}

ClaimStore::~ClaimStore() { *impl_->alive = false; }

std::string ClaimStore::SlotOf(const std::string& key) const {
  return fmt::format("claims-{}",
                     Hash64(key) % static_cast<std::uint64_t>(impl_->slots));
}

void ClaimStore::SetHomeCalls(HomeCalls calls) {
  impl_->home_calls = std::move(calls);
}

void ClaimStore::Claim(const firmoor::Claim& wanted, const Done& done) {
  const auto claim_locally = [this, wanted, done, guard = impl_->alive] {
    if (*guard) ClaimLocally(wanted, ClaimOrigin::kAfterHomeFailure, done);
  };
  if (!impl_->home_calls.claim) return claim_locally();
  const bool sent = impl_->home_calls.claim(
      SlotOf(wanted.key), wanted,
      [claim_locally,
       done](const std::optional<ClaimBatcher::Decision>& decision) {
        const bool decisive =
            decision && decision->result != ClaimResult::kStoreUnavailable;
        return decisive ? done(*decision) : claim_locally();
      });
  if (!sent) claim_locally();
}

void ClaimStore::ClaimLocally(const firmoor::Claim& wanted, ClaimOrigin origin,
                              Done done) {
  const auto name = SlotOf(wanted.key);
  auto& batcher = impl_->batchers[name];
  const auto id = impl_->next_id++;
  impl_->claim_callbacks.emplace(id, std::move(done));
  batcher.Claim(id, wanted, MonotonicNow() + impl_->claim_timeout, origin);
  impl_->timer.start();
  impl_->Advance(name, &batcher);
}

void ClaimStore::QueryKey(const firmoor::Claim& wanted, Done done) {
  const auto name = SlotOf(wanted.key);
  auto& batcher = impl_->batchers[name];
  const auto id = impl_->next_id++;
  impl_->claim_callbacks.emplace(id, std::move(done));
  batcher.QueryKey(id, wanted, MonotonicNow() + kQueryTimeout);
  impl_->timer.start();
  impl_->Advance(name, &batcher);
}

void ClaimStore::Record(const firmoor::Claim& ended) {
  impl_->unstored_attempts.insert(ended.attempt);
  const auto stored = [this, attempt = ended.attempt, guard = impl_->alive] {
    if (*guard) impl_->unstored_attempts.erase(attempt);
  };
  const auto record_locally = [this, ended, stored, guard = impl_->alive] {
    if (*guard) RecordLocally(ended, stored);
  };
  if (!impl_->home_calls.record) return record_locally();
  const bool sent = impl_->home_calls.record(
      SlotOf(ended.key), ended, [record_locally, stored](bool at_home) {
        return at_home ? stored() : record_locally();
      });
  if (!sent) record_locally();
}

void ClaimStore::RecordLocally(const firmoor::Claim& ended, RecordDone done) {
  const auto name = SlotOf(ended.key);
  auto& batcher = impl_->batchers[name];
  const auto id = impl_->next_id++;
  impl_->record_callbacks.emplace(id, std::move(done));
  batcher.Record(id, ended, MonotonicNow());
  impl_->timer.start();
  impl_->Advance(name, &batcher);
}

bool ClaimStore::IsRecording(const std::string& attempt) const {
  return impl_->unstored_attempts.contains(attempt);
}

std::size_t ClaimStore::UnrecordedOutcomes() const {
  return impl_->unstored_attempts.size() + impl_->record_callbacks.size();
}

}  // namespace firmoor
