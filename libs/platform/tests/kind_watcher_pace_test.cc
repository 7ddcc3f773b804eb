#include <doctest/doctest.h>

#include <QMetaObject>
#include <QObject>
#include <string>

#include "platform/kind_watcher.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr Duration kWait{10'000};
constexpr int kRunMs = 1'000;
// The calls of a backoff from 50 ms on, with jitter, within `kRunMs`, and the
// few that are made without a pause.
constexpr int kMaxCalls = 20;

/// Store that answers each call with the next turn of the event loop.
class InstantStore : public KindStore {
 public:
  void List(const std::string&,
            std::function<void(KindListing)> done) override {
    ++calls;
    Later([this, done = std::move(done)] { done(listing); });
  }
  void WaitForChanges(const std::string&, StoreVersion, Duration,
                      std::function<void(KindChanges)> done) override {
    ++calls;
    if (is_silent) return;
    Later([this, done = std::move(done)] { done(changes); });
  }

  KindListing listing{StoreStatus::kOk, {1, 7}, {{"a", {}}}};
  KindChanges changes;
  bool is_silent = false;
  int calls = 0;

 private:
  void Later(std::function<void()> work) {
    QMetaObject::invokeMethod(&context_, std::move(work), Qt::QueuedConnection);
  }

  QObject context_;
};

}  // namespace

// Guards against a process that spins, or floods the store and the daemons that
// it reads from (FAULT): a watcher went on at once, whatever it was answered.
TEST_CASE("a watcher whose calls are answered at once pauses") {
  InstantStore store;
  KindWatcher::Hooks hooks;
  hooks.on_list = [](const auto&, TimePoint) {};
  hooks.on_changes = [](const auto&, std::optional<TimePoint>) {};

  SUBCASE("without changes") { store.changes = {StoreStatus::kOk, {1, 7}, {}}; }
  SUBCASE("without changes, by another daemon") {
    store.changes = {StoreStatus::kOk, {1, 7}, {}, false};
  }
  SUBCASE("with changes of the version that it has") {
    store.changes = {StoreStatus::kOk, {1, 7}, {{{"a", {}}, false}}};
  }
  SUBCASE("with changes of an earlier version") {
    store.changes = {StoreStatus::kOk, {1, 3}, {{{"a", {}}, false}}};
  }
  SUBCASE("by a refusal") {
    store.changes = {StoreStatus::kUnavailable, {1, 0}, {}};
  }
  SUBCASE("by an answer of an earlier era") {
    store.changes = {StoreStatus::kOk, {0, 9}, {}};
  }
  SUBCASE("by an answer of an era that no list is of") {
    store.changes = {StoreStatus::kOk, {2, 9}, {}};
  }
  SUBCASE("by a history that is gone") {
    store.changes = {StoreStatus::kHistoryGone, {1, 0}, {}};
  }
  SUBCASE("by lists that fail") { store.listing = {}; }
  SUBCASE("by a list, and then never") { store.is_silent = true; }

  KindWatcher watcher(&store, "kind", kWait, Duration(0), hooks);
  watcher.Start();
  RunFor(kRunMs);
  CHECK(store.calls <= kMaxCalls);
}

// Guards against changes that arrive late because of pauses that only calls
// without news should have.
TEST_CASE("a watcher whose calls bring changes at once does not pause") {
  InstantStore store;
  int changed = 0;
  KindWatcher::Hooks hooks;
  hooks.on_list = [](const auto&, TimePoint) {};
  hooks.on_changes = [&](const auto&, std::optional<TimePoint>) {
    store.is_silent = ++changed == 100;
    ++store.changes.version.revision;
  };
  store.changes = {StoreStatus::kOk, {1, 8}, {{{"a", {}}, false}}};
  KindWatcher watcher(&store, "kind", kWait, Duration(0), hooks);
  watcher.Start();
  CHECK(WaitUntil([&] { return changed == 100; }, kRunMs));
}

}  // namespace firmoor
