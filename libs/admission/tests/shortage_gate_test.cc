#include "admission/shortage_gate.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

constexpr TimePoint kStart{};

ShortageGate MakeGate() {
  ShortageGate gate;
  gate.SetKinds({{"model", ServiceKinds::Builder()
                               .Add(0, Duration(500))
                               .Add(2, Duration(2'500))
                               .Build()},
                 {"other", ServiceKinds::Builder()
                               .Add(0, Duration(500))
                               .Add(0, Duration(900))
                               .Build()}});
  return gate;
}

ShortageRequest MakeRequest(int priority, Duration expected_wait) {
  ShortageRequest request;
  request.service = "model";
  request.route = priority == 0 ? "brief" : "note";
  request.workspace = "w";
  request.priority = priority;
  request.time_left = Duration(8'000);
  request.expected_wait = expected_wait;
  request.occupancy = 1;
  request.lot = 0.9;
  return request;
}

ShortageReply MakeReply(double least_share) {
  ServiceShares shares;
  shares.level = 0.8;
  shares.priorities[2].share = least_share;
  return {true, {{"model", shares}}};
}

}  // namespace

TEST_CASE("a daemon decides on requests of several priorities") {
  auto gate = MakeGate();
  CHECK(gate.Concerns("model"));
  CHECK_FALSE(gate.Concerns("other"));
  CHECK_FALSE(gate.Concerns("unknown"));

  SUBCASE("sending them while slots are free") {
    const auto decision = gate.Decide(MakeRequest(2, Duration(0)), kStart);
    CHECK(decision.verdict == ShortageVerdict::kAdmit);
  }
  // Guards against a limit by each kind's own objective, by which the most
  // urgent kind was refused 29 times as often as the least urgent.
  SUBCASE("holding an urgent one as long as a less urgent one") {
    const Duration wait{600};
    CHECK(gate.Decide(MakeRequest(2, wait), kStart).verdict ==
          ShortageVerdict::kHold);
    CHECK(gate.Decide(MakeRequest(0, wait), kStart).verdict ==
          ShortageVerdict::kHold);
  }
  SUBCASE("not counting less urgent ones ahead of an urgent one") {
    for (int i = 0; i < 30; ++i) {
      gate.Decide(MakeRequest(i % 3 == 0 ? 0 : 2, Duration(0)), kStart);
    }
    const Duration wait{900};
    CHECK(gate.Decide(MakeRequest(0, wait), kStart).wait == Duration(300));
    CHECK(gate.Decide(MakeRequest(2, wait), kStart).reason ==
          ShortageReason::kLongWait);
  }
  SUBCASE("refusing at once what cannot be served in its time") {
    auto request = MakeRequest(0, Duration(400));
    request.time_left = Duration(700);
    CHECK(gate.Decide(request, kStart).reason == ShortageReason::kLongWait);
  }

  SUBCASE("by the coordinator's level") {
    for (int i = 0; i < 20; ++i) {
      gate.Decide(MakeRequest(0, Duration(0)), kStart);
    }
    gate.OnReply(MakeReply(0.4), kStart);
    auto request = MakeRequest(2, Duration(0));
    SUBCASE("less urgent ones step aside before upstreams are full") {
      request.occupancy = 0.9;
      const auto decision = gate.Decide(request, kStart);
      CHECK(decision.reason == ShortageReason::kStepsAside);
      CHECK(decision.retry_after > Duration(0));
      CHECK_FALSE(decision.is_own_view);
      request.occupancy = 0.8;
      CHECK(gate.Decide(request, kStart).verdict == ShortageVerdict::kAdmit);
    }
    SUBCASE("but for their share") {
      request.lot = 0.3;
      CHECK(gate.Decide(request, kStart).verdict == ShortageVerdict::kAdmit);
    }
    SUBCASE("and not if they come back at their turn") {
      const auto refused = gate.Decide(request, kStart);
      const auto told = refused.retry_after;
      request.time_left -= told;
      CHECK(gate.Decide(request, kStart + told).verdict ==
            ShortageVerdict::kAdmit);
    }
    // Guards against callers who gain by repeating at once.
    SUBCASE("but if they come back too early") {
      const auto refused = gate.Decide(request, kStart);
      const auto early = refused.retry_after / 2;
      request.time_left -= early;
      CHECK(gate.Decide(request, kStart + early).verdict ==
            ShortageVerdict::kRefuse);
    }
    SUBCASE("until it is out of date") {
      const auto decision = gate.Decide(request, kStart + Duration(2'600));
      CHECK(decision.verdict == ShortageVerdict::kAdmit);
      CHECK(decision.is_own_view);
    }
  }

  SUBCASE("and reports the demand by workspace only in a shortage") {
    gate.Decide(MakeRequest(2, Duration(0)), kStart);
    CHECK(gate.Report(kStart).services.at("model").contains({2, ""}));
    gate.OnReply(MakeReply(1), kStart);
    gate.Decide(MakeRequest(2, Duration(0)), kStart);
    CHECK(gate.Report(kStart).services.at("model").contains({2, "w"}));
    CHECK(gate.Report(kStart).services.empty());
  }
}

TEST_CASE("refused callers come back in order of urgency") {
  RetryTurns turns;
  const auto request = [](int priority) {
    return RetryTurns::Request{priority, Duration(100), Duration(2'600), 4};
  };
  const auto next = [&](int priority) {
    return turns.Next(request(priority), kStart);
  };
  const auto first = next(2);
  const auto second = next(2);
  const auto urgent = next(0);
  CHECK(first < second);
  CHECK(urgent <= first);
  CHECK(RetryTurns::IsTurn(first, Duration(2'600)));
  CHECK_FALSE(RetryTurns::IsTurn(first / 2, Duration(2'600)));

  SUBCASE("within the time for which they wait") {
    for (int i = 0; i < 50; ++i) CHECK(next(2) <= Duration(2'600));
  }
}

}  // namespace firmoor
