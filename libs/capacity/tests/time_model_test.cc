#include "capacity/time_model.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("the expected time of requests of a service") {
  constexpr double kPrior = 50'000;
  TimeModel model(kPrior);
  CHECK_FALSE(model.IsKnown());

  SUBCASE("keeps the prior speed while all requests are of one size") {
    for (int i = 0; i < 100; ++i) model.OnSample(1'000, 0.1);
    CHECK(model.TokensPerS() == doctest::Approx(kPrior));
    CHECK(model.Expected(1'000) == doctest::Approx(0.1));
  }
  // Guards against engines that are taken to read at any speed, so that prompts
  // leave the engine that has read their shared part.
  SUBCASE("stays near the prior while the load hides the reading time") {
    for (int i = 0; i < 256; ++i) {
      const double tokens = 500.0 * (i % 8);
      model.OnSample(tokens, 0.08 + tokens / 157'000 + 0.05 * (i * 37 % 11));
    }
    CHECK(model.TokensPerS() > kPrior / 2);
    CHECK(model.TokensPerS() < 157'000);
  }
  SUBCASE("finds the speed of engines that read three times as fast") {
    for (int i = 0; i < 200; ++i) {
      const double tokens = 500.0 * (i % 20);
      model.OnSample(tokens, 0.08 + tokens / 157'000);
    }
    CHECK(model.TokensPerS() > 120'000);
    CHECK(model.TokensPerS() < 160'000);
    CHECK(model.Base() == doctest::Approx(0.08).epsilon(0.2));
    SUBCASE("which a few paused engines do not change much") {
      const double before = model.Expected(4'000);
      for (int i = 0; i < 6; ++i) model.OnSample(4'000, 6);
      CHECK(model.Expected(4'000) < 1.2 * before);
    }
  }
}

}  // namespace firmoor
