#include "gateway/event_sequence.h"

#include <doctest/doctest.h>

namespace firmoor {

// Guards against a stream with a gap: an upstream that resumed it left events
// out (incident ORDER).
TEST_CASE("events that another upstream adds to a stream") {
  EventSequence sequence;

  SUBCASE("of consecutive numbers have to go on with the next one") {
    SUBCASE("that came one by one") {
      for (const char* id : {"4", "5", "6"}) sequence.Add(1, id);
    }
    SUBCASE("that came together") { sequence.Add(6, "6"); }
    CHECK(sequence.MayFollow(1, "7"));
    CHECK(sequence.MayFollow(2, "8"));
    CHECK_FALSE(sequence.MayFollow(1, "8"));
    CHECK_FALSE(sequence.MayFollow(2, "9"));
    CHECK_FALSE(sequence.MayFollow(1, "a"));
    CHECK(sequence.MayFollow(0, ""));
    CHECK(sequence.MayFollow(2, ""));
  }
  SUBCASE("of other numbers may have any") {
    SUBCASE("since earlier ones have gaps") {
      for (const char* id : {"3", "6", "9", "10"}) sequence.Add(1, id);
    }
    SUBCASE("since nothing is known of those that came together") {
      sequence.Add(3, "9");
    }
    SUBCASE("since there are too few") {
      sequence.Add(1, "4");
      sequence.Add(1, "5");
    }
    SUBCASE("since earlier ones have none") {
      for (const char* id : {"", "2", "3"}) sequence.Add(1, id);
    }
    CHECK(sequence.MayFollow(1, "12"));
  }
}

}  // namespace firmoor
