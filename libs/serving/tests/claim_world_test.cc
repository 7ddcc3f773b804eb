// Randomised proof of the claims: daemons, homes, crashes, freezes and a lying
// store in virtual time.

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "claim_examples.h"
#include "serving/claim_batcher.h"
#include "serving/claim_slot.h"

namespace firmoor {
namespace {

/// Daemons that claim keys in one slot, by themselves or through a home, or
/// only look at them; a store that delays, loses and shows old versions; all
/// in virtual time.
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
  enum class Purpose { kOwn, kForOther, kLook };
  /// What a batcher was asked, and for whom.
  struct Asked {
    Claim claim;
    Purpose purpose = Purpose::kOwn;
    std::size_t asker = 0;
    int asker_life = 0;
    bool had_run = false;  ///< The key, when it was asked about.
  };
  struct Daemon {
    std::unique_ptr<ClaimBatcher> batcher =
        // Seals often, so that segments take part.
        std::make_unique<ClaimBatcher>(300);
    std::map<std::uint64_t, Asked> asked;
    std::deque<Claim> granted;
    std::map<std::string, Claim> at_home;      ///< By attempt, asked of a home.
    std::map<std::string, TimePoint> give_up;  ///< Of those.
    std::deque<ClaimBatcher::Decision> from_home;
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
    const auto key = fmt::format("key{}", *rc::gen::inRange(0, 6));
    const auto claim = MakeClaim(key, fmt::format("attempt{}", next_id_));
    const int way = *rc::gen::inRange(0, 10);
    if (way < 4) {
      ClaimLocally(&daemon, claim, ClaimOrigin::kLocal);
    } else if (way < 8) {
      AskHome(at, claim);
    } else {
      const auto id = next_id_++;
      daemon.asked[id] = {claim, Purpose::kLook, at, daemon.life,
                          runs_.contains(key)};
      daemon.batcher->QueryKey(id, claim, now_ + Duration(300));
    }
  }

  void ClaimLocally(Daemon* daemon, const Claim& claim, ClaimOrigin origin) {
    const auto id = next_id_++;
    daemon->asked[id] = {claim};
    daemon->batcher->Claim(id, claim, now_ + Duration(500), origin);
  }

  /// Any daemon may be taken for the home: membership may be out of date.
  void AskHome(std::size_t at, const Claim& claim) {
    auto& daemon = daemons_[at];
    const auto id = next_id_++;
    daemon.at_home[claim.attempt] = claim;
    daemon.give_up[claim.attempt] = now_ + Duration(200);
    auto& home = AnyDaemon();
    if (home.frozen) return;
    home.asked[id] = {claim, Purpose::kForOther, at, daemon.life};
    home.batcher->Claim(id, claim, now_ + Duration(500),
                        ClaimOrigin::kRemoteDaemon);
  }

  Daemon& AnyDaemon() {
    return daemons_[static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(daemons_.size())))];
  }

  void Advance(Daemon* daemon) {
    if (daemon->frozen) return;
    HearHomes(daemon);
    for (const auto& decided : daemon->batcher->TakeDecisions(now_)) {
      Take(daemon, decided);
    }
    if (const auto call = daemon->batcher->NextCall(now_, 0)) {
      flights_.push_back({static_cast<std::size_t>(daemon - daemons_.data()),
                          daemon->life, *call});
    }
    for (const auto& decided : daemon->batcher->TakeDecisions(now_)) {
      Take(daemon, decided);
    }
  }

  void HearHomes(Daemon* daemon) {
    const auto heard = std::exchange(daemon->from_home, {});
    for (const auto& decided : heard) {
      const auto attempt = attempt_of_.at(decided.id);
      const auto found = daemon->at_home.find(attempt);
      if (found == daemon->at_home.end()) continue;
      if (decided.result == ClaimResult::kStoreUnavailable) {
        daemon->give_up[attempt] = now_;
        continue;
      }
      const auto claim = found->second;
      daemon->at_home.erase(found);
      Accept(daemon, claim, decided);
    }
    const auto waiting = daemon->at_home;
    for (const auto& [attempt, claim] : waiting) {
      if (daemon->give_up.at(attempt) > now_) continue;
      daemon->at_home.erase(attempt);
      ClaimLocally(daemon, claim, ClaimOrigin::kAfterHomeFailure);
    }
  }

  void Take(Daemon* daemon, const ClaimBatcher::Decision& decided) {
    const auto asked = daemon->asked.at(decided.id);
    daemon->asked.erase(decided.id);
    if (asked.purpose == Purpose::kOwn) {
      return Accept(daemon, asked.claim, decided);
    }
    if (asked.purpose == Purpose::kLook) {
      const bool called_free = decided.result == ClaimResult::kGranted;
      RC_ASSERT(!(called_free && asked.had_run));
      return;
    }
    auto& asker = daemons_[asked.asker];
    const bool lost = faults_ && *rc::gen::inRange(0, 4) == 0;
    if (lost || asker.life != asked.asker_life) return;
    attempt_of_[decided.id] = asked.claim.attempt;
    asker.from_home.push_back(decided);
  }

  void Accept(Daemon* daemon, const Claim& claim,
              const ClaimBatcher::Decision& decided) {
    if (decided.result == ClaimResult::kGranted) {
      daemon->granted.push_back(claim);
      return;
    }
    not_run_.insert(claim.attempt);
    if (decided.result == ClaimResult::kReplay) {
      RC_ASSERT(decided.claim.answer == "answer of " + ran_key_[claim.key]);
    }
  }

  /// At a home, here, or at both after the home's answer was lost.
  void Record(Daemon* daemon, const Claim& ended) {
    const int way = *rc::gen::inRange(0, 3);
    auto& home = AnyDaemon();
    const bool at_home = way > 0 && !home.frozen;
    if (at_home) home.batcher->Record(0, ended, now_);
    if (!at_home || way == 2) daemon->batcher->Record(0, ended, now_);
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
      return Record(&daemon, Ended(claim, ClaimState::kNotRun));
    }
    ++runs_[claim.key];
    ran_.insert(claim.attempt);
    ran_key_[claim.key] = claim.attempt;
    const auto state = fate < 4 ? ClaimState::kUnknown : ClaimState::kDone;
    Record(&daemon, Ended(claim, state));
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
  std::map<std::uint64_t, std::string> attempt_of_;  ///< By a home's number.
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> ran_key_;
  std::set<std::string> ran_;
  std::set<std::string> not_run_;
  std::uint64_t next_id_ = 1;
  bool faults_ = true;
};

}  // namespace

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
