#include "dissemination/kind_relay.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <map>

#include "dissemination/staleness_monitor.h"
#include "platform/kind_watcher.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr Duration kWait{10'000};
constexpr Duration kMaxStaleness{1'250};
constexpr Duration kCheckPeriod{300};
const Endpoint kReader{"10.0.0.1", 80};
const Endpoint kSilentDaemon{"10.0.0.2", 80};
const Endpoint kOtherSilentDaemon{"10.0.0.3", 80};

/// In-memory store with one kind, which can be made unavailable.
class MemoryKindStore : public KindStore {
 public:
  void List(const std::string&,
            std::function<void(KindListing)> done) override {
    ++calls;
    Later(Duration(1), [this, done = std::move(done)] {
      if (is_unavailable) return done({});
      KindListing listing{StoreStatus::kOk, {0, revision}, {}};
      for (const auto& [name, object] : objects_) {
        listing.objects.push_back(object);
      }
      done(listing);
    });
  }
  void WaitForChanges(const std::string&, StoreVersion after, Duration wait,
                      std::function<void(KindChanges)> done) override {
    ++calls;
    Poll(after.revision, MonotonicNow() + wait, std::move(done));
  }
  void Put(const std::string& name, int value) {
    const KindObject object{name, QJsonObject{{"value", value}}};
    objects_[name] = object;
    changes_.emplace_back(++revision, KindChange{object, false});
  }

  bool is_unavailable = false;
  int calls = 0;
  std::int64_t revision = 10;

 private:
  void Later(Duration time, std::function<void()> work) {
    QTimer::singleShot(time, &context_, std::move(work));
  }
  void Poll(std::int64_t after, TimePoint end,
            std::function<void(KindChanges)> done) {
    Later(Duration(2), [this, after, end, done = std::move(done)] {
      if (is_unavailable) return done({});
      KindChanges result{StoreStatus::kOk, {0, revision}, {}};
      for (const auto& [at, change] : changes_) {
        if (at > after) result.changes.push_back(change);
      }
      const bool over = !result.changes.empty() || MonotonicNow() >= end;
      if (over) return done(result);
      Poll(after, end, done);
    });
  }

  QObject context_;
  std::map<std::string, KindObject> objects_;
  std::vector<std::pair<std::int64_t, KindChange>> changes_;
};

/// Relays that call each other; calls to other endpoints time out.
struct Network {
  std::map<Endpoint, KindRelay*> relays;
  QObject context;

  std::unique_ptr<KindRelay> Add(const Endpoint& endpoint, KindStore* store) {
    auto relay =
        KindRelay::Builder(store)
            .Kind({"kind", kMaxStaleness})
            .Peers([this](const Endpoint& peer, const QByteArray& request,
                          Duration timeout, PeerNode::Done done) {
              Call(peer, request, timeout, std::move(done));
            })
            .Build();
    relays[endpoint] = relay.get();
    return relay;
  }
  void Call(const Endpoint& peer, const QByteArray& request, Duration timeout,
            PeerNode::Done done) {
    const auto found = relays.find(peer);
    if (found == relays.end()) {
      QTimer::singleShot(timeout, &context, [done = std::move(done)] {
        done(PeerStatus::kNoResponse, {});
      });
      return;
    }
    found->second->Serve(request,
                         [done = std::move(done)](const QByteArray& response) {
                           done(PeerStatus::kOk, response);
                         });
  }
};

struct WatchResult {
  KindChanges last;
  int count = 0;
};

std::shared_ptr<WatchResult> Watch(KindRelay* relay, std::int64_t revision,
                                   Duration wait = kWait) {
  auto result = std::make_shared<WatchResult>();
  relay->WaitForChanges("kind", {0, revision}, wait,
                        [result](const KindChanges& changes) {
                          result->last = changes;
                          ++result->count;
                        });
  return result;
}

bool WaitForResult(const std::shared_ptr<WatchResult>& result, int timeout_ms) {
  return WaitUntil([&] { return result->count == 1; }, timeout_ms);
}

void ListOnce(KindRelay* relay) {
  bool listed = false;
  relay->List("kind", [&](const KindListing&) { listed = true; });
  REQUIRE(WaitUntil([&] { return listed; }));
}

struct Fixture {
  Network network;
  MemoryKindStore reader_store;
  MemoryKindStore relay_store;
  std::unique_ptr<KindRelay> reader = network.Add(kReader, &reader_store);
  std::unique_ptr<KindRelay> relay =
      network.Add({"10.0.0.9", 80}, &relay_store);

  Fixture() {
    ListOnce(reader.get());
    ListOnce(relay.get());
    relay_store.calls = 0;
    relay->SetSources({kReader, kSilentDaemon});
  }
  /// Makes a change that is visible through the source and through the store.
  void Put(int value) {
    reader_store.Put("a", value);
    relay_store.Put("a", value);
  }
};

}  // namespace

TEST_CASE("a relay with a source") {
  Fixture fixture;

  SUBCASE("receives a change at once, without a call to the store") {
    const auto reader_result = Watch(fixture.reader.get(), 10);
    const auto result = Watch(fixture.relay.get(), 10);
    RunFor(50);
    fixture.Put(1);
    REQUIRE(WaitForResult(result, 100));
    CHECK(result->last.status == StoreStatus::kOk);
    CHECK(result->last.version.revision == 11);
    REQUIRE(result->last.changes.size() == 1);
    CHECK(result->last.changes[0].object.content["value"] == 1);
    CHECK_FALSE(result->last.is_direct);
    CHECK(fixture.relay_store.calls == 0);
  }
  SUBCASE("answers a long poll without changes after a short wait") {
    const auto result = Watch(fixture.relay.get(), 10);
    REQUIRE(WaitForResult(result, 800));
    CHECK(result->last.changes.empty());
    CHECK(fixture.relay_store.calls == 0);
  }
  SUBCASE("calls the store when there is no wait") {
    const auto result = Watch(fixture.relay.get(), 10, Duration(0));
    REQUIRE(WaitForResult(result, 200));
    CHECK(result->last.is_direct);
    CHECK(fixture.relay_store.calls == 1);
  }
  SUBCASE("reads the store for revisions that the source no longer covers") {
    const auto result = Watch(fixture.relay.get(), 4);
    REQUIRE(WaitForResult(result, 200));
    CHECK(result->last.is_direct);
  }
}

TEST_CASE("a relay whose sources do not respond reads the store") {
  Fixture fixture;
  fixture.network.relays.clear();
  const auto result = Watch(fixture.relay.get(), 10);
  // Each source is tried for its maximum wait plus the response margin.
  RunFor(1'900);
  fixture.Put(1);
  REQUIRE(WaitForResult(result, 600));
  CHECK(result->last.is_direct);
  SUBCASE("and pauses when that fails too (store outage)") {
    // Until the backoffs of both sources have expired, so that this watch tries
    // them and the next one does not.
    RunFor(1'500);
    fixture.relay_store.is_unavailable = true;
    const auto failed = Watch(fixture.relay.get(), 11);
    REQUIRE(WaitForResult(failed, 2'500));
    CHECK(failed->last.status == StoreStatus::kUnavailable);
    const auto calls = fixture.relay_store.calls;
    const auto refused = Watch(fixture.relay.get(), 11);
    REQUIRE(WaitForResult(refused, 1'200));
    CHECK(refused->last.status == StoreStatus::kUnavailable);
    CHECK(fixture.relay_store.calls == calls);
  }
}

TEST_CASE(
    "a relay receives changes in time when only its source has lost the "
    "store") {
  Fixture fixture;
  // The source still responds, but its data grows stale.
  fixture.reader_store.is_unavailable = true;
  fixture.Put(1);
  const auto started = MonotonicNow();
  std::shared_ptr<WatchResult> result;
  do {
    result = Watch(fixture.relay.get(), 10);
    REQUIRE(WaitForResult(result, 3'000));
  } while (result->last.changes.empty());
  CHECK(result->last.is_direct);
  // Time for two more calls to the sources, one of which does not respond.
  CHECK(MonotonicNow() - started < kMaxStaleness + Duration(1'900));
}

// Guards against requests to upstreams that left (DRAIN): sources whose backoff
// ended while the next ones were silent were asked again before the store.
TEST_CASE("a relay asks each of its sources once before the store") {
  Fixture fixture;
  fixture.relay->SetSources({kReader, kSilentDaemon, kOtherSilentDaemon});
  fixture.network.relays.clear();
  fixture.Put(1);
  // Three times the longest poll and the margin for its response.
  const auto result = Watch(fixture.relay.get(), 10);
  REQUIRE(WaitForResult(result, 3'000));
  CHECK(result->last.is_direct);
}

// Guards against requests to upstreams that left (DRAIN): one source after the
// other was late, and nothing bounded the time that this took together.
TEST_CASE("a daemon whose sources are late hears of a change in time") {
  Fixture fixture;
  fixture.relay->SetSources({kReader, kSilentDaemon, kOtherSilentDaemon});
  KindWatcher::Hooks hooks;
  bool has_changed = false;
  hooks.on_list = [](const auto&, TimePoint) {};
  hooks.on_changes = [&](const auto& changes, std::optional<TimePoint>) {
    has_changed = has_changed || !changes.empty();
  };
  KindWatcher watcher(fixture.relay.get(), "kind", kWait, Duration(0), hooks);
  watcher.Start();
  StalenessMonitor monitor(KindRelay::MaxContactAge(kMaxStaleness));
  QTimer check;
  QObject::connect(&check, &QTimer::timeout, &check, [&] {
    const auto age = fixture.relay->StoreContactAge("kind");
    if (monitor.TakeDue(age, MonotonicNow())) watcher.CheckNow();
  });
  check.start(kCheckPeriod);
  RunFor(700);
  fixture.relay_store.calls = 0;

  SUBCASE("beside a source that has lost the store and silent ones") {
    fixture.reader_store.is_unavailable = true;
  }
  SUBCASE("beside silent ones only") { fixture.network.relays.clear(); }
  fixture.Put(1);
  const auto started = MonotonicNow();
  REQUIRE(WaitUntil([&] { return has_changed; }));
  CHECK(MonotonicNow() - started <
        KindRelay::MaxContactAge(kMaxStaleness) + 2 * kCheckPeriod);
  CHECK(fixture.relay_store.calls <= 4);
}

TEST_CASE("a daemon whose sources respond leaves the store alone") {
  Fixture fixture;
  const auto reader_result = Watch(fixture.reader.get(), 10);
  StalenessMonitor monitor(KindRelay::MaxContactAge(kMaxStaleness));
  const auto end = MonotonicNow() + Duration(4'000);
  while (MonotonicNow() < end) {
    const auto result = Watch(fixture.relay.get(), 10);
    REQUIRE(WaitForResult(result, 1'000));
    const auto age = fixture.relay->StoreContactAge("kind");
    CHECK_FALSE(monitor.TakeDue(age, MonotonicNow()));
  }
}

TEST_CASE(
    "a store reader refreshes its contact with the store when it is polled") {
  Fixture fixture;
  const auto reader_result = Watch(fixture.reader.get(), 10);
  for (int i = 0; i < 5; ++i) {
    const auto result = Watch(fixture.relay.get(), 10);
    REQUIRE(WaitForResult(result, 1'000));
    CHECK_FALSE(result->last.is_direct);
  }
  CHECK(fixture.relay_store.calls == 0);
  // One list, one long poll, and a refresh every 0.7 s.
  CHECK(fixture.reader_store.calls <= 6);
}

TEST_CASE("a malformed request gets an empty response") {
  Fixture fixture;
  QByteArray response("unset");
  fixture.reader->Serve("torn",
                        [&](const QByteArray& bytes) { response = bytes; });
  CHECK(response.isEmpty());
}

}  // namespace firmoor
