#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "resumption/record_confirmation.h"

namespace firmoor {
namespace {

using Need = RecordConfirmation::Need;
using State = RecordConfirmation::State;

constexpr TimePoint kSentAt{Duration(1'000'000)};

TimePoint After(int ms) { return kSentAt + Duration(ms); }

}  // namespace

// Guards against streams that hold events of two software versions, since none
// of a record's holders took it (incident ORDER).
TEST_CASE("a stream of a release begins once others know its version") {
  RecordConfirmation record(Need::kRequired, kSentAt);

  SUBCASE("at once if there is nobody to tell") {
    CHECK(record.StateAt(kSentAt) == State::kMade);
  }
  SUBCASE("when all holders but one have taken the record") {
    record.OnSent(4);
    CHECK(record.StateAt(kSentAt) == State::kPending);
    record.OnTaken();
    record.OnTaken();
    CHECK(record.StateAt(After(2)) == State::kPending);
    record.OnTaken();
    CHECK(record.StateAt(After(2)) == State::kMade);
  }
  SUBCASE("when the only holder has") {
    record.OnSent(1);
    record.OnTaken();
    CHECK(record.StateAt(After(2)) == State::kMade);
  }
  SUBCASE("when one has, and the others are late or lost") {
    record.OnSent(4);
    record.OnTaken();
    CHECK(record.StateAt(After(199)) == State::kPending);
    CHECK(record.StateAt(After(200)) == State::kMade);
    for (int i = 0; i < 3; ++i) record.OnFailed();
    CHECK(record.StateAt(After(2)) == State::kMade);
  }
  SUBCASE("not when nobody has") {
    record.OnSent(4);
    CHECK_FALSE(record.NeedsSpares(After(199)));
    CHECK(record.NeedsSpares(After(200)));
    CHECK(record.StateAt(After(999)) == State::kPending);
    CHECK(record.StateAt(After(1'000)) == State::kLost);
  }
  SUBCASE("when a spare has") {
    record.OnSent(4);
    for (int i = 0; i < 4; ++i) record.OnFailed();
    CHECK(record.NeedsSpares(After(3)));
    record.OnSent(2);
    CHECK_FALSE(record.NeedsSpares(After(3)));
    record.OnTaken();
    CHECK(record.StateAt(After(300)) == State::kMade);
  }
}

TEST_CASE("a stream of the only known version waits a short time at most") {
  RecordConfirmation record(Need::kBrief, kSentAt);
  record.OnSent(4);
  CHECK(record.StateAt(After(199)) == State::kPending);

  SUBCASE("until one holder has the record") {
    record.OnTaken();
    CHECK(record.StateAt(After(2)) == State::kMade);
  }
  SUBCASE("also if nobody takes it") {
    CHECK(record.StateAt(After(200)) == State::kMade);
    CHECK_FALSE(record.NeedsSpares(After(200)));
  }
}

TEST_CASE("a stream of a version that others infer does not wait") {
  RecordConfirmation record(Need::kNone, kSentAt);
  record.OnSent(4);
  CHECK(record.StateAt(kSentAt) == State::kMade);
}

TEST_CASE("no required record is made without a daemon that has it") {
  CHECK(rc::check([] {
    RecordConfirmation record(Need::kRequired, kSentAt);
    const auto sent = *rc::gen::inRange<std::size_t>(1, 5);
    const auto failed = *rc::gen::inRange<std::size_t>(0, sent + 1);
    record.OnSent(sent);
    for (std::size_t i = 0; i < failed; ++i) record.OnFailed();
    const auto state = record.StateAt(After(*rc::gen::inRange(0, 5'000)));
    RC_ASSERT(state != State::kMade);
  }));
}

}  // namespace firmoor
