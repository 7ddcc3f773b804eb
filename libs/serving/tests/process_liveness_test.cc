#include "serving/process_liveness.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

constexpr Duration kGap{100};
constexpr Duration kInstant{1};

/// One process, at a time that the test moves.
struct Fixture {
  ProcessLiveness liveness;
  PreciseTimePoint now{Duration(1'000'000)};

  CloseOrigin Judge(ProcessLiveness::ConnectionId stream) const {
    return liveness.Judge(stream, now);
  }
  /// Asks the process, which does not answer.
  void AskInVain() { liveness.OnNoAnswer(now); }
};

}  // namespace

// Guards against whole streams that are broken off because their process can no
// longer be asked (incident LOST), and against belief in the closes of one that
// exits amid its streams (ORDER).
TEST_CASE("who closed a connection of a process that accepts no others") {
  Fixture fixture;
  auto& liveness = fixture.liveness;
  auto& now = fixture.now;
  const auto stream = liveness.Open();

  SUBCASE("is shown by another stream") {
    const auto other = liveness.Open();
    liveness.OnEvent(other, now);
    liveness.OnClosed(stream, false, now);
    CHECK(fixture.Judge(stream) == CloseOrigin::kUndecided);
    now += ProcessLiveness::kExitSpan;

    SUBCASE("that goes on") {
      liveness.OnEvent(other, now);
      CHECK(fixture.Judge(stream) == CloseOrigin::kUndecided);
      now += ProcessLiveness::kExitSpan;
      CHECK(fixture.Judge(stream) == CloseOrigin::kProcess);
      SUBCASE("also once that one has ended") {
        liveness.OnEvent(other, now);
        liveness.OnClosed(other, true, now);
        CHECK(fixture.Judge(stream) == CloseOrigin::kProcess);
      }
    }
    SUBCASE("but not by an event that came with its end") {
      liveness.OnEvent(other, now);
      liveness.OnClosed(other, true, now);
      CHECK(fixture.Judge(stream) == CloseOrigin::kNotAsked);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kUnclear);
    }
    SUBCASE("but not by what was read late") {
      liveness.OnEvent(other, now);
      liveness.OnPaused(other);
      now += ProcessLiveness::kExitSpan;
      CHECK(fixture.Judge(stream) == CloseOrigin::kUndecided);
    }
    SUBCASE("but not by one that this side ended") {
      liveness.OnEvent(other, now);
      liveness.Forget(other);
      now += ProcessLiveness::kExitSpan;
      CHECK(fixture.Judge(stream) == CloseOrigin::kNotAsked);
    }
    SUBCASE("for which it does not wait for ever") {
      now += ProcessLiveness::kMaxWait;
      CHECK(fixture.Judge(stream) == CloseOrigin::kNotAsked);
    }
  }
  SUBCASE("is shown by an answer") {
    liveness.OnClosed(stream, false, now);
    CHECK(fixture.Judge(stream) == CloseOrigin::kNotAsked);
    SUBCASE("to what was sent behind the close") {
      liveness.OnAnswer(now);
      CHECK(fixture.Judge(stream) == CloseOrigin::kProcess);
    }
    SUBCASE("but not to what was sent before") {
      liveness.OnAnswer(now - kInstant);
      CHECK(fixture.Judge(stream) == CloseOrigin::kNotAsked);
    }
  }
  SUBCASE("is an exit if streams end at the same time") {
    const auto other = liveness.Open();
    liveness.OnClosed(other, false, now);
    now += kInstant;
    liveness.OnClosed(stream, true, now);
    fixture.AskInVain();
    CHECK(fixture.Judge(stream) == CloseOrigin::kExit);
    CHECK(fixture.Judge(other) == CloseOrigin::kExit);
  }
  SUBCASE("is not known if nothing else is") {
    SUBCASE("of streams that end apart") {
      const auto other = liveness.Open();
      liveness.OnClosed(other, false, now);
      now += ProcessLiveness::kSameExit;
      liveness.OnClosed(stream, true, now);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kEitherOne);
      CHECK(fixture.Judge(other) == CloseOrigin::kUnclear);
    }
    SUBCASE("of streams that end together behind their events") {
      const auto other = liveness.Open();
      liveness.OnClosed(other, true, now);
      liveness.OnClosed(stream, true, now);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kEitherOne);
      CHECK(fixture.Judge(other) == CloseOrigin::kEitherOne);
    }
  }
  SUBCASE("with a connection in reserve") {
    SUBCASE("that ends with it between two events is an exit") {
      liveness.OnClosed(stream, false, now);
      liveness.OnReserveClosed(now);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kExit);
    }
    liveness.OnClosed(stream, true, now);
    SUBCASE("that ends with it behind an event is not known") {
      liveness.OnReserveClosed(now + ProcessLiveness::kReserveLag / 2);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kEitherOne);
    }
    SUBCASE("that ends a little later is a hint") {
      liveness.OnReserveClosed(now + ProcessLiveness::kReserveLag);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kBehindEvent);
    }
    SUBCASE("that ends well behind it is the process") {
      liveness.OnReserveClosed(now + ProcessLiveness::kExitSpan);
      CHECK(fixture.Judge(stream) == CloseOrigin::kProcess);
    }
    SUBCASE("that ended long before is as if there was none") {
      liveness.OnReserveClosed(now - ProcessLiveness::kSameExit);
      fixture.AskInVain();
      CHECK(fixture.Judge(stream) == CloseOrigin::kEitherOne);
    }
  }
}

TEST_CASE("a close is right behind an event") {
  EventRhythm rhythm;
  PreciseTimePoint now{Duration(1'000'000)};
  const auto see = [&](int events) {
    for (int i = 0; i < events; ++i) rhythm.OnEvent(now += kGap);
  };

  SUBCASE("in a twentieth of the time between events") {
    see(10);
    CHECK(rhythm.MeanGap() == kGap);
    CHECK(rhythm.IsRightBehindEvent(now + kGap / 20));
    CHECK_FALSE(rhythm.IsRightBehindEvent(now + kGap / 20 + kInstant));
  }
  SUBCASE("not if that time is hardly known") {
    see(2);
    CHECK_FALSE(rhythm.IsRightBehindEvent(now));
  }
  SUBCASE("not if it may have been read late") {
    see(10);
    rhythm.OnResumed(now);
    CHECK_FALSE(rhythm.IsRightBehindEvent(now));
    see(1);
    CHECK(rhythm.IsRightBehindEvent(now));
  }
}

}  // namespace firmoor
