#include "platform/kind_watcher.h"

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/handler_timer.h"

namespace firmoor {
namespace {

// Backoff between failed calls: short at first, since a lost connection usually
// recovers at once, and later long enough not to add to a store's overload.
constexpr Duration kInitialBackoff{50};
constexpr Duration kMaxBackoff{800};
// Range of the backoff's random factor around 1, so that daemons that lost the
// store at the same time do not retry at the same time.
constexpr double kJitter = 0.5;
// An answer without news within this time to a call that waits for longer was
// not waited for, e.g. of a daemon that has not listed the kind itself.
constexpr Duration kEarlyAnswer{200};
// Early answers, and lists that no changes followed, in a row after which the
// next call is delayed.
constexpr int kMaxEarlyAnswers = 2;
constexpr int kMaxVainLists = 2;
// How long the first call after a failure waits for changes: it returns at once
// to find out whether the store is available again.
constexpr Duration kProbeWait{1};

}  // namespace

struct KindWatcher::Impl : std::enable_shared_from_this<KindWatcher::Impl> {
  KindStore* store = nullptr;
  std::string kind;
  Duration wait{0};
  Duration batch_delay{0};
  bool check_pending = false;
  Hooks hooks;
  QTimer timer;
  bool running = false;
  bool listed = false;
  bool failed = false;
  int vain_lists = 0;     ///< Lists in a row that no changes followed.
  int early_answers = 0;  ///< Answers in a row that were not waited for.
  StoreVersion version;
  std::int64_t latest_era = 0;     ///< Of the store, as heard of.
  std::uint64_t wait_number = 0;   ///< Of the waiting call that counts.
  std::uint64_t check_number = 0;  ///< Of the check that counts.
  Duration backoff = kInitialBackoff;
  Duration early_pause = kInitialBackoff;  ///< After the next early answer.

  void StartNextCall();
  void List();
  /// Abandons the calls in progress and lists.
  void ListAnew();
  void OnStoreEra(std::int64_t era);
  void Wait(Duration wait_time);
  void RestartWait();
  void OnList(const KindListing& listing, TimePoint requested_at);
  void OnChanges(const KindChanges& changes, Duration wait_time,
                 TimePoint requested_at);
  void OnHistoryGone();
  void Check();
  void OnCheck(const KindChanges& changes, TimePoint requested_at);
  void OnSuccess();
  void OnFailure();
  /// Starts the next call after `*delay`, with jitter, and doubles it.
  void StartLater(Duration* delay);
};

void KindWatcher::Impl::StartNextCall() {
  if (!running) return;
  const HandlerTimer handler_timer("a watch of the store");
  if (listed) {
    Wait(failed ? kProbeWait : wait);
  } else {
    List();
  }
}

void KindWatcher::Impl::List() {
  const auto requested_at = MonotonicNow();
  store->List(kind, [weak = weak_from_this(),
                     requested_at](const KindListing& listing) {
    const auto self = weak.lock();
    if (self && self->running) self->OnList(listing, requested_at);
  });
}

void KindWatcher::Impl::ListAnew() {
  listed = false;
  check_pending = false;
  ++wait_number;
  ++check_number;
  timer.stop();
  List();
}

void KindWatcher::Impl::OnStoreEra(std::int64_t era) {
  latest_era = std::max(latest_era, era);
  // A list in progress is compared with the latest era when it arrives.
  if (running && listed && version.era < latest_era) ListAnew();
}

void KindWatcher::Impl::Wait(Duration wait_time) {
  const auto requested_at = MonotonicNow();
  store->WaitForChanges(
      kind, version, wait_time,
      [weak = weak_from_this(), requested_at, wait_time,
       number = ++wait_number](const KindChanges& changes) {
        const auto self = weak.lock();
        if (!self || !self->running || self->wait_number != number) return;
        self->OnChanges(changes, wait_time, requested_at);
      });
}

void KindWatcher::Impl::RestartWait() {
  // Without a waiting call, the next one starts by itself soon.
  if (!running || !listed || timer.isActive()) return;
  Wait(kProbeWait);
}

void KindWatcher::Impl::OnList(const KindListing& listing,
                               TimePoint requested_at) {
  const bool is_obsolete = listing.version.era < latest_era;
  if (listing.status != StoreStatus::kOk || is_obsolete) return OnFailure();
  listed = true;
  ++vain_lists;
  version = listing.version;
  latest_era = version.era;
  if (vain_lists <= kMaxVainLists) backoff = kInitialBackoff;
  if (std::exchange(failed, false) && hooks.on_recovered) hooks.on_recovered();
  hooks.on_list(listing.objects, requested_at);
  StartNextCall();
}

void KindWatcher::Impl::OnChanges(const KindChanges& changes,
                                  Duration wait_time, TimePoint requested_at) {
  const bool is_ok = changes.status == StoreStatus::kOk;
  const bool is_next_era = is_ok && changes.version.era > version.era;
  if (changes.status == StoreStatus::kHistoryGone || is_next_era) {
    return OnHistoryGone();
  }
  if (!is_ok || changes.version.era < version.era) return OnFailure();
  const bool has_news = !changes.changes.empty() && changes.version > version;
  const bool is_early = !has_news && wait_time > kEarlyAnswer &&
                        MonotonicNow() - requested_at < kEarlyAnswer;
  version = std::max(version, changes.version);
  vain_lists = 0;
  early_answers = is_early ? early_answers + 1 : 0;
  OnSuccess();
  hooks.on_changes(changes.changes, changes.is_direct
                                        ? std::optional(requested_at)
                                        : std::nullopt);
  if (early_answers > kMaxEarlyAnswers) return StartLater(&early_pause);
  early_pause = kInitialBackoff;
  if (changes.changes.empty() || batch_delay == Duration(0)) {
    return StartNextCall();
  }
  timer.start(batch_delay);
}

void KindWatcher::Impl::OnHistoryGone() {
  if (vain_lists <= kMaxVainLists) return ListAnew();
  listed = false;
  StartLater(&backoff);
}

void KindWatcher::Impl::Check() {
  if (!running || !listed || std::exchange(check_pending, true)) return;
  const auto requested_at = MonotonicNow();
  store->WaitForChanges(kind, version, Duration(0),
                        [weak = weak_from_this(), requested_at,
                         number = ++check_number](const KindChanges& changes) {
                          const auto self = weak.lock();
                          if (!self || self->check_number != number) return;
                          self->check_pending = false;
                          if (!self->running) return;
                          self->OnCheck(changes, requested_at);
                        });
}

void KindWatcher::Impl::OnCheck(const KindChanges& changes,
                                TimePoint requested_at) {
  // The waiting call handles a lost history itself, but may be silent.
  if (changes.status == StoreStatus::kHistoryGone) return RestartWait();
  const bool is_ok = changes.status == StoreStatus::kOk;
  if (is_ok && changes.version.era > version.era) return ListAnew();
  if (!is_ok || changes.version.era < version.era) {
    failed = true;
    if (hooks.on_outage) hooks.on_outage();
    return;
  }
  OnSuccess();
  hooks.on_changes(changes.changes, changes.is_direct
                                        ? std::optional(requested_at)
                                        : std::nullopt);
}

void KindWatcher::Impl::OnSuccess() {
  backoff = kInitialBackoff;
  if (std::exchange(failed, false) && hooks.on_recovered) hooks.on_recovered();
}

void KindWatcher::Impl::OnFailure() {
  failed = true;
  if (hooks.on_outage) hooks.on_outage();
  StartLater(&backoff);
}

void KindWatcher::Impl::StartLater(Duration* delay) {
  const double jitter_factor =
      1.0 + kJitter * (QRandomGenerator::global()->generateDouble() - 0.5);
  timer.start(Duration(static_cast<std::int64_t>(
      static_cast<double>(delay->count()) * jitter_factor)));
  *delay = std::min(kMaxBackoff, *delay * 2);
}

KindWatcher::KindWatcher(KindStore* store, std::string kind, Duration wait,
                         Duration batch_delay, Hooks hooks)
    : impl_(std::make_shared<Impl>()) {
  impl_->store = store;
  impl_->kind = std::move(kind);
  impl_->wait = wait;
  impl_->batch_delay = batch_delay;
  impl_->hooks = std::move(hooks);
  impl_->timer.setSingleShot(true);
  auto* state = impl_.get();
  QObject::connect(&state->timer, &QTimer::timeout, &state->timer,
                   [state] { state->StartNextCall(); });
}

KindWatcher::~KindWatcher() { Stop(); }

void KindWatcher::Start() {
  impl_->running = true;
  impl_->StartNextCall();
}

void KindWatcher::CheckNow() { impl_->Check(); }

void KindWatcher::RestartWait() { impl_->RestartWait(); }

void KindWatcher::OnStoreEra(std::int64_t era) { impl_->OnStoreEra(era); }

void KindWatcher::Stop() {
  impl_->running = false;
  impl_->timer.stop();
}

}  // namespace firmoor
