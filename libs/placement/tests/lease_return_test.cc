#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "placement/fencing_number.h"
#include "placement/lease_elector.h"
#include "support/restorable_store.h"

namespace firmoor {
namespace {

constexpr const char* kLease = "lease";
constexpr TimePoint kStart{Duration(100'000)};
constexpr Duration kLifetime = LeaseTiming().lifetime;

/// Makes a call of an elector and passes it the answer.
void Make(const LeaseElector::Call& call, LeaseElector* elector,
          RestorableStore* store, TimePoint now) {
  if (call.is_write) {
    const auto answer = store->Write(kLease, call.expected, call.value);
    return elector->OnWrite(answer.status, answer.object.version, now);
  }
  const auto answer = store->Read(kLease);
  elector->OnRead(answer.status, answer.object, now);
}

/// Makes the calls of an elector that are due.
void Poll(LeaseElector* elector, RestorableStore* store, TimePoint now) {
  while (const auto call = elector->NextCall(now)) {
    Make(*call, elector, store, now);
  }
}

/// Polls an elector until `end` as a daemon does that looks for a coordinator.
/// Returns when it could first act.
std::optional<TimePoint> PollUntil(TimePoint end, LeaseElector* elector,
                                   RestorableStore* store, TimePoint now) {
  for (; now < end; now += Duration(50)) {
    Poll(elector, store, now);
    if (elector->MayOrderFenced(now)) return now;
  }
  return std::nullopt;
}

/// A store in its second era with the lease of a holder that is alive. The
/// first copy of the store has no lease.
struct ReturningStore {
  RestorableStore store;
  LeaseElector holder{"holder", {}};

  ReturningStore() {
    store.TakeSnapshot();
    holder.SetFirstStart(true);
    holder.SetHandoverState("state of the holder");
    Poll(&holder, &store, kStart);
    REQUIRE(holder.MayOrderFenced(kStart));
  }
  /// Another daemon takes the lease after the holder's has expired.
  void TakeBy(LeaseElector* other, TimePoint now) {
    Poll(other, &store, now - kLifetime);
    Poll(other, &store, now);
    REQUIRE(other->MayOrderFenced(now));
  }
};

}  // namespace

// Guards against a holder that acts beside another one: it goes on with a
// number that the store no longer knows (incident ONE).
TEST_CASE("a lease holder when the store returns from an older copy") {
  ReturningStore site;
  auto& holder = site.holder;
  auto& store = site.store;
  const auto number = holder.fencing();
  auto now = kStart + Duration(500);

  SUBCASE("stops when it hears of the era and takes the lease again") {
    SUBCASE("where it is absent") {}
    SUBCASE("where it is as an earlier renewal left it") {
      store.TakeSnapshot();
      now = kStart + Duration(1'500);
      Poll(&holder, &store, now);
    }
    SUBCASE("where another daemon held it") {
      store.TakeSnapshot();
      now += kLifetime;
      LeaseElector other("other", {});
      site.TakeBy(&other, now);
      now += kLifetime;
      Poll(&holder, &store, now - kLifetime);
      store.TakeSnapshot();
      Poll(&holder, &store, now);
    }
    SUBCASE("where it is unchanged") { store.TakeSnapshot(); }
    REQUIRE(holder.MayOrderFenced(now));
    const auto previous = holder.fencing();
    store.Restore();
    now += Duration(100);
    holder.ObserveEra(store.era(), now);
    CHECK(holder.IsHolder());
    CHECK_FALSE(holder.MayOrderFenced(now));
    CHECK_FALSE(holder.Clock(now));
    Poll(&holder, &store, now);
    CHECK(holder.MayOrderFenced(now));
    CHECK(holder.fencing() > previous);
    CHECK(EraOfFencing(holder.fencing()) == store.era());
    CHECK(holder.term_start() == now);
    CHECK(holder.TookOverAfterReturn());
    LeaseElector reader("reader", {});
    Poll(&reader, &store, now);
    CHECK(reader.seen_holder() == "holder");
    CHECK(reader.seen_handover_state() == "state of the holder");
  }
  SUBCASE("stops when its renewal meets the new era, and renews at once") {
    now = kStart + Duration(1'500);
    const auto renewal = holder.NextCall(now);
    REQUIRE(renewal);
    SUBCASE("and is refused") {}
    SUBCASE("and replaces a lease whose revision happens to be equal") {
      store.TakeSnapshot();
    }
    store.Restore();
    Make(*renewal, &holder, &store, now);
    CHECK(holder.IsHolder());
    CHECK_FALSE(holder.MayOrderFenced(now));
    Poll(&holder, &store, now);
    CHECK(holder.MayOrderFenced(now));
    CHECK(holder.fencing() > number);
  }
  SUBCASE("is an ordinary candidate once its old lease has expired") {
    store.Restore();
    now = kStart + kLifetime;
    holder.ObserveEra(store.era(), now);
    Poll(&holder, &store, now);
    CHECK_FALSE(holder.IsHolder());
    CHECK_FALSE(PollUntil(now + kLifetime, &holder, &store, now));
    CHECK(PollUntil(now + kLifetime + Duration(600), &holder, &store,
                    now + kLifetime));
  }
  SUBCASE("does not count a write that was answered in another era") {
    now = kStart + Duration(1'500);
    REQUIRE(holder.NextCall(now));
    holder.OnWrite(StoreStatus::kOk, {store.era() + 1, 1}, now);
    CHECK(holder.IsHolder());
    CHECK_FALSE(holder.MayOrderFenced(now));
  }
  SUBCASE("drops an answer of the earlier era") {
    now = kStart + Duration(1'500);
    const auto renewal = holder.NextCall(now);
    REQUIRE(renewal);
    const auto answer = store.Write(kLease, renewal->expected, renewal->value);
    store.Restore();
    holder.ObserveEra(store.era(), now);
    holder.OnWrite(answer.status, answer.object.version, now);
    CHECK_FALSE(holder.MayOrderFenced(now));
  }
}

// Guards against a second holder beside one that has not heard of the return
// (incident ONE).
TEST_CASE("a daemon that wants the lease in a new era") {
  ReturningStore site;
  auto& holder = site.holder;
  auto& store = site.store;
  LeaseElector other("other", {});

  SUBCASE("waits until holders of earlier eras can no longer act") {
    SUBCASE("where the lease is absent") {}
    SUBCASE("where an earlier holder left it") { store.TakeSnapshot(); }
    auto now = kStart + Duration(5'000);
    Poll(&holder, &store, now);
    store.Restore();
    const auto number = holder.fencing();
    // Reading the holder's clock tells when its lease was renewed, but not when
    // a renewal that the store has lost was.
    other.OnHolderClock(*holder.Clock(now), now);
    const auto taken = PollUntil(now + 2 * kLifetime, &other, &store, now);
    REQUIRE(taken);
    CHECK_FALSE(holder.MayOrderFenced(*taken));
    CHECK(other.fencing() > number);
    CHECK(other.TookOverAfterReturn());
  }
  SUBCASE("waits also if it knew the lease before") {
    auto now = kStart + Duration(5'900);
    Poll(&other, &store, kStart);
    Poll(&holder, &store, now);
    store.Restore();
    other.ObserveEra(store.era(), now);
    const auto taken = PollUntil(now + 2 * kLifetime, &other, &store, now);
    REQUIRE(taken);
    CHECK_FALSE(holder.MayOrderFenced(*taken));
  }
  SUBCASE("reads an obsolete lease again, which its holder takes soon") {
    const auto now = kStart + Duration(100);
    other.SetStagger(Duration(400));
    Poll(&other, &store, now);
    store.TakeSnapshot();
    store.Restore();
    other.ObserveEra(store.era(), now);
    CHECK_FALSE(other.NextCall(now + Duration(399)));
    const auto read = other.NextCall(now + Duration(400));
    REQUIRE(read);
    CHECK_FALSE(read->is_write);
    Make(*read, &other, &store, now + Duration(400));
    CHECK(other.NextCall(now + Duration(2'300)));
  }
  SUBCASE("does not wait for the era if it knows a holder of that era") {
    auto now = kStart + Duration(100);
    store.Restore();
    holder.ObserveEra(store.era(), now);
    Poll(&holder, &store, now);
    const auto taken = PollUntil(now + 2 * kLifetime, &other, &store, now);
    REQUIRE(taken);
    CHECK(*taken <= now + kLifetime + Duration(50));
    CHECK_FALSE(other.TookOverAfterReturn());
  }
}

TEST_CASE("an absent lease is taken at once") {
  RestorableStore store;
  LeaseElector elector("a", {});
  SUBCASE("at a store that never returned from a copy") {
    CHECK(elector.NextCall(kStart));
    elector.OnRead(StoreStatus::kNotFound, {}, kStart);
    const auto take = elector.NextCall(kStart);
    REQUIRE(take);
    CHECK(take->is_write);
    elector.OnWrite(StoreStatus::kOk, {0, 1}, kStart);
    CHECK(elector.fencing() == 1);
    CHECK_FALSE(elector.TookOverAfterReturn());
  }
  SUBCASE("when the whole system starts for the first time") {
    elector.SetFirstStart(true);
    Poll(&elector, &store, kStart);
    CHECK(elector.MayOrderFenced(kStart));
    CHECK_FALSE(elector.TookOverAfterReturn());
  }
  SUBCASE("but not after a return that followed the first start") {
    elector.SetFirstStart(true);
    elector.ObserveEra(store.era(), kStart);
    store.Restore();
    Poll(&elector, &store, kStart);
    CHECK_FALSE(elector.IsHolder());
  }
  SUBCASE("but not by a daemon that starts later") {
    CHECK_FALSE(PollUntil(kStart + kLifetime, &elector, &store, kStart));
  }
}

// Guards against two holders with one number: a write that was sent before the
// store returned is executed after it and replaces the lease, as the revision
// happens to be equal (incident ONE).
TEST_CASE("a late write of an earlier era replaces the lease") {
  RestorableStore store;
  LeaseElector late("late", {});
  late.SetFirstStart(true);
  Poll(&late, &store, kStart);
  auto now = kStart + Duration(1'500);
  store.TakeSnapshot();
  const auto write = late.NextCall(now);
  REQUIRE(write);
  late.OnWrite(StoreStatus::kUnavailable, {1, 0}, now + Duration(800));

  // The next holder's write gets the revision that the late one expects.
  store = RestorableStore();
  store.TakeSnapshot();
  store.Restore();
  LeaseElector holder("holder", {});
  now += Duration(10'000);
  Poll(&holder, &store, now - kLifetime);
  Poll(&holder, &store, now);
  REQUIRE(holder.MayOrderFenced(now));
  const auto number = holder.fencing();
  auto answer = store.Write(kLease, write->expected, write->value);
  REQUIRE(answer.status == StoreStatus::kUnavailable);

  SUBCASE("and its sender does not take it for its own") {
    Poll(&late, &store, now);
    CHECK_FALSE(late.IsHolder());
    CHECK_FALSE(PollUntil(now + kLifetime, &late, &store, now));
  }
  SUBCASE("and the holder takes it back with a higher number") {
    now += Duration(1'500);
    const auto renewal = holder.NextCall(now);
    REQUIRE(renewal);
    Make(*renewal, &holder, &store, now);
    CHECK(holder.IsHolder());
    CHECK_FALSE(holder.MayOrderFenced(now));
    Poll(&holder, &store, now);
    CHECK(holder.MayOrderFenced(now));
    CHECK(holder.fencing() > number);
  }
  SUBCASE("and the next holder, which never saw the number, has a higher one") {
    LeaseElector next("next", {});
    // It knows the clock of the sender, whose write is older than the lease.
    next.OnHolderClock({late.fencing(), kStart}, kStart);
    next.ObserveEra(store.era(), kStart);
    const auto taken = PollUntil(now + 2 * kLifetime, &next, &store, now);
    REQUIRE(taken);
    CHECK(*taken >= now + kLifetime);
    CHECK(next.fencing() > number);
  }
}

TEST_CASE("a fencing number") {
  SUBCASE("of era 0 counts terms, as in earlier releases") {
    CHECK(NextFencing(0, {0, 0}) == 1);
    CHECK(NextFencing(7, {0, 900}) == 8);
  }
  SUBCASE("holds the era and rises with the revision it replaces") {
    const auto first = NextFencing(7, {1, 0});
    CHECK(EraOfFencing(first) == 1);
    CHECK(EraOfFencing(7) == 0);
    CHECK(NextFencing(7, {1, 5}) > NextFencing(first, {1, 4}));
    CHECK(NextFencing(first + 9, {1, 5}) == first + 10);
    CHECK(NextFencing(NextFencing(7, {1, 1'000'000'000}), {2, 0}) >
          NextFencing(7, {1, 1'000'000'000}));
  }
  SUBCASE("is kept by every reader of JSON") {
    CHECK(NextFencing(0, {8'191, 1'000'000'000'000}) < std::int64_t{1} << 53);
  }
}

// Guards against a daemon that takes the lease on the word of an earlier era
// (incident ONE): a revision of that era may be another holder's by now.
TEST_CASE("an answer of an earlier era says nothing about the lease") {
  ReturningStore site;
  LeaseElector other("other", {});
  auto now = kStart + Duration(100);
  const auto read = other.NextCall(now);
  REQUIRE(read);
  REQUIRE_FALSE(read->is_write);
  RestorableStore::Answer late;
  SUBCASE("that tells the holder") { late = site.store.Read(kLease); }
  SUBCASE("that tells of no lease") { late.object.version = {1, 0}; }
  site.store.Restore();
  other.ObserveEra(late.object.version.era, now);
  other.ObserveEra(late.object.version.era + 1, now);
  other.OnRead(late.status, late.object, now);
  CHECK(other.seen_holder().empty());
  now += 3 * kLifetime;
  const auto next = other.NextCall(now);
  REQUIRE(next);
  CHECK_FALSE(next->is_write);
}

}  // namespace firmoor
