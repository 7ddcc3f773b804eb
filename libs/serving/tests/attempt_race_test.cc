#include "serving/attempt_race.h"

#include <doctest/doctest.h>

#include <vector>

namespace firmoor {
namespace {

constexpr AttemptEnd kUnsent{HttpCallEnd::kNotConnected};
constexpr AttemptEnd kTruncated{HttpCallEnd::kTruncated, true};
constexpr AttemptEnd kAnswer{HttpCallEnd::kComplete, true};
constexpr AttemptEnd kRejected{HttpCallEnd::kComplete, true, true};

constexpr AttemptEnd MakeFailedAnswer() {
  AttemptEnd end = kAnswer;
  end.failed = true;
  return end;
}

AttemptRace::Conditions MakeIdempotent() {
  AttemptRace::Conditions conditions;
  conditions.idempotent = true;
  conditions.time_left = Duration(5'000);
  conditions.retry_available = true;
  return conditions;
}

/// Of a stream of which the caller has an event.
AttemptRace::Conditions MakeStarted() {
  auto conditions = MakeIdempotent();
  conditions.answer_started = true;
  conditions.resumable = true;
  return conditions;
}

/// Starts an attempt with a retry from the budget if it needs one.
int StartAttempt(AttemptRace* race) {
  if (race->NeedsRetry()) race->AddRetry();
  return race->Start(true);
}

int CountUnusedRetries(AttemptRace race) {
  int unused = 0;
  while (unused < 100 && race.TakeUnusedRetry()) ++unused;
  return unused;
}

}  // namespace

TEST_CASE("a stream whose upstream falls silent") {
  const auto conditions = MakeStarted();
  AttemptRace race;
  const int first = StartAttempt(&race);
  CHECK_FALSE(race.MayStartBeside(conditions));
  race.OnSilent(first);
  REQUIRE(race.MayStartBeside(conditions));

  SUBCASE("waits for it again when a byte arrives") {
    race.OnByte(first);
    CHECK_FALSE(race.MayStartBeside(conditions));
    race.OnSilent(first);
    CHECK(race.MayStartBeside(conditions));
  }
  SUBCASE("stays with it without a retry in the budget") {
    auto exhausted = conditions;
    exhausted.retry_available = false;
    CHECK_FALSE(race.MayStartBeside(exhausted));
  }
  SUBCASE("stays with it when it seems to crash upstreams") {
    auto suspect = conditions;
    suspect.may_run_again = false;
    CHECK_FALSE(race.MayStartBeside(suspect));
  }
  SUBCASE("stays with it shortly before its deadline") {
    auto late = conditions;
    late.time_left = kMinTimeForAttempt - Duration(1);
    CHECK_FALSE(race.MayStartBeside(late));
  }
  SUBCASE("stays with it when it is not resumable") {
    auto other = conditions;
    other.resumable = false;
    CHECK_FALSE(race.MayStartBeside(other));
  }
  SUBCASE("has a second attempt beside it") {
    CHECK(race.NeedsRetry());
    const int second = StartAttempt(&race);
    CHECK(race.in_flight() == 2);
    CHECK(race.attempts() == 2);
    SUBCASE("goes on with the first, which brings the next event") {
      race.OnByte(first);
      CHECK(race.OnNextPart(first) == std::vector{second});
      race.OnCancelled(second, true, true);
      CHECK(race.in_flight() == 1);
      CHECK(race.OnNextPart(first).empty());
      const auto decision = race.OnEnd(first, kAnswer, true, conditions);
      CHECK(decision.step == RaceStep::kPassAnswer);
      CHECK(decision.overtaken.empty());
    }
    SUBCASE("goes on with the second, which brings the next event") {
      CHECK(race.OnNextPart(second) == std::vector{first});
      race.OnCancelled(first, true, true);
      CHECK(race.in_flight() == 1);
      CHECK(race.sends() == 1);
      CHECK_FALSE(race.MayStartBeside(conditions));
    }
    SUBCASE("ends with the first that completes it, without an event") {
      const auto decision = race.OnEnd(second, kAnswer, true, conditions);
      CHECK(decision.step == RaceStep::kPassAnswer);
      CHECK(decision.overtaken == std::vector{first});
    }
    SUBCASE("has no third attempt while both are silent") {
      race.OnSilent(second);
      CHECK_FALSE(race.MayStartBeside(conditions));
    }
    SUBCASE("drops the second when it") {
      AttemptEnd end;
      int sends = 1;
      int unused_retries = 0;
      SUBCASE("rejects the request") { end = kRejected; }
      SUBCASE("answers with an error") { end = MakeFailedAnswer(); }
      SUBCASE("breaks off") { end = kTruncated; }
      SUBCASE("is not reached") {
        end = kUnsent;
        sends = 0;
        unused_retries = 1;
      }
      const auto decision = race.OnEnd(second, end, true, conditions);
      CHECK(decision.step == RaceStep::kGoOn);
      CHECK(AttemptRace::NameOfNext(decision) == "go-on");
      CHECK(decision.overtaken.empty());
      CHECK(race.sends() == sends);
      CHECK(race.attempts() == 1 + sends);
      CHECK(CountUnusedRetries(race) == unused_retries);
      // A third one may start, as far as attempts and budget allow.
      CHECK(race.MayStartBeside(conditions));
      auto limited = conditions;
      limited.max_attempts = 1 + sends;
      CHECK_FALSE(race.MayStartBeside(limited));
      auto exhausted = conditions;
      exhausted.retry_available = false;
      CHECK(race.MayStartBeside(exhausted) == (unused_retries > 0));
    }
    SUBCASE("drops the first, and has a third only beside a silent second") {
      CHECK(race.OnEnd(first, kTruncated, true, conditions).step ==
            RaceStep::kGoOn);
      CHECK_FALSE(race.MayStartBeside(conditions));
      race.OnSilent(second);
      CHECK(race.MayStartBeside(conditions));
    }
    SUBCASE("fails when both have ended and no other may start") {
      auto exhausted = conditions;
      exhausted.retry_available = false;
      CHECK(race.OnEnd(second, kTruncated, true, exhausted).step ==
            RaceStep::kGoOn);
      const auto decision = race.OnEnd(first, kTruncated, true, exhausted);
      CHECK(decision.step == RaceStep::kFail);
      CHECK(decision.attempt.code == ResultCode::kRetryBudgetExhausted);
    }
  }
}

TEST_CASE("an answer that reports an error") {
  const auto conditions = MakeIdempotent();
  AttemptRace race;
  const int first = StartAttempt(&race);
  race.OnSilent(first);
  const int second = StartAttempt(&race);
  auto exhausted = conditions;
  exhausted.retry_available = false;

  SUBCASE("is not passed on while another attempt is in flight") {
    for (const auto& at_end : {conditions, exhausted}) {
      auto copy = race;
      const auto decision =
          copy.OnEnd(second, MakeFailedAnswer(), true, at_end);
      CHECK(decision.step == RaceStep::kGoOn);
      CHECK(decision.overtaken.empty());
      const auto last = copy.OnEnd(first, kAnswer, true, at_end);
      CHECK(last.step == RaceStep::kPassAnswer);
    }
  }
  SUBCASE("is passed on from the last attempt") {
    CHECK(race.OnEnd(first, kTruncated, true, exhausted).step ==
          RaceStep::kGoOn);
    CHECK(race.OnEnd(second, MakeFailedAnswer(), true, exhausted).step ==
          RaceStep::kPassAnswer);
  }
  SUBCASE("is not passed on while a further attempt may start") {
    CHECK(race.OnEnd(first, kTruncated, true, conditions).step ==
          RaceStep::kGoOn);
    const auto decision =
        race.OnEnd(second, MakeFailedAnswer(), true, conditions);
    CHECK(decision.step == RaceStep::kTryNext);
    CHECK(AttemptRace::NameOfNext(decision) == "retry-elsewhere");
  }
}

TEST_CASE("a request that must not run twice") {
  auto conditions = MakeIdempotent();
  conditions.idempotent = false;
  AttemptRace race;
  const int first = StartAttempt(&race);
  race.OnSilent(first);
  CHECK_FALSE(race.MayStartBeside(conditions));

  SUBCASE("is tried elsewhere when it was rejected") {
    CHECK(race.OnEnd(first, kRejected, true, conditions).step ==
          RaceStep::kTryNext);
    CHECK_FALSE(race.may_have_run());
  }
  SUBCASE("is tried elsewhere when it was not sent") {
    CHECK(race.OnEnd(first, kUnsent, true, conditions).step ==
          RaceStep::kTryNext);
  }
  SUBCASE("fails with an unknown outcome when it may have run") {
    const auto decision = race.OnEnd(first, kTruncated, true, conditions);
    CHECK(decision.step == RaceStep::kFail);
    CHECK(decision.attempt.outcome == RequestOutcome::kUnknown);
  }
  SUBCASE("gets the error that it was answered with") {
    CHECK(race.OnEnd(first, MakeFailedAnswer(), true, conditions).step ==
          RaceStep::kPassAnswer);
  }
}

TEST_CASE("the retry of an attempt") {
  const auto conditions = MakeIdempotent();
  AttemptRace race;

  SUBCASE("is not needed for the first") { CHECK_FALSE(race.NeedsRetry()); }
  SUBCASE("is not needed after one that was not sent") {
    race.OnEnd(StartAttempt(&race), kUnsent, true, conditions);
    CHECK_FALSE(race.NeedsRetry());
  }
  // Guards against a request that is refused for want of a retry when its
  // first upstream is not reached.
  SUBCASE("is not needed after one that was not sent, with an empty budget") {
    auto exhausted = conditions;
    exhausted.retry_available = false;
    CHECK(race.OnEnd(StartAttempt(&race), kUnsent, true, exhausted).step ==
          RaceStep::kTryNext);
  }
  SUBCASE("is needed once after one that was sent") {
    race.OnEnd(StartAttempt(&race), kRejected, true, conditions);
    CHECK(race.NeedsRetry());
    race.AddRetry();
    CHECK_FALSE(race.NeedsRetry());
    race.Start(true);
    CHECK(race.NeedsRetry());
    CHECK(CountUnusedRetries(race) == 0);
  }
  SUBCASE("is left for the next if the attempt was not sent") {
    race.OnSilent(StartAttempt(&race));
    const int second = StartAttempt(&race);
    auto exhausted = conditions;
    exhausted.retry_available = false;
    race.OnEnd(second, kUnsent, true, exhausted);
    CHECK_FALSE(race.NeedsRetry());
    CHECK(race.MayStartBeside(exhausted));
    CHECK(race.TakeUnusedRetry());
    CHECK_FALSE(race.TakeUnusedRetry());
  }
  // Guards against a retry that is kept from the budget though the attempt
  // that took it was the only one that was sent.
  SUBCASE("is left when the attempt turns out to be the first") {
    const int first = StartAttempt(&race);
    race.OnSilent(first);
    const int second = StartAttempt(&race);
    SUBCASE("and runs") {
      race.OnEnd(first, kUnsent, true, conditions);
      CHECK(CountUnusedRetries(race) == 1);
    }
    SUBCASE("and has ended") {
      race.OnEnd(second, kTruncated, true, conditions);
      race.OnEnd(first, kUnsent, true, conditions);
      CHECK(CountUnusedRetries(race) == 1);
      race.Start(true);
      CHECK(CountUnusedRetries(race) == 0);
    }
    SUBCASE("after one that was not sent either") {
      race.OnEnd(second, kUnsent, true, conditions);
      race.OnEnd(first, kUnsent, true, conditions);
      race.Start(true);
      CHECK(CountUnusedRetries(race) == 1);
    }
  }
  SUBCASE("is left when the attempt is cancelled before it was sent") {
    race.OnSilent(StartAttempt(&race));
    race.OnCancelled(StartAttempt(&race), false, true);
    CHECK(CountUnusedRetries(race) == 1);
  }
}

TEST_CASE("a request is reported as not run") {
  auto conditions = MakeIdempotent();
  conditions.retry_available = false;
  AttemptRace race;
  const int first = StartAttempt(&race);

  SUBCASE("when all attempts were rejected") {
    const auto decision = race.OnEnd(first, kRejected, true, conditions);
    CHECK(decision.step == RaceStep::kFail);
    CHECK(decision.attempt.outcome == RequestOutcome::kNotRun);
  }
  SUBCASE("unless an attempt before may have run") {
    race.OnSilent(first);
    const int second = StartAttempt(&race);
    SUBCASE("and ended") { race.OnEnd(first, kTruncated, true, conditions); }
    SUBCASE("and was cancelled") { race.OnCancelled(first, true, true); }
    CHECK(race.may_have_run());
    const auto decision = race.OnEnd(second, kRejected, true, conditions);
    CHECK(decision.step == RaceStep::kFail);
    CHECK(decision.attempt.outcome == RequestOutcome::kUnknown);
  }
}

TEST_CASE("the limit of attempts counts") {
  auto conditions = MakeIdempotent();
  conditions.max_attempts = 3;
  SUBCASE("those of the daemon that delegated the request") {
    AttemptRace race(2);
    const int first = StartAttempt(&race);
    CHECK(race.attempts() == 3);
    race.OnSilent(first);
    CHECK_FALSE(race.MayStartBeside(conditions));
    CHECK(race.OnEnd(first, kTruncated, true, conditions).step ==
          RaceStep::kFail);
  }
  SUBCASE("neither those at leaving upstreams nor those that were not sent") {
    AttemptRace race(2);
    race.Start(false);
    CHECK(race.attempts() == 2);
    CHECK(race.OnEnd(1, kRejected, false, conditions).step ==
          RaceStep::kTryNext);
    StartAttempt(&race);
    CHECK(race.OnEnd(2, kUnsent, true, conditions).step == RaceStep::kTryNext);
    CHECK(race.attempts() == 2);
  }
}

}  // namespace firmoor
