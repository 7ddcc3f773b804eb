#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "placement/lease_elector.h"

namespace firmoor {
namespace {

constexpr TimePoint kStart{Duration(100'000)};
constexpr LeaseTiming kTiming{Duration(3'000), Duration(1'000), Duration(700)};

LeaseElector MakeElector(const char* daemon, const char* instance) {
  LeaseElector elector(daemon, kTiming);
  elector.SetInstance(instance);
  return elector;
}

/// Reads the lease `value` at revision `revision`.
void Read(LeaseElector* elector, const QByteArray& value, std::int64_t revision,
          TimePoint now) {
  const auto call = elector->NextCall(now);
  REQUIRE(call);
  REQUIRE(!call->is_write);
  StoredObject object;
  object.value = value;
  object.version = {0, revision};
  elector->OnRead(StoreStatus::kOk, object, now);
}

}  // namespace

// Guards against a daemon that acts by a lease which it has not renewed, or
// which was handed to an earlier process of its name (issue 46).
TEST_CASE("a lease that is handed over") {
  auto holder = MakeElector("a", "a/1");
  auto now = kStart;
  const auto read = holder.NextCall(now);
  REQUIRE(read);
  holder.OnRead(StoreStatus::kNotFound, {}, now);
  const auto write = holder.NextCall(now);
  REQUIRE(write);
  holder.OnWrite(StoreStatus::kOk, {0, 1}, now);
  CHECK(!holder.HandOver({"b", "b/1"}, now));
  now += kTiming.lifetime;
  CHECK(!holder.HandOver({"b", "b/1"}, now));
  REQUIRE(holder.NextCall(now));
  holder.OnWrite(StoreStatus::kOk, {0, 2}, now);
  const auto handed = holder.HandOver({"b", "b/1"}, now);
  REQUIRE(handed);
  CHECK(!holder.IsHolder());
  CHECK(!holder.MayOrderFenced(now));

  SUBCASE("is used after its renewal only") {
    auto next = MakeElector("b", "b/1");
    next.ExpectLease(now);
    Read(&next, handed->value, 3, now);
    CHECK(next.IsHolder());
    CHECK(!next.MayOrderFenced(now));
    const auto renewal = next.NextCall(now);
    REQUIRE(renewal);
    CHECK(renewal->is_write);
    next.OnWrite(StoreStatus::kOk, {0, 4}, now);
    CHECK(next.MayOrderFenced(now));
    CHECK(next.WasHandedOver());
    CHECK(next.fencing() > holder.fencing());
  }
  SUBCASE("is not used by another process of the same name") {
    auto next = MakeElector("b", "b/2");
    Read(&next, handed->value, 3, now);
    CHECK(!next.IsHolder());
  }
  SUBCASE("is taken back with a new number if the write did not happen") {
    const auto fencing = holder.fencing();
    holder.OnWrite(StoreStatus::kUnavailable, {}, now);
    CHECK(!holder.MayOrderFenced(now));
    now += Duration(500);
    Read(&holder, write->value, 2, now);
    CHECK(!holder.MayOrderFenced(now));
    const auto again = holder.NextCall(now);
    REQUIRE(again);
    CHECK(again->is_write);
    holder.OnWrite(StoreStatus::kOk, {0, 3}, now);
    CHECK(holder.MayOrderFenced(now));
    CHECK(holder.fencing() > fencing + 1);
  }
  SUBCASE("is not taken back if the write happened without an answer") {
    holder.OnWrite(StoreStatus::kUnavailable, {}, now);
    now += Duration(500);
    Read(&holder, handed->value, 3, now);
    CHECK(!holder.IsHolder());
    CHECK(holder.seen_holder() == "b");
    const auto next = holder.NextCall(now + Duration(600));
    CHECK((!next || !next->is_write));
  }
}

// Guards against a draining daemon that finds the next coordinator seconds
// late, since it does not read the lease while it leaves it to others.
TEST_CASE("a daemon that leaves an expired lease to others") {
  auto holder = MakeElector("a", "a/1");
  REQUIRE(holder.NextCall(kStart));
  holder.OnRead(StoreStatus::kNotFound, {}, kStart);
  const auto lease = holder.NextCall(kStart);
  REQUIRE(lease);
  auto other = MakeElector("b", "b/1");
  other.SetTakeoverDelay(kTiming.lifetime);
  Duration stagger(0);
  SUBCASE("in a small fleet") {}
  SUBCASE("in a large fleet") { stagger = Duration(400); }
  other.SetStagger(stagger);
  Read(&other, lease->value, 1, kStart);

  const auto expired = kStart + kTiming.lifetime + stagger;
  auto now = kStart;
  auto last_read = expired;
  std::optional<LeaseElector::Call> write;
  while (!write && now < expired + 2 * kTiming.lifetime) {
    now += Duration(10);
    const auto call = other.NextCall(now);
    if (!call) continue;
    if (call->is_write) {
      write = call;
      break;
    }
    CHECK(now - std::max(last_read, expired) <= Duration(500));
    last_read = now;
    StoredObject object;
    object.value = lease->value;
    object.version = {0, 1};
    other.OnRead(StoreStatus::kOk, object, now);
  }
  REQUIRE(write);
  CHECK(now - last_read <= Duration(500));
  CHECK(now >= expired + kTiming.lifetime);
  CHECK(now <= expired + kTiming.lifetime + Duration(500));
}

}  // namespace firmoor
