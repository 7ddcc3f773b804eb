#include "dissemination/kind_relay.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <map>

#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr Duration kWait{10'000};
constexpr Duration kStale{1'250};
const Endpoint kReader{"10.0.0.1", 80};
const Endpoint kOther{"10.0.0.2", 80};

/// The platform's store with one kind, which can be cut off for a reader.
class MemoryKinds : public KindStore {
 public:
  void List(const std::string&,
            std::function<void(KindListing)> done) override {
    ++calls;
    Later(Duration(1), [this, done = std::move(done)] {
      if (away) return done({});
      KindListing listing{StoreStatus::kOk, revision, {}};
      for (const auto& [name, object] : objects_) {
        listing.objects.push_back(object);
      }
      done(listing);
    });
  }
  void WaitForChanges(const std::string&, std::int64_t after, Duration wait,
                      std::function<void(KindChanges)> done) override {
    ++calls;
    Poll(after, MonotonicNow() + wait, std::move(done));
  }
  void Put(const std::string& name, int value) {
    const KindObject object{name, QJsonObject{{"value", value}}};
    objects_[name] = object;
    changes_.emplace_back(++revision, KindChange{object, false});
  }

  bool away = false;
  int calls = 0;
  std::int64_t revision = 10;

 private:
  void Later(Duration time, std::function<void()> work) {
    QTimer::singleShot(time, &context_, std::move(work));
  }
  void Poll(std::int64_t after, TimePoint end,
            std::function<void(KindChanges)> done) {
    Later(Duration(2), [this, after, end, done = std::move(done)] {
      if (away) return done({});
      KindChanges answer{StoreStatus::kOk, revision, {}};
      for (const auto& [at, change] : changes_) {
        if (at > after) answer.changes.push_back(change);
      }
      const bool over = !answer.changes.empty() || MonotonicNow() >= end;
      if (over) return done(answer);
      Poll(after, end, done);
    });
  }

  QObject context_;
  std::map<std::string, KindObject> objects_;
  std::vector<std::pair<std::int64_t, KindChange>> changes_;
};

/// Relays that call each other, and some that are silent.
struct Network {
  std::map<Endpoint, KindRelay*> relays;
  QObject context;

  std::unique_ptr<KindRelay> Add(const Endpoint& endpoint, KindStore* store) {
    auto relay = KindRelay::Builder(store)
                     .Kind({"kind", kStale})
                     .Peers([this](const Endpoint& peer, const QByteArray& ask,
                                   Duration timeout, PeerNode::Done done) {
                       Call(peer, ask, timeout, std::move(done));
                     })
                     .Build();
    relays[endpoint] = relay.get();
    return relay;
  }
  void Call(const Endpoint& peer, const QByteArray& ask, Duration timeout,
            PeerNode::Done done) {
    const auto found = relays.find(peer);
    if (found == relays.end()) {
      QTimer::singleShot(timeout, &context, [done = std::move(done)] {
        done(PeerStatus::kNoAnswer, {});
      });
      return;
    }
    found->second->Serve(ask,
                         [done = std::move(done)](const QByteArray& answer) {
                           done(PeerStatus::kOk, answer);
                         });
  }
};

struct Watched {
  KindChanges last;
  int answers = 0;
};

std::shared_ptr<Watched> Watch(KindRelay* relay, std::int64_t revision,
                               Duration wait = kWait) {
  auto watched = std::make_shared<Watched>();
  relay->WaitForChanges("kind", revision, wait,
                        [watched](const KindChanges& changes) {
                          watched->last = changes;
                          ++watched->answers;
                        });
  return watched;
}

bool IsAnswered(const std::shared_ptr<Watched>& watched, int timeout_ms) {
  return WaitUntil([&] { return watched->answers == 1; }, timeout_ms);
}

void ListOnce(KindRelay* relay) {
  bool listed = false;
  relay->List("kind", [&](const KindListing&) { listed = true; });
  REQUIRE(WaitUntil([&] { return listed; }));
}

struct Fixture {
  Network network;
  MemoryKinds readers_store;
  MemoryKinds own_store;
  std::unique_ptr<KindRelay> reader = network.Add(kReader, &readers_store);
  std::unique_ptr<KindRelay> own = network.Add({"10.0.0.9", 80}, &own_store);

  Fixture() {
    ListOnce(reader.get());
    ListOnce(own.get());
    own_store.calls = 0;
    own->SetSources({kReader, kOther});
  }
  /// A change that both ways to the store show.
  void Put(int value) {
    readers_store.Put("a", value);
    own_store.Put("a", value);
  }
};

}  // namespace

TEST_CASE("a daemon that reads from another one") {
  Fixture fixture;

  SUBCASE("hears of a change at once, without a call to the store") {
    const auto reading = Watch(fixture.reader.get(), 10);
    const auto watched = Watch(fixture.own.get(), 10);
    RunFor(50);
    fixture.Put(1);
    REQUIRE(IsAnswered(watched, 100));
    CHECK(watched->last.status == StoreStatus::kOk);
    CHECK(watched->last.revision == 11);
    REQUIRE(watched->last.changes.size() == 1);
    CHECK(watched->last.changes[0].object.content["value"] == 1);
    CHECK_FALSE(watched->last.is_direct);
    CHECK(fixture.own_store.calls == 0);
  }
  SUBCASE("waits no longer than a moment for nothing") {
    const auto watched = Watch(fixture.own.get(), 10);
    REQUIRE(IsAnswered(watched, 800));
    CHECK(watched->last.changes.empty());
    CHECK(fixture.own_store.calls == 0);
  }
  SUBCASE("asks the store itself for a proof") {
    const auto watched = Watch(fixture.own.get(), 10, Duration(0));
    REQUIRE(IsAnswered(watched, 200));
    CHECK(watched->last.is_direct);
    CHECK(fixture.own_store.calls == 1);
  }
  SUBCASE("asks the store for what the other one has forgotten") {
    const auto watched = Watch(fixture.own.get(), 4);
    REQUIRE(IsAnswered(watched, 200));
    CHECK(watched->last.is_direct);
  }
}

TEST_CASE("a daemon whose sources are silent asks the store") {
  Fixture fixture;
  fixture.network.relays.clear();
  const auto watched = Watch(fixture.own.get(), 10);
  // Each source is given up after its wait and the time for its answer.
  RunFor(1'900);
  fixture.Put(1);
  REQUIRE(IsAnswered(watched, 600));
  CHECK(watched->last.is_direct);
  SUBCASE("and not again for a moment when that fails too (store away)") {
    fixture.own_store.away = true;
    const auto failed = Watch(fixture.own.get(), 11);
    REQUIRE(IsAnswered(failed, 2'500));
    CHECK(failed->last.status == StoreStatus::kUnavailable);
    const auto calls = fixture.own_store.calls;
    const auto refused = Watch(fixture.own.get(), 11);
    REQUIRE(IsAnswered(refused, 1'200));
    CHECK(refused->last.status == StoreStatus::kUnavailable);
    CHECK(fixture.own_store.calls == calls);
  }
}

TEST_CASE("a daemon hears in time when only its source has lost the store") {
  Fixture fixture;
  // The source goes on answering, but nothing that it knows is recent.
  fixture.readers_store.away = true;
  fixture.Put(1);
  const auto started = MonotonicNow();
  std::shared_ptr<Watched> watched;
  do {
    watched = Watch(fixture.own.get(), 10);
    REQUIRE(IsAnswered(watched, 3'000));
  } while (watched->last.changes.empty());
  CHECK(watched->last.is_direct);
  // Two more waits at the sources, one of which is silent.
  CHECK(MonotonicNow() - started < kStale + Duration(1'900));
}

TEST_CASE("a reader that is asked keeps its knowledge of the store recent") {
  Fixture fixture;
  const auto reading = Watch(fixture.reader.get(), 10);
  for (int i = 0; i < 5; ++i) {
    const auto watched = Watch(fixture.own.get(), 10);
    REQUIRE(IsAnswered(watched, 1'000));
    CHECK_FALSE(watched->last.is_direct);
  }
  CHECK(fixture.own_store.calls == 0);
  // One list, one wait, and a question each 0.7 s.
  CHECK(fixture.readers_store.calls <= 6);
}

TEST_CASE("an ask that cannot be served is answered with nothing") {
  Fixture fixture;
  QByteArray answer("unset");
  fixture.reader->Serve("torn",
                        [&](const QByteArray& bytes) { answer = bytes; });
  CHECK(answer.isEmpty());
}

}  // namespace firmoor
