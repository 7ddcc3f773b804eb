#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "capacity/upstream_capacity.h"

namespace firmoor {
namespace {

constexpr double kUsualS = 0.04;

/// Upstreams of one service whose time per request is a function of the time
/// and of the requests there.
struct Service {
  using Slowness = std::function<double(int upstream, int in_flight)>;

  UpstreamCapacity capacity;
  TimePoint now{Duration(1'000'000)};
  std::int64_t slots = 10;

  static std::string IdOf(int upstream) { return std::to_string(upstream); }

  void Answer(int upstream, int in_flight, double slowness) {
    CapacitySample sample;
    sample.id = IdOf(upstream);
    sample.work = {"desk", "look", 0, 0};
    sample.time = DurationOfSeconds(kUsualS * slowness);
    sample.in_flight = in_flight;
    sample.ceiling = slots;
    sample.load =
        static_cast<double>(in_flight - 1) / static_cast<double>(slots);
    capacity.OnSample(sample, now);
  }
  /// One request at each upstream, one after the other, in each `step`.
  void Run(int upstreams, int rounds, Duration step, const Slowness& slowness) {
    for (int round = 0; round < rounds; ++round) {
      for (int u = 0; u < upstreams; ++u) Answer(u, 1, slowness(u, 1));
      now += step;
    }
  }
  [[nodiscard]] double SlownessOf(int upstream) const {
    return capacity.Slowness("desk", IdOf(upstream), now);
  }
};

const Service::Slowness kEven = [](int, int) { return 1.0; };
Service::Slowness Slow(int slow, double factor) {
  return [=](int u, int) { return u == slow ? factor : 1.0; };
}

}  // namespace

TEST_CASE("upstreams of which one is half as fast for good") {
  Service service;
  service.Run(6, 40, Duration(200), Slow(2, 2));
  CHECK(service.SlownessOf(2) > 1.5);
  CHECK(service.SlownessOf(2) < 2.5);
  CHECK(service.SlownessOf(0) == 1);
  const auto changes = service.capacity.TakeChanges();
  REQUIRE(!changes.empty());
  CHECK(changes.back().id == "2");
  CHECK(changes.back().condition == UpstreamCondition::kSlow);

  SUBCASE("it recovers once its answers are as fast as those of the others") {
    service.Run(6, 40, Duration(200), kEven);
    CHECK(service.SlownessOf(2) == 1);
  }
  SUBCASE("it is tried again without requests, and is soon known again") {
    service.Run(2, 150, Duration(200), kEven);
    CHECK(service.SlownessOf(2) == 1);
    service.Run(6, 6, Duration(100), Slow(2, 2));
    CHECK(service.SlownessOf(2) > 1.25);
  }
}

TEST_CASE("an upstream that pauses for six seconds") {
  Service service;
  service.Run(6, 40, Duration(200), kEven);
  service.Run(6, 2, Duration(200), Slow(4, 7.5));
  // The second slow answer in a row is enough.
  CHECK(service.SlownessOf(4) > 3);
  CHECK(service.SlownessOf(0) == 1);
  service.Run(6, 11, Duration(500), Slow(4, 7.5));
  CHECK(service.SlownessOf(4) > 2);

  SUBCASE("has its share again after some normal answers") {
    service.Run(6, 4, Duration(200), kEven);
    CHECK(service.SlownessOf(4) == 1);
  }
  SUBCASE("is tried again though it gets no requests") {
    service.now += Duration(3'000);
    CHECK(service.SlownessOf(4) < 1.5);
  }
}

// Guards against upstreams that lose their share for what hits all of them.
TEST_CASE("upstreams that are slow for 600 ms now and then") {
  Service service;
  double worst = 1;
  for (int round = 0; round < 400; ++round) {
    for (int u = 0; u < 6; ++u) {
      // Each is slow in 3 of 20 steps of 200 ms, at its own time.
      service.Answer(u, 1, (round + 7 * u) % 20 < 3 ? 2.5 : 1.0);
    }
    service.now += Duration(200);
  }
  service.Run(6, 5, Duration(200), kEven);
  for (int u = 0; u < 6; ++u) worst = std::max(worst, service.SlownessOf(u));
  CHECK(worst == 1);
}

// Guards against a service in trouble whose upstreams are all avoided.
TEST_CASE("all upstreams of a service are slow at once") {
  Service service;
  service.Run(6, 40, Duration(200), kEven);
  service.Run(6, 10, Duration(200), [](int, int) { return 6.0; });
  for (int u = 0; u < 6; ++u) CHECK(service.SlownessOf(u) == 1);
}

TEST_CASE("an upstream that slows down at 60 % of its slots") {
  Service service;
  service.Run(3, 20, Duration(200), kEven);
  // All get as many requests as they have slots, unless the limit is lower.
  int in_flight = 1;
  for (int i = 0; i < 1'000; ++i) {
    const bool rises = service.capacity.Overload("desk", "0", in_flight) == 0;
    in_flight = std::clamp(in_flight + (rises ? 1 : -1), 1, 10);
    service.Answer(0, in_flight, in_flight > 6 ? 4 : 1);
    service.Answer(1, 10, 1.1);
    service.now += Duration(20);
  }
  CHECK(service.capacity.Overload("desk", "0", 7) > 0);
  CHECK(service.capacity.Overload("desk", "0", 2) == 0);
  CHECK(service.capacity.Overload("desk", "1", 9) == 0);
  // Its speed is that of the others.
  service.Run(3, 20, Duration(200), kEven);
  CHECK(service.SlownessOf(0) == 1);
}

TEST_CASE("an engine that happens to get the large prompts") {
  UpstreamCapacity capacity;
  TimePoint now{Duration(1'000'000)};
  const auto answer = [&](const std::string& id, double tokens) {
    CapacitySample sample;
    sample.id = id;
    sample.work = {"model", "", tokens, 0};
    sample.time = DurationOfSeconds(0.08 + tokens / 120'000);
    sample.ceiling = 24;
    capacity.OnSample(sample, now);
    now += Duration(20);
  };
  for (int i = 0; i < 100; ++i) {
    answer("a", 300.0 + 10 * (i % 30));
    answer("b", 600.0 + 10 * (i % 30));
    answer("c", 400.0 + 10 * (i % 30));
    answer("large", 9'000.0 + 100 * (i % 30));
  }
  CHECK(capacity.Slowness("model", "large", now) == 1);
  CHECK(capacity.TokensPerS("model") > 90'000);
  CHECK(capacity.TokensPerS("model") < 130'000);

  SUBCASE("parts that others left in its cache do not make it fast") {
    for (int i = 0; i < 50; ++i) {
      CapacitySample sample;
      sample.id = "a";
      sample.work = {"model", "", 300, 12'000};
      sample.time = DurationOfSeconds(0.08);
      sample.ceiling = 24;
      capacity.OnSample(sample, now);
      now += Duration(20);
    }
    CHECK(capacity.Slowness("model", "a", now) == 1);
    CHECK(capacity.TokensPerS("model") < 130'000);
  }
}

// Guards against verdicts by chance: a daemon of 295 sees one request in some
// hundred of an upstream.
TEST_CASE("few requests at each of many upstreams") {
  Service service;
  for (int round = 0; round < 3; ++round) {
    for (int u = 0; u < 140; ++u) {
      // Times scatter by a factor of two around the usual one.
      service.Answer(u, 1, 0.7 + 0.1 * ((u * 31 + round * 17) % 8));
      service.now += Duration(20);
    }
  }
  for (int u = 0; u < 140; ++u) CHECK(service.SlownessOf(u) == 1);
  CHECK(service.capacity.TakeChanges().empty());
}

}  // namespace firmoor
