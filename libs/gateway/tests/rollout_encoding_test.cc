#include "details/rollout_encoding.h"

#include <doctest/doctest.h>

#include <QCborArray>
#include <cstdint>
#include <limits>
#include <string>

#include "gateway/coordination.h"

namespace firmoor {
namespace {

RolloutReport Report() {
  RolloutReport report;
  report.target = "v2";
  report.age = Duration(4'000);
  report.over = Duration(12'000);
  report.stage = RolloutStage::kCanary;
  report.requests = 100;
  report.sent = 7;
  report.baseline_in_flight = 3;
  report.is_stopped = true;
  report.evidence["r"].baseline.ended = 90;
  report.evidence["r"].target.bad = 2;
  report.evidence["r"].target.pace[13] = 5;
  report.targets["i-1"] = {6, 2, 5, 65};
  return report;
}

template <typename Message>
Message Reread(const Message& message) {
  const auto decoded =
      Capture([&] { return Message::Decode(message.Encode()); });
  const auto* value = std::get_if<Message>(&decoded);
  return value == nullptr ? Message() : *value;
}

TEST_CASE("Roll-outs in the messages between daemons") {
  GIVEN("a report and a reply") {
    DaemonReport report;
    report.daemon = "d";
    report.instance_id = "d/1";
    report.rollouts["s"] = Report();
    CoordinatorReply reply;
    reply.true_ms = 1;
    reply.rollouts["s"] = {"v2", RolloutStage::kReverted};
    THEN("they are read as they were written") {
      CHECK(Reread(report).rollouts == report.rollouts);
      CHECK(Reread(reply).rollouts == reply.rollouts);
    }
  }
  GIVEN("no roll-outs") {
    // Guards against messages that change for deployments without them.
    CHECK_FALSE(DaemonReport().Encode().contains("rollouts"));
    CHECK_FALSE(CoordinatorReply().Encode().contains("rollouts"));
  }
  GIVEN("evidence of more routes than a message holds") {
    // Guards against a daemon of which nothing is heard, since it has a route
    // too many.
    auto report = Report();
    report.evidence.clear();
    for (int i = 0; i < 300; ++i) {
      auto& arms = report.evidence["r" + std::to_string(i)];
      arms.baseline.ended = 1'000 - i;
      arms.target.ended = i;
    }
    const auto read = details::DecodeRolloutReports(
        details::EncodeRolloutReports({{"s", report}}));
    THEN("those with most of the target's answers are told") {
      REQUIRE(read.contains("s"));
      const auto& evidence = read.at("s").evidence;
      CHECK(evidence.size() == 256);
      CHECK(evidence.contains("r299"));
      CHECK(evidence.contains("r44"));
      CHECK_FALSE(evidence.contains("r43"));
      CHECK(read.at("s").sent == 7);
    }
    THEN("what a message has beyond is left out") {
      auto map = details::EncodeRolloutReports({{"s", report}});
      auto entry = map[QLatin1String("s")].toMap();
      auto evidence = entry[QLatin1String("evidence")].toMap();
      for (int i = 0; i < 300; ++i) {
        evidence[QString("x%1").arg(i)] = QCborArray{};
      }
      entry[QLatin1String("evidence")] = evidence;
      map[QLatin1String("s")] = entry;
      const auto kept = details::DecodeRolloutReports(map);
      REQUIRE(kept.contains("s"));
      CHECK(kept.at("s").evidence.size() == 256);
      CHECK(kept.at("s").sent == 7);
    }
  }
  GIVEN("an age that no order has") {
    // Guards against times that overflow.
    auto report = Report();
    report.age = Duration(std::numeric_limits<std::int64_t>::max());
    report.over = report.age;
    const auto read = details::DecodeRolloutReports(
        details::EncodeRolloutReports({{"s", report}}));
    REQUIRE(read.contains("s"));
    CHECK(read.at("s").age < Duration(1'000'000'000'000));
    CHECK(read.at("s").over < Duration(1'000'000'000'000));
  }
  GIVEN("messages of a build without roll-outs") {
    CHECK(details::DecodeRolloutReports(QCborValue()).empty());
    CHECK(details::DecodeRolloutReplies(QCborValue()).empty());
  }
  GIVEN("malformed entries") {
    // Guards against a stage that no build knows, and against counts whose sums
    // overflow.
    auto map = details::EncodeRolloutReports({{"s", Report()}});
    auto report = map[QLatin1String("s")].toMap();
    SUBCASE("an unknown stage") {
      report[QLatin1String("stage")] = 17;
      map[QLatin1String("s")] = report;
      CHECK(details::DecodeRolloutReports(map).empty());
      CHECK(details::DecodeRolloutReplies(QCborMap{{"s", QCborArray{"v2", 17}}})
                .empty());
    }
    SUBCASE("a negative count") {
      report[QLatin1String("sent")] = -5;
      map[QLatin1String("s")] = report;
      CHECK(details::DecodeRolloutReports(map).at("s").sent == 0);
    }
  }
}

}  // namespace
}  // namespace firmoor
