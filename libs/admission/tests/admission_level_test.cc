#include "admission/admission_level.h"

#include <doctest/doctest.h>

#include "admission/fleet_shortage.h"
#include "admission/room_division.h"

namespace firmoor {
namespace {

double WeighAlike(const std::string& /*workspace*/) { return 1; }

ServiceDemand MakeDemand(double short_of_room) {
  return {{{0, "a"}, {60, 60, 0}},
          {{1, "a"}, {30, 30 - short_of_room, short_of_room}},
          {{1, "b"}, {10, 10, 0}}};
}

}  // namespace

TEST_CASE("room is divided") {
  SUBCASE("by urgency, with a floor for the least urgent") {
    const auto shares = DivideByUrgency({{0, 60}, {1, 30}, {2, 10}}, 50);
    CHECK(shares.at(0) == doctest::Approx(0.25 + 25.0 / 60));
    CHECK(shares.at(1) == doctest::Approx(0.25));
    CHECK(shares.at(2) == doctest::Approx(0.25));
  }
  SUBCASE("among workspaces, the largest giving way first") {
    const auto shares = DivideFairly({{"a", {80, 1}}, {"b", {10, 1}}}, 45);
    CHECK(shares.at("b") == doctest::Approx(1));
    CHECK(shares.at("a") == doctest::Approx(35.0 / 80));
  }
  SUBCASE("alike if a workspace has no quota to weigh it by") {
    const auto shares = DivideFairly({{"a", {80, 0}}, {"b", {10, 9}}}, 45);
    CHECK(shares.at("a") == doctest::Approx(35.0 / 80));
  }
  SUBCASE("wholly if it suffices") {
    CHECK(DivideByUrgency({{0, 60}, {2, 10}}, 70).at(2) == doctest::Approx(1));
  }
}

TEST_CASE("the admission level of a service") {
  AdmissionLevel level;
  SUBCASE("is not set while all find room") {
    level.Add(MakeDemand(0));
    level.EndPeriod(WeighAlike);
    CHECK_FALSE(level.shares());
  }
  SUBCASE("is set when requests find none") {
    level.Add(MakeDemand(10));
    level.EndPeriod(WeighAlike);
    REQUIRE(level.shares());
    CHECK(level.shares()->level < 1);
    CHECK(level.shares()->priorities.at(0).ahead == doctest::Approx(60.0 / 90));
    CHECK(level.shares()->ShareOf(0, "a") == doctest::Approx(1));
    CHECK(level.shares()->ShareOf(1, "a") < level.shares()->ShareOf(1, "b"));

    SUBCASE("and lifted once they do") {
      for (int period = 0; period < 4; ++period) {
        level.Add(MakeDemand(0));
        level.EndPeriod(WeighAlike);
      }
      CHECK_FALSE(level.shares());
    }
    SUBCASE("and forgotten without demand") {
      for (int period = 0; period < 16; ++period) level.EndPeriod(WeighAlike);
      CHECK(level.IsIdle());
    }
  }
}

TEST_CASE("a new coordinator") {
  FleetShortage coordinator(TimePoint{});
  const ShortageReport report{{{"model", MakeDemand(10)}}};
  SUBCASE("does not tell a level before it has seen a period") {
    CHECK_FALSE(
        coordinator.OnReport(report, WeighAlike, TimePoint(Duration(500)))
            .is_known);
    const auto reply =
        coordinator.OnReport(report, WeighAlike, TimePoint(Duration(1'000)));
    CHECK(reply.is_known);
    CHECK(reply.services.contains("model"));
  }
}

}  // namespace firmoor
