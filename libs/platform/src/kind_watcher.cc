#include "platform/kind_watcher.h"

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

// Pauses between failed calls: short at first, since a lost connection is
// mostly back at once, and long enough to spare a store that is overloaded.
constexpr Duration kFirstPause{50};
constexpr Duration kLongestPause{800};
// Pauses are spread by half, so that daemons that lost the store together do
// not return together.
constexpr double kJitter = 0.5;
// Wait for changes after a failure: an answer at once tells how things stand.
constexpr Duration kSoon{1};

}  // namespace

struct KindWatcher::Impl : std::enable_shared_from_this<KindWatcher::Impl> {
  KindStore* store = nullptr;
  std::string kind;
  Duration wait{0};
  Duration rest{0};
  bool checking = false;
  Hooks hooks;
  QTimer timer;
  bool running = false;
  bool listed = false;
  bool failed = false;
  std::int64_t revision = 0;
  Duration pause = kFirstPause;

  void Next();
  void List();
  void Wait();
  void OnList(const KindListing& listing, TimePoint asked_at);
  void OnChanges(const KindChanges& changes, TimePoint asked_at);
  void Check();
  void OnCheck(const KindChanges& changes, TimePoint asked_at);
  void OnGood();
  void OnFailed();
};

void KindWatcher::Impl::Next() {
  if (!running) return;
  if (listed) {
    Wait();
  } else {
    List();
  }
}

void KindWatcher::Impl::List() {
  const auto asked_at = MonotonicNow();
  store->List(kind,
              [weak = weak_from_this(), asked_at](const KindListing& listing) {
                const auto self = weak.lock();
                if (self && self->running) self->OnList(listing, asked_at);
              });
}

void KindWatcher::Impl::Wait() {
  const auto asked_at = MonotonicNow();
  const auto wait_now = failed ? kSoon : wait;
  store->WaitForChanges(
      kind, revision, wait_now,
      [weak = weak_from_this(), asked_at](const KindChanges& changes) {
        const auto self = weak.lock();
        if (self && self->running) self->OnChanges(changes, asked_at);
      });
}

void KindWatcher::Impl::OnList(const KindListing& listing, TimePoint asked_at) {
  if (listing.status != StoreStatus::kOk) return OnFailed();
  listed = true;
  revision = listing.revision;
  OnGood();
  hooks.on_list(listing.objects, asked_at);
  Next();
}

void KindWatcher::Impl::OnChanges(const KindChanges& changes,
                                  TimePoint asked_at) {
  if (changes.status == StoreStatus::kHistoryGone) {
    listed = false;
    return Next();
  }
  if (changes.status != StoreStatus::kOk) return OnFailed();
  revision = std::max(revision, changes.revision);
  OnGood();
  hooks.on_changes(changes.changes,
                   changes.is_direct ? std::optional(asked_at) : std::nullopt);
  if (changes.changes.empty() || rest == Duration(0)) return Next();
  timer.start(rest);
}

void KindWatcher::Impl::Check() {
  if (!running || !listed || std::exchange(checking, true)) return;
  const auto asked_at = MonotonicNow();
  store->WaitForChanges(
      kind, revision, Duration(0),
      [weak = weak_from_this(), asked_at](const KindChanges& changes) {
        const auto self = weak.lock();
        if (!self) return;
        self->checking = false;
        if (self->running) self->OnCheck(changes, asked_at);
      });
}

void KindWatcher::Impl::OnCheck(const KindChanges& changes,
                                TimePoint asked_at) {
  // The call that waits goes on, and deals with what this one cannot.
  if (changes.status == StoreStatus::kHistoryGone) return;
  if (changes.status != StoreStatus::kOk) {
    failed = true;
    if (hooks.on_outage) hooks.on_outage();
    return;
  }
  OnGood();
  hooks.on_changes(changes.changes,
                   changes.is_direct ? std::optional(asked_at) : std::nullopt);
}

void KindWatcher::Impl::OnGood() {
  pause = kFirstPause;
  if (std::exchange(failed, false) && hooks.on_recovered) hooks.on_recovered();
}

void KindWatcher::Impl::OnFailed() {
  failed = true;
  if (hooks.on_outage) hooks.on_outage();
  const double spread =
      1.0 + kJitter * (QRandomGenerator::global()->generateDouble() - 0.5);
  timer.start(Duration(
      static_cast<std::int64_t>(static_cast<double>(pause.count()) * spread)));
  pause = std::min(kLongestPause, pause * 2);
}

KindWatcher::KindWatcher(KindStore* store, std::string kind, Duration wait,
                         Duration rest, Hooks hooks)
    : impl_(std::make_shared<Impl>()) {
  impl_->store = store;
  impl_->kind = std::move(kind);
  impl_->wait = wait;
  impl_->rest = rest;
  impl_->hooks = std::move(hooks);
  impl_->timer.setSingleShot(true);
  auto* state = impl_.get();
  QObject::connect(&state->timer, &QTimer::timeout, &state->timer,
                   [state] { state->Next(); });
}

KindWatcher::~KindWatcher() { Stop(); }

void KindWatcher::Start() {
  impl_->running = true;
  impl_->Next();
}

void KindWatcher::CheckNow() { impl_->Check(); }

void KindWatcher::Stop() {
  impl_->running = false;
  impl_->timer.stop();
}

}  // namespace firmoor
