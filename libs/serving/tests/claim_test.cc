#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "serving/claim_batcher.h"
#include "serving/claim_slot.h"

namespace firmoor {
namespace {

Claim MakeClaim(const std::string& key, const std::string& attempt,
                const std::string& body = "body") {
  Claim claim;
  claim.key = key;
  claim.body = body;
  claim.attempt = attempt;
  claim.owner = "owner-of-" + attempt;
  return claim;
}

Claim Ended(Claim claim, ClaimState state) {
  claim.state = state;
  claim.status = 200;
  claim.answer = "answer of " + claim.attempt;
  claim.answer_kept = true;
  return claim;
}

/// Daemons that claim keys in one slot, a store that delays, loses and shows
/// old versions, all in virtual time.
class ClaimWorld {
 public:
  explicit ClaimWorld(int daemons)
      : daemons_(static_cast<std::size_t>(daemons)) {
    history_.push_back({});
  }

  /// One random event.
  void Step() {
    now_ += Duration(*rc::gen::inRange(1, 60));
    const int what = *rc::gen::inRange(0, 100);
    const auto at = static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(daemons_.size())));
    if (what < 30) {
      StartAttempt(at);
    } else if (what < 65) {
      DeliverOne();
    } else if (what < 70) {
      Crash(at);
    } else if (what < 74) {
      daemons_[at].frozen = !daemons_[at].frozen;
    } else if (what < 90) {
      RunOne(at);
    }
    for (auto& daemon : daemons_) Advance(&daemon);
  }

  /// No more faults: everything in flight arrives.
  void Settle() {
    faults_ = false;
    for (int i = 0; i < 400; ++i) {
      now_ += Duration(50);
      for (auto& daemon : daemons_) {
        daemon.frozen = false;
        Advance(&daemon);
      }
      DeliverOne();
      for (std::size_t at = 0; at < daemons_.size(); ++at) RunOne(at);
    }
  }

  void Check() const {
    for (const auto& [key, runs] : runs_) RC_ASSERT(runs <= 1);
    for (const auto& attempt : not_run_) RC_ASSERT(!ran_.contains(attempt));
  }
  void CheckSettled() const {
    for (const auto& daemon : daemons_) {
      RC_ASSERT(!daemon.batcher->HasWork());
    }
  }

 private:
  struct Daemon {
    std::unique_ptr<ClaimBatcher> batcher =
        // Seals often, so that segments take part.
        std::make_unique<ClaimBatcher>(300);
    std::map<std::uint64_t, Claim> asked;
    std::deque<Claim> granted;
    int life = 0;
    bool frozen = false;
  };
  struct InFlight {
    std::size_t daemon;
    int life;
    ClaimBatcher::StoreCall call;
  };

  void StartAttempt(std::size_t at) {
    auto& daemon = daemons_[at];
    if (daemon.frozen) return;
    const auto id = next_id_++;
    const auto key = fmt::format("key{}", *rc::gen::inRange(0, 6));
    const auto claim = MakeClaim(key, fmt::format("attempt{}", id));
    daemon.asked[id] = claim;
    daemon.batcher->Claim(id, claim, now_ + Duration(500));
  }

  void Advance(Daemon* daemon) {
    if (daemon->frozen) return;
    for (const auto& decided : daemon->batcher->TakeDecided(now_)) {
      Take(daemon, decided);
    }
    if (const auto call = daemon->batcher->NextCall(now_, 0)) {
      flights_.push_back({static_cast<std::size_t>(daemon - daemons_.data()),
                          daemon->life, *call});
    }
    for (const auto& decided : daemon->batcher->TakeDecided(now_)) {
      Take(daemon, decided);
    }
  }

  void Take(Daemon* daemon, const ClaimBatcher::Decided& decided) {
    const auto claim = daemon->asked.at(decided.id);
    daemon->asked.erase(decided.id);
    if (decided.verdict == ClaimVerdict::kGranted) {
      daemon->granted.push_back(claim);
      return;
    }
    not_run_.insert(claim.attempt);
    if (decided.verdict == ClaimVerdict::kReplay) {
      RC_ASSERT(decided.claim.answer == "answer of " + ran_key_[claim.key]);
    }
  }

  /// The next grant of a daemon is sent to the upstream, or given back.
  void RunOne(std::size_t at) {
    auto& daemon = daemons_[at];
    if (daemon.frozen || daemon.granted.empty()) return;
    const auto claim = daemon.granted.front();
    daemon.granted.pop_front();
    const int fate = faults_ ? *rc::gen::inRange(0, 10) : 9;
    if (fate < 2) {
      not_run_.insert(claim.attempt);
      return daemon.batcher->Record(0, Ended(claim, ClaimState::kNotRun), now_);
    }
    ++runs_[claim.key];
    ran_.insert(claim.attempt);
    ran_key_[claim.key] = claim.attempt;
    const auto state = fate < 4 ? ClaimState::kUnknown : ClaimState::kDone;
    daemon.batcher->Record(0, Ended(claim, state), now_);
  }

  void Crash(std::size_t at) {
    auto& daemon = daemons_[at];
    const int life = daemon.life + 1;
    daemon = Daemon();
    daemon.life = life;
  }

  /// A call in flight reaches the store, in any order; its answer may be
  /// lost, before or after the effect.
  void DeliverOne() {
    if (flights_.empty()) return;
    const auto index = faults_ ? static_cast<std::size_t>(*rc::gen::inRange(
                                     0, static_cast<int>(flights_.size())))
                               : 0;
    const auto flight = flights_[index];
    flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(index));
    const int luck = faults_ ? *rc::gen::inRange(0, 10) : 9;
    auto& daemon = daemons_[flight.daemon];
    const bool hears = daemon.life == flight.life;
    if (luck == 0) {
      // The answer is given up on; the call itself may arrive much later.
      if (hears) Answer(&daemon, flight.call, StoreStatus::kUnavailable, 0);
      auto late = flight;
      late.life = -1;
      flights_.push_back(late);
      return;
    }
    if (!flight.call.segment.empty()) return DeliverSegment(flight, luck);
    if (!flight.call.is_write) {
      if (!hears) return;
      const bool stale = luck <= 2 && history_.size() > 1;
      const auto version = history_.size() - (stale ? 2 : 1);
      return daemon.batcher->OnRead(
          version == 0 ? StoreStatus::kNotFound : StoreStatus::kOk,
          {static_cast<std::int64_t>(version), history_[version]}, now_);
    }
    const auto current = static_cast<std::int64_t>(history_.size()) - 1;
    if (flight.call.expected != current) {
      if (hears) {
        Answer(&daemon, flight.call, StoreStatus::kConflict, current);
      }
      return;
    }
    history_.push_back(flight.call.value);
    if (!hears) return;
    const bool lost = luck == 3;
    Answer(&daemon, flight.call,
           lost ? StoreStatus::kUnavailable : StoreStatus::kOk, current + 1);
  }

  void DeliverSegment(const InFlight& flight, int luck) {
    auto& daemon = daemons_[flight.daemon];
    const bool hears = daemon.life == flight.life;
    const auto found = segments_.find(flight.call.segment);
    if (!flight.call.is_write) {
      if (!hears) return;
      const bool there = found != segments_.end() && luck > 2;
      return daemon.batcher->OnRead(
          there ? StoreStatus::kOk : StoreStatus::kNotFound,
          there ? StoredObject{1, found->second} : StoredObject(), now_);
    }
    if (found != segments_.end()) {
      RC_ASSERT(found->second == flight.call.value);
      if (hears) daemon.batcher->OnWrite(StoreStatus::kConflict, 1, now_);
      return;
    }
    segments_[flight.call.segment] = flight.call.value;
    if (!hears) return;
    daemon.batcher->OnWrite(
        luck == 3 ? StoreStatus::kUnavailable : StoreStatus::kOk, 1, now_);
  }

  void Answer(Daemon* daemon, const ClaimBatcher::StoreCall& call,
              StoreStatus status, std::int64_t version) {
    if (call.is_write) {
      daemon->batcher->OnWrite(status, version, now_);
    } else {
      daemon->batcher->OnRead(status, {}, now_);
    }
  }

  TimePoint now_{Duration(1'000'000)};
  std::vector<Daemon> daemons_;
  std::vector<InFlight> flights_;
  std::vector<QByteArray> history_;
  std::map<std::string, QByteArray> segments_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> ran_key_;
  std::set<std::string> ran_;
  std::set<std::string> not_run_;
  std::uint64_t next_id_ = 1;
  bool faults_ = true;
};

}  // namespace

TEST_CASE("a claim slot") {
  ClaimSlot slot;
  const auto first = MakeClaim("key", "a");
  REQUIRE(slot.TryClaim(first) == ClaimVerdict::kGranted);
  SUBCASE("grants a key once, and again to the same attempt") {
    CHECK(slot.TryClaim(MakeClaim("key", "b")) == ClaimVerdict::kInProgress);
    CHECK(slot.TryClaim(first) == ClaimVerdict::kGranted);
  }
  SUBCASE("refuses the key with another body") {
    CHECK(slot.TryClaim(MakeClaim("key", "b", "other")) ==
          ClaimVerdict::kKeyReused);
  }
  SUBCASE("replays a recorded answer") {
    REQUIRE(slot.Record(Ended(first, ClaimState::kDone)));
    CHECK(slot.TryClaim(MakeClaim("key", "b")) == ClaimVerdict::kReplay);
    CHECK(slot.Find("key")->answer == "answer of a");
  }
  SUBCASE("stays closed after an unknown outcome") {
    REQUIRE(slot.Record(Ended(first, ClaimState::kUnknown)));
    CHECK(slot.TryClaim(MakeClaim("key", "b")) == ClaimVerdict::kUnknown);
  }
  SUBCASE("frees a key that was not run") {
    REQUIRE(slot.Record(Ended(first, ClaimState::kNotRun)));
    CHECK(slot.TryClaim(MakeClaim("key", "b")) == ClaimVerdict::kGranted);
    CHECK_FALSE(slot.Record(Ended(first, ClaimState::kDone)));
  }
  SUBCASE("keeps its first outcome") {
    REQUIRE(slot.Record(Ended(first, ClaimState::kUnknown)));
    CHECK_FALSE(slot.Record(Ended(first, ClaimState::kNotRun)));
  }
  SUBCASE("forgets after the retention") {
    slot.Expire(kClaimRetentionMs + 1);
    CHECK(slot.size() == 0);
  }
  SUBCASE("survives its encoding") {
    slot.TryClaim(MakeClaim("other", "c"));
    const auto decoded =
        Capture([&] { return ClaimSlot::Decode(slot.Encode()); });
    CHECK(std::get<ClaimSlot>(decoded) == slot);
    const auto bad = Capture([] { return ClaimSlot::Decode("junk"); });
    CHECK(std::holds_alternative<Error>(bad));
  }
}

TEST_CASE("many claims at once go with one write") {
  ClaimBatcher batcher;
  const TimePoint now{Duration(1'000)};
  for (std::uint64_t i = 0; i < 100; ++i) {
    const auto name = std::to_string(i);
    batcher.Claim(i, MakeClaim(name, name), now + Duration(1'000));
  }
  REQUIRE_FALSE(batcher.NextCall(now, 0)->is_write);
  batcher.OnRead(StoreStatus::kNotFound, {}, now);
  const auto write = batcher.NextCall(now, 0);
  REQUIRE(write->is_write);
  CHECK(write->expected == 0);
  CHECK_FALSE(batcher.NextCall(now, 0).has_value());
  batcher.OnWrite(StoreStatus::kOk, 1, now);
  CHECK(batcher.TakeDecided(now).size() == 100);
  CHECK_FALSE(batcher.HasWork());
}

TEST_CASE("a retry right behind the answer gets that answer") {
  ClaimBatcher batcher;
  TimePoint now{Duration(1'000)};
  const auto first = MakeClaim("key", "a");
  batcher.Claim(1, first, now + Duration(1'000));
  batcher.NextCall(now, 0);
  batcher.OnRead(StoreStatus::kNotFound, {}, now);
  batcher.NextCall(now, 0);
  batcher.OnWrite(StoreStatus::kOk, 1, now);
  batcher.TakeDecided(now);
  // The outcome is recorded and asked for before it is stored.
  now += Duration(100);
  batcher.Record(3, Ended(first, ClaimState::kDone), now);
  batcher.Claim(2, MakeClaim("key", "b"), now + Duration(1'000));
  batcher.NextCall(now, 0);
  const auto decided = batcher.TakeDecided(now);
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].verdict == ClaimVerdict::kReplay);
  CHECK(decided[0].claim.answer == "answer of a");
}

TEST_CASE("an outcome waits for a claim to go with, but not for long") {
  ClaimBatcher batcher;
  TimePoint now{Duration(1'000)};
  const auto first = MakeClaim("key", "a");
  batcher.Claim(1, first, now + Duration(1'000));
  batcher.NextCall(now, 0);
  batcher.OnRead(StoreStatus::kNotFound, {}, now);
  batcher.NextCall(now, 0);
  batcher.OnWrite(StoreStatus::kOk, 1, now);
  now += Duration(50);
  batcher.Record(7, Ended(first, ClaimState::kDone), now);
  CHECK_FALSE(batcher.NextCall(now + Duration(100), 0).has_value());
  SUBCASE("it shares the write of the next claim") {
    batcher.Claim(2, MakeClaim("other", "b"), now + Duration(1'000));
  }
  SUBCASE("it goes alone in the end") { now += Duration(150); }
  const auto write = batcher.NextCall(now, 0);
  REQUIRE(write.has_value());
  CHECK(write->is_write);
  CHECK(batcher.TakeRecorded().empty());
  batcher.OnWrite(StoreStatus::kOk, 2, now);
  CHECK(batcher.TakeRecorded() == std::vector<std::uint64_t>{7});
}

TEST_CASE("a large slot moves its ended claims to a segment") {
  ClaimBatcher batcher(200);
  TimePoint now{Duration(1'000)};
  StoredObject object;
  std::map<std::string, QByteArray> segments;
  const auto settle = [&] {
    for (int i = 0; i < 20; ++i) {
      now += Duration(200);
      const auto call = batcher.NextCall(now, 0);
      if (!call) continue;
      if (!call->segment.empty() && call->is_write) {
        segments[call->segment] = call->value;
        batcher.OnWrite(StoreStatus::kOk, 1, now);
      } else if (call->is_write) {
        object = {object.version + 1, call->value};
        batcher.OnWrite(StoreStatus::kOk, object.version, now);
      } else if (!call->segment.empty()) {
        batcher.OnRead(StoreStatus::kOk, {1, segments.at(call->segment)}, now);
      } else {
        batcher.OnRead(
            object.version == 0 ? StoreStatus::kNotFound : StoreStatus::kOk,
            object, now);
      }
    }
  };
  for (std::uint64_t i = 0; i < 10; ++i) {
    const auto claim = MakeClaim("key" + std::to_string(i), std::to_string(i));
    batcher.Claim(i, claim, now + Duration(100'000));
    settle();
    REQUIRE(batcher.TakeDecided(now).at(0).verdict == ClaimVerdict::kGranted);
    batcher.Record(0, Ended(claim, ClaimState::kDone), now);
    settle();
  }
  REQUIRE(segments.size() >= 2);
  CHECK(object.value.size() < 600);
  SUBCASE("and still knows them") {
    batcher.Claim(99, MakeClaim("key0", "again"), now + Duration(100'000));
    settle();
    const auto decided = batcher.TakeDecided(now);
    CHECK(decided.at(0).verdict == ClaimVerdict::kReplay);
    CHECK(decided.at(0).claim.answer == "answer of 0");
  }
  SUBCASE("and a new daemon reads them before it decides") {
    batcher = ClaimBatcher(200);
    batcher.Claim(99, MakeClaim("key0", "again"), now + Duration(100'000));
    settle();
    CHECK(batcher.TakeDecided(now).at(0).verdict == ClaimVerdict::kReplay);
  }
}

TEST_CASE("a claim that was given up on is released by a write that fences") {
  ClaimBatcher batcher;
  TimePoint now{Duration(1'000)};
  batcher.Claim(1, MakeClaim("key", "a"), now + Duration(100));
  batcher.NextCall(now, 0);
  batcher.OnRead(StoreStatus::kNotFound, {}, now);
  const auto lost = batcher.NextCall(now, 0);
  batcher.OnWrite(StoreStatus::kUnavailable, 0, now);
  now += Duration(200);
  const auto decided = batcher.TakeDecided(now);
  now += Duration(200);
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].verdict == ClaimVerdict::kStoreAway);
  REQUIRE(batcher.NextCall(now, 0).has_value());
  batcher.OnRead(StoreStatus::kNotFound, {}, now);
  const auto fence = batcher.NextCall(now, 0);
  REQUIRE(fence.has_value());
  CHECK(fence->is_write);
  // The store is at version 1 after the fence, so the lost write conflicts.
  CHECK(fence->expected == lost->expected);
}

TEST_CASE("a home that gives up does not release another daemon's claim") {
  ClaimBatcher home;
  TimePoint now{Duration(1'000)};
  home.Claim(1, MakeClaim("key", "a"), now + Duration(100),
             ClaimOrigin::kElsewhere);
  home.NextCall(now, 0);
  home.OnRead(StoreStatus::kNotFound, {}, now);
  REQUIRE(home.NextCall(now, 0)->is_write);
  home.OnWrite(StoreStatus::kUnavailable, 0, now);
  now += Duration(200);
  CHECK(home.TakeDecided(now).at(0).verdict == ClaimVerdict::kStoreAway);
  // The daemon that asked may have claimed it by itself and have sent it.
  CHECK_FALSE(home.HasWork());
}

TEST_CASE("a key that is only looked at") {
  ClaimBatcher batcher;
  TimePoint now{Duration(1'000)};
  ClaimSlot stored;
  const auto first = MakeClaim("key", "a");
  SUBCASE("is called free when an update has proved it, and stays free") {
    batcher.Look(1, first, now + Duration(300));
    batcher.NextCall(now, 0);
    batcher.OnRead(StoreStatus::kNotFound, {}, now);
    REQUIRE(batcher.NextCall(now, 0)->is_write);
    CHECK(batcher.TakeDecided(now).empty());
    batcher.OnWrite(StoreStatus::kOk, 1, now);
    CHECK(batcher.TakeDecided(now).at(0).verdict == ClaimVerdict::kGranted);
    batcher.Claim(2, MakeClaim("key", "b"), now + Duration(300));
    now += Duration(50);
    batcher.NextCall(now, 0);
    batcher.OnWrite(StoreStatus::kOk, 2, now);
    CHECK(batcher.TakeDecided(now).at(0).verdict == ClaimVerdict::kGranted);
  }
  SUBCASE("is not called free after an old read") {
    stored.TryClaim(first);
    batcher.Look(1, MakeClaim("key", "b"), now + Duration(300));
    batcher.NextCall(now, 0);
    batcher.OnRead(StoreStatus::kNotFound, {}, now);
    batcher.NextCall(now, 0);
    batcher.OnWrite(StoreStatus::kConflict, 1, now);
    now += Duration(50);
    batcher.NextCall(now, 0);
    batcher.OnRead(StoreStatus::kOk, {1, stored.Encode()}, now);
    batcher.NextCall(now, 0);
    CHECK(batcher.TakeDecided(now).at(0).verdict == ClaimVerdict::kInProgress);
  }
  SUBCASE("is not released when the store is away") {
    batcher.Look(1, first, now + Duration(300));
    now += Duration(400);
    CHECK(batcher.TakeDecided(now).at(0).verdict == ClaimVerdict::kStoreAway);
    CHECK_FALSE(batcher.HasWork());
  }
}

TEST_CASE("random daemons, crashes, freezes and a lying store") {
  const bool holds = rc::check(
      "run each key at most once, and never what was called not run", [] {
        ClaimWorld world(*rc::gen::inRange(1, 5));
        for (int i = 0; i < 400; ++i) {
          world.Step();
          world.Check();
        }
        world.Settle();
        world.Check();
        world.CheckSettled();
      });
  CHECK(holds);
}

}  // namespace firmoor
