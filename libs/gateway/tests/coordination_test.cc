#include "gateway/coordination.h"

#include <doctest/doctest.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <cmath>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(10'000)};

QuotaLimit LimitOf(const std::string&) { return {100, 100, Duration(8'000)}; }

DaemonReport Report(const std::string& daemon, double demand) {
  DaemonReport report;
  report.daemon = daemon;
  report.instance_id = daemon + "/1";
  report.store_era = 0;
  report.wall_ms = 1'000'000;
  report.usage = {{3, {{"w", 2}}}};
  report.quotas = {{"w", {demand, demand, 0}}};
  report.loads = {{"s", {4, 100}}};
  report.location = {"east", {"10.0.0.1", 80}, "east-1"};
  return report;
}

template <typename Message>
bool IsDecodedAsEncoded(const Message& message) {
  const auto decoded =
      Capture([&] { return Message::Decode(message.Encode()); });
  const auto* value = std::get_if<Message>(&decoded);
  return value != nullptr && *value == message;
}

}  // namespace

TEST_CASE("coordination messages") {
  SUBCASE("are decoded as they were encoded") {
    auto report = Report("a", 5);
    report.directory = DirectoryPosition{3, 17};
    report.stream_ends[{"s", "v1"}] = {{12, 1, Duration(300), Duration(20)},
                                       {40, 2, 3}};
    CHECK(std::get<DaemonReport>(Capture([&] {
            return DaemonReport::Decode(report.Encode());
          })) == report);
    CoordinatorReply reply;
    reply.true_ms = 77;
    reply.store_era = 3;
    reply.limits_ready = true;
    reply.limits.quota_grants["w"] = {0.5, 2, Duration(12'000)};
    reply.limits.daemons = 4;
    reply.config_version = 7;
    reply.config_age_ms = 300;
    reply.lease_fencing_token = 12;
    reply.lease_clock_ms = 40;
    reply.sources = {{"10.0.0.1", 80}, {"10.0.0.2", 80}};
    reply.stream_ends[{"s", "v1"}] = {{12, 1, Duration(300), Duration(20)},
                                      {40, 2, 3}};
    reply.directory = {
        {3, 18}, true, {{"b", "east-1", {"10.0.0.2", 80}}}, {"c"}};
    CHECK(std::get<CoordinatorReply>(Capture([&] {
            return CoordinatorReply::Decode(reply.Encode());
          })) == reply);
  }
  SUBCASE("tell what a daemon goes on with, which earlier builds do not") {
    auto report = Report("a", 5);
    report.quotas["w"].held = 7;
    CHECK(IsDecodedAsEncoded(report));
    CHECK(IsDecodedAsEncoded(Report("a", 5)));
    const auto shortened = [](const QByteArray& bytes, const char* member,
                              qsizetype size) {
      auto message = QCborValue::fromCbor(bytes).toMap();
      auto quotas = message.value(QLatin1String(member)).toMap();
      auto items = quotas.value(QLatin1String("w")).toArray();
      while (items.size() > size) items.removeLast();
      quotas[QLatin1String("w")] = items;
      message[QLatin1String(member)] = quotas;
      return message.toCborValue().toCbor();
    };
    const auto old_report = Capture([&] {
      return DaemonReport::Decode(shortened(report.Encode(), "quotas", 4));
    });
    CHECK(std::get<DaemonReport>(old_report) == Report("a", 5));
    CoordinatorReply reply;
    reply.true_ms = 77;
    reply.limits.quota_grants["w"] = {0.5, 2, Duration(12'000)};
    const auto old_reply = Capture([&] {
      return CoordinatorReply::Decode(shortened(reply.Encode(), "grants", 2));
    });
    CHECK(std::get<CoordinatorReply>(old_reply).limits.quota_grants.at("w") ==
          QuotaGrant{0.5, 2, Duration(0)});
  }
  SUBCASE("of a hand-over are decoded as they were encoded") {
    auto report = Report("a", 5);
    report.uptime = Duration(7'000);
    report.cores = 0.125;
    CHECK(IsDecodedAsEncoded(report));
    CoordinatorReply reply;
    reply.true_ms = 77;
    reply.store_era = 3;
    reply.moved_to = "b@10.0.0.2:80";
    reply.moved_fencing = 13;
    CHECK(IsDecodedAsEncoded(reply));
    CHECK(IsDecodedAsEncoded(
        HandOverNotice{13, 74, {{"a/1", {{3, {{"w", 2}}}}}}}));
    CHECK(std::holds_alternative<Error>(
        Capture([&] { return HandOverNotice::Decode("x"); })));
  }
  // Guards against a daemon of an earlier build that is sent on, or gets the
  // lease, and knows of neither.
  SUBCASE("of earlier builds tell of no hand-over") {
    auto report = QCborValue::fromCbor(Report("a", 5).Encode()).toMap();
    report.remove(QLatin1String("uptime_ms"));
    report.remove(QLatin1String("cores"));
    CHECK(std::get<DaemonReport>(Capture([&] {
            return DaemonReport::Decode(QCborValue(report).toCbor());
          })) == Report("a", 5));
    CoordinatorReply sent;
    sent.true_ms = 77;
    auto reply = QCborValue::fromCbor(sent.Encode()).toMap();
    reply.remove(QLatin1String("moved_to"));
    reply.remove(QLatin1String("moved_fencing"));
    CHECK(std::get<CoordinatorReply>(Capture([&] {
            return CoordinatorReply::Decode(QCborValue(reply).toCbor());
          })) == sent);
  }
  SUBCASE("carry crashes, completed requests and verdicts") {
    const Suspect suspect{SuspectKind::kPromptChunk, std::string(32, 'a')};
    const Suspect other{SuspectKind::kPromptChunk, std::string(32, 'b')};
    const UpstreamRun run{"u", 7};
    const Verdict verdict{{suspect, other}, Duration(900), 5, {"u", "v"}};
    auto report = Report("a", 5);
    report.quarantine.term = 3;
    report.quarantine.crashes = {
        {run, Duration(40), {{suspect, Duration(90)}}}};
    report.quarantine.completed = {{other, Duration(1)}};
    report.quarantine.responsive = {run};
    report.quarantine.verdicts = {verdict};
    report.quarantine.lifted = {suspect};
    report.quarantine.rejected = {other};
    CHECK(IsDecodedAsEncoded(report));
    CoordinatorReply reply;
    reply.true_ms = 77;
    reply.quarantine = {3, {suspect}, {{run, Duration(5)}}, {verdict}, {other}};
    CHECK(IsDecodedAsEncoded(reply));

    report.quarantine.crashes.front().age = Duration(-1);
    CHECK_FALSE(IsDecodedAsEncoded(report));
    // One member that is not understood would leave a verdict on too much.
    reply.quarantine.verdicts.front().members = {suspect, {{}, "short"}};
    const auto decoded =
        Capture([&] { return CoordinatorReply::Decode(reply.Encode()); });
    CHECK(std::get<CoordinatorReply>(decoded).quarantine.verdicts.empty());
  }
  SUBCASE("carry the limits that upstreams announce") {
    auto report = Report("a", 5);
    report.upstream_limits = {
        3,
        9,
        {{"u", {7, 0.5, Duration(20), 2.5, 1, 4}},
         {"v", {8, std::nullopt, Duration(30), 0, 0, 0}}}};
    CHECK(IsDecodedAsEncoded(report));
    CoordinatorReply reply;
    reply.true_ms = 77;
    reply.upstream_limits = {
        3, 10, true, {{"u", {7, 0.5, Duration(20), 2, Duration(40), 0.25}}}};
    CHECK(IsDecodedAsEncoded(reply));
    SUBCASE("and are rejected with a limit that is none") {
      for (const double rate : {0.0, -1.0, std::nan("")}) {
        report.upstream_limits.upstreams["u"].rate_per_s = rate;
        CHECK_FALSE(IsDecodedAsEncoded(report));
        reply.upstream_limits.upstreams["u"].rate_per_s = rate;
        CHECK_FALSE(IsDecodedAsEncoded(reply));
      }
    }
  }
  SUBCASE("carry the slots of brittle upstreams") {
    auto report = Report("a", 5);
    auto& told = report.upstream_limits;
    told.keeps_slots = true;
    told.number = 4;
    told.brittle = {{"s", {3, Duration(20)}},
                    {"t", {std::nullopt, Duration(30)}}};
    told.slots = {{"u", {7, 12, 3, 4, 6, 1, "s"}}};
    CHECK(IsDecodedAsEncoded(report));
    CoordinatorReply reply;
    reply.true_ms = 77;
    reply.upstream_limits.grants_slots = true;
    reply.upstream_limits.number = 4;
    reply.upstream_limits.brittle = told.brittle;
    reply.upstream_limits.slots = {{"u", {7, 5, true}}};
    CHECK(IsDecodedAsEncoded(reply));
    SUBCASE("without numbers that cannot be") {
      told.brittle["s"].rejection_tolerance = -1;
      told.slots["u"].in_flight = -3;
      const auto decoded =
          Capture([&] { return DaemonReport::Decode(report.Encode()); });
      const auto& limits = std::get<DaemonReport>(decoded).upstream_limits;
      CHECK_FALSE(limits.brittle.contains("s"));
      CHECK(limits.slots.at("u").in_flight == 0);
    }
  }
  SUBCASE("are rejected when they are malformed") {
    for (const auto* bytes : {"", "x", "\xa0"}) {
      CHECK(std::holds_alternative<Error>(
          Capture([&] { return DaemonReport::Decode(bytes); })));
      CHECK(std::holds_alternative<Error>(
          Capture([&] { return CoordinatorReply::Decode(bytes); })));
      CHECK(std::holds_alternative<Error>(
          Capture([&] { return CoordinatorHandoverState::Decode(bytes); })));
    }
  }
}

TEST_CASE("the coordinator") {
  Coordinator coordinator(kStart, {}, kStart, 1);
  const auto after_wait = kStart + Duration(3'000);

  SUBCASE("divides no limits before all daemons have had time to report") {
    CHECK_FALSE(coordinator.OnReport(Report("a", 1), LimitOf, 5'000, kStart)
                    .limits_ready);
    CHECK(coordinator.OnReport(Report("a", 1), LimitOf, 8'000, after_wait)
              .limits_ready);
  }
  SUBCASE(
      "divides limits once the number of daemons it took over has reported") {
    Coordinator second(kStart, {3, {}, {}}, kStart, 1);
    CHECK_FALSE(
        second.OnReport(Report("a", 1), LimitOf, 5'000, kStart).limits_ready);
    CHECK(second.OnReport(Report("b", 1), LimitOf, 5'000, kStart).limits_ready);
    const CoordinatorHandoverState handover_state{2, {{"w", 799}}, {{"w", 12}}};
    CHECK(second.MakeHandoverState(LimitOf, kStart).daemons == 2);
    CHECK(second.MakeHandoverState(LimitOf, kStart).used_tokens.at("w") == 2);
    CHECK(std::get<CoordinatorHandoverState>(Capture([&] {
            return CoordinatorHandoverState::Decode(handover_state.Encode());
          })) == handover_state);
  }
  SUBCASE("counts tokens used before it took over") {
    Coordinator second(kStart, {0, {{"w", 800}}, {}}, after_wait + Duration(1),
                       1);
    const auto grant = [&](Duration after) {
      return second
          .OnReport(Report("a", 100), LimitOf, 8'000, after_wait + after)
          .limits.quota_grants.at("w")
          .tokens;
    };
    CHECK(grant(Duration(0)) == doctest::Approx(50));
    CHECK(grant(Duration(1)) == doctest::Approx(400));
  }
  SUBCASE("grants parts of the tokens left in a quota") {
    const auto reply =
        coordinator.OnReport(Report("a", 100), LimitOf, 8'000, after_wait);
    CHECK(reply.limits.quota_grants.at("w").tokens == doctest::Approx(400));
    CHECK(reply.limits.daemons == 1);
  }
  SUBCASE("assigns sources to the daemons of a large region") {
    constexpr int kDaemons = 8;
    const auto report_and_get_sources = [&](int i, TimePoint now,
                                            bool is_draining = false) {
      auto report = Report("d" + std::to_string(i), 1);
      report.location.peer_endpoint.port = static_cast<std::uint16_t>(80 + i);
      report.is_draining = is_draining;
      return coordinator.OnReport(report, LimitOf, 5'000, now).sources;
    };
    /// Whether any other daemon reads from `target`.
    const auto is_read = [&](int target, TimePoint now) {
      for (int i = 0; i < kDaemons; ++i) {
        if (i == target) continue;
        for (const auto& source : report_and_get_sources(i, now)) {
          if (source.port == 80 + target) return true;
        }
      }
      return false;
    };
    int reader = -1;
    int readers = 0;
    for (int i = 0; i < kDaemons; ++i) report_and_get_sources(i, kStart);
    for (int i = 0; i < kDaemons; ++i) {
      if (!report_and_get_sources(i, kStart).empty()) continue;
      reader = i;
      ++readers;
    }
    REQUIRE(readers == 2);
    CHECK(is_read(reader, kStart));
    SUBCASE("but not a daemon that is draining") {
      report_and_get_sources(reader, kStart, true);
      CHECK_FALSE(is_read(reader, kStart));
    }
    SUBCASE("but not a daemon that is unresponsive") {
      const auto then = kStart + Duration(3'500);
      is_read(reader, then);
      CHECK_FALSE(is_read(reader, then + Duration(600)));
    }
  }
  SUBCASE("tells each daemon of all others") {
    const auto later = kStart + Duration(10'000);
    coordinator.OnReport(Report("b", 0), LimitOf, 1'000, later);
    auto report = Report("a", 0);
    // Daemons of a build without a directory get none.
    CHECK(coordinator.OnReport(report, LimitOf, 1'000, later).directory ==
          DirectoryUpdate{});
    report.directory = DirectoryPosition{};
    const auto reply = coordinator.OnReport(report, LimitOf, 1'000, later);
    CHECK(reply.directory.is_full);
    CHECK(reply.directory.added.size() == 2);
    CHECK(reply.directory.added.front().availability_zone == "east-1");

    SUBCASE("also of one that restarts, as it will be back") {
      auto draining = Report("b", 0);
      draining.is_draining = true;
      coordinator.OnReport(draining, LimitOf, 1'000, later);
      report.directory = reply.directory.position;
      const auto update = coordinator.OnReport(report, LimitOf, 1'000,
                                               later + Duration(10'000));
      CHECK(update.directory.removed.empty());
    }
    SUBCASE("but not of one that has been silent for long") {
      report.directory = reply.directory.position;
      const auto update = coordinator.OnReport(report, LimitOf, 1'000,
                                               later + Duration(10'001));
      CHECK_FALSE(update.directory.is_full);
      CHECK(update.directory.removed == std::vector<std::string>{"b"});
    }
  }
  SUBCASE("sums the usage and loads of the daemons") {
    coordinator.OnReport(Report("a", 1), LimitOf, 5'000, kStart);
    coordinator.OnReport(Report("b", 1), LimitOf, 5'000, kStart);
    CHECK(coordinator.Usage(3) == UsageCounts{{"w", 4}});
    CHECK(coordinator.Loads(kStart)["s"] == ServiceLoad{8, 200});
    SUBCASE("without the load of an unresponsive daemon") {
      coordinator.OnReport(Report("a", 1), LimitOf, 9'000,
                           kStart + Duration(4'000));
      CHECK(coordinator.Loads(kStart + Duration(4'000))["s"] ==
            ServiceLoad{4, 100});
    }
  }
  SUBCASE("knows whether all daemons have reported since a given time") {
    coordinator.OnReport(Report("a", 1), LimitOf, 5'000, kStart);
    coordinator.OnReport(Report("b", 1), LimitOf, 6'000, kStart);
    CHECK(coordinator.AllReportedSince(5'000, kStart));
    CHECK_FALSE(coordinator.AllReportedSince(5'500, kStart));
    SUBCASE("waits for a daemon that is cut off and may still report") {
      const auto then = kStart + Duration(7'000);
      coordinator.OnReport(Report("b", 1), LimitOf, 13'000, then);
      CHECK_FALSE(coordinator.AllReportedSince(8'000, then));
    }
    SUBCASE("does not wait for a daemon that was stopped (rolling restart)") {
      auto final_report = Report("a", 1);
      final_report.is_draining = true;
      CHECK(std::get<DaemonReport>(Capture([&] {
              return DaemonReport::Decode(final_report.Encode());
            })) == final_report);
      coordinator.OnReport(final_report, LimitOf, 7'000,
                           kStart + Duration(1'000));
      const auto then = kStart + Duration(4'500);
      coordinator.OnReport(Report("b", 1), LimitOf, 10'500, then);
      CHECK(coordinator.AllReportedSince(8'000, then));
    }
    SUBCASE("does not wait for a daemon that has not reported for long") {
      const auto then = kStart + Duration(10'500);
      coordinator.OnReport(Report("b", 1), LimitOf, 16'000, then);
      CHECK(coordinator.AllReportedSince(8'000, then));
    }
  }
  SUBCASE("waits for the reports of all daemons that it took over") {
    Coordinator second(kStart, {3, {}, {}}, kStart, 1);
    second.OnReport(Report("a", 1), LimitOf, 5'000, kStart);
    second.OnReport(Report("b", 1), LimitOf, 5'000, kStart);
    CHECK_FALSE(second.AllReportedSince(5'000, kStart));
    second.OnReport(Report("c", 1), LimitOf, 5'000, kStart);
    CHECK(second.AllReportedSince(5'000, kStart));
  }
  SUBCASE("passes on its handover state until the daemons have reported") {
    Coordinator second(kStart, {7, {{"w", 300}}, {}}, after_wait, 1);
    second.OnReport(Report("a", 1), LimitOf, 5'000, kStart);
    const auto handover_state = second.MakeHandoverState(LimitOf, kStart);
    CHECK(handover_state.daemons == 7);
    CHECK(handover_state.used_tokens.at("w") == 300);
    CHECK(second.MakeHandoverState(LimitOf, after_wait).daemons == 1);
  }
}

// Guards against counts of daemons that have ended and are lost with the
// coordinator, and against grants that wait for these daemons (issue 46).
TEST_CASE("the coordinator that is handed the lease") {
  const auto report = [](Coordinator* to, const std::string& daemon,
                         TimePoint now, bool is_draining = false) {
    auto sent = Report(daemon, 1);
    sent.is_draining = is_draining;
    sent.uptime = Duration(60'000);
    return to->OnReport(sent, LimitOf, 1'000, now);
  };
  Coordinator before(kStart, {}, kStart, 7);
  const auto now = kStart + Duration(20'000);
  report(&before, "ended", now - Duration(5'000));
  report(&before, "leaving", now, true);
  for (const char* daemon : {"a", "b", "c"}) report(&before, daemon, now);

  const auto to = before.ChooseSuccessor("a", now);
  REQUIRE(to);
  CHECK(to->daemon == "b");
  CHECK(to->instance_id == "b/1");
  const auto notice = before.MakeNotice(8, 3, now);
  CHECK(notice.reporting == 3);
  CHECK(notice.ended_usage.size() == 2);
  CHECK(notice.ended_usage.contains("ended/1"));
  CHECK(before.MakeNotice(8, 4, now).ended_usage.empty());

  Coordinator next(now, before.MakeHandoverState(LimitOf, now),
                   now + Duration(8'000), 8);
  next.OnNotice(notice);
  CHECK(!report(&next, "a", now).limits_ready);
  CHECK(!report(&next, "b", now).limits_ready);
  CHECK(report(&next, "c", now).limits_ready);
  // Of five instances with two requests each.
  CHECK(next.Usage(3)["w"] == 10);
  report(&next, "leaving", now, true);
  CHECK(next.Usage(3)["w"] == 10);
}

}  // namespace firmoor
