#include <doctest/doctest.h>

#include <QJsonArray>

#include "cluster.h"

namespace firmoor {
namespace {

ClusterShape OneDaemon(int engines, int plains) {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, engines, plains}};
  return shape;
}

std::int64_t RequestsAt(Cluster* cluster, const Endpoint& engine) {
  return cluster->GetJson(engine, "/stats").value("requests").toInteger();
}

/// The one of two engines that generates.
Cluster::Node& BusyEngine(Cluster* cluster) {
  const auto stats = cluster->GetJson(cluster->engine(0).endpoint, "/stats");
  return cluster->engine(stats.value("running").toInteger() > 0 ? 0 : 1);
}

}  // namespace

TEST_CASE("an upstream that is leaving gets no new work") {
  Cluster cluster(OneDaemon(2, 2));
  REQUIRE(cluster.WaitReady());
  // The one that the router prefers, so that the check can fail.
  CHECK(cluster.Ask(0, cluster.Completion("which", 3, true)).answer.status ==
        200);
  const std::size_t preferred =
      RequestsAt(&cluster, cluster.engine(0).endpoint) > 0 ? 0 : 1;
  const auto leaver = cluster.engine(preferred).endpoint;
  const auto leaver_name = cluster.engine(preferred).name;
  SUBCASE("although the VM list lags: its own load report is enough") {
    cluster.Control(leaver, {{"leaving", true}});
  }
  SUBCASE("although the VM list goes back on it") {
    cluster.PublishVms({}, {leaver_name});
    RunFor(600);
    cluster.PublishVms();
  }
  RunFor(3'000);
  const auto before = RequestsAt(&cluster, leaver);
  for (int i = 0; i < 20; ++i) {
    const auto name = "prompt" + std::to_string(i);
    CHECK(cluster.Ask(0, cluster.Completion(name, 3, true)).answer.status ==
          200);
  }
  CHECK(RequestsAt(&cluster, leaver) == before);
  CHECK(cluster.BrokenInvariants() == 0);
}

TEST_CASE("a leaving mark reaches the daemons that do not see it") {
  ClusterShape shape;
  shape.zones = {{"east", "home", 2, 2, 1}};
  Cluster cluster(shape);
  REQUIRE(cluster.WaitReady());
  cluster.Control(cluster.engine(0).endpoint, {{"leaving", true}});
  const auto knows = [&](std::size_t i) {
    return !cluster.Status(i).value("leaving").toArray().isEmpty();
  };
  CHECK(WaitUntil([&] { return knows(0) && knows(1); }, 3'000));
}

TEST_CASE("a generation that loses its upstream goes on elsewhere") {
  Cluster cluster(OneDaemon(2, 1));
  REQUIRE(cluster.WaitReady());
  const std::string prompt = "coat care history";
  SUBCASE("the connection drops, again and again") {
    for (std::size_t i : {0U, 1U}) {
      cluster.Control(cluster.engine(i).endpoint, {{"drop_after_tokens", 20}});
    }
    const auto answer = cluster.Ask(0, cluster.Completion(prompt, 50, true));
    CHECK(StreamedWords(answer.answer.body) == ExpectedWords(prompt, 50));
    CHECK(answer.answer.body.ends_with("data: [DONE]\n\n"));
  }
  SUBCASE("the stream ends in good order but without its end marker") {
    for (std::size_t i : {0U, 1U}) {
      cluster.Control(cluster.engine(i).endpoint,
                      {{"finish_after_tokens", 20}});
    }
    const auto answer = cluster.Ask(0, cluster.Completion(prompt, 50, true));
    CHECK(StreamedWords(answer.answer.body) == ExpectedWords(prompt, 50));
    CHECK(answer.answer.body.ends_with("data: [DONE]\n\n"));
  }
  SUBCASE("the engine is killed in mid-stream") {
    Exchange stream(cluster.daemon(0).endpoint,
                    cluster.Completion(prompt, 200, true));
    REQUIRE(WaitUntil([&] { return stream.body().size() > 2'000; }));
    cluster.Kill(&BusyEngine(&cluster));
    REQUIRE(stream.Wait());
    CHECK(StreamedWords(stream.body()) == ExpectedWords(prompt, 200));
  }
  SUBCASE("the engine goes silent in mid-stream") {
    Exchange stream(cluster.daemon(0).endpoint,
                    cluster.Completion(prompt, 200, true));
    REQUIRE(WaitUntil([&] { return stream.body().size() > 2'000; }));
    cluster.Control(BusyEngine(&cluster).endpoint, {{"silent", true}});
    REQUIRE(stream.Wait(10'000));
    CHECK(StreamedWords(stream.body()) == ExpectedWords(prompt, 200));
  }
  SUBCASE("a whole answer is as whole as a streamed one") {
    for (std::size_t i : {0U, 1U}) {
      cluster.Control(cluster.engine(i).endpoint, {{"drop_after_tokens", 20}});
    }
    const auto answer = cluster.Ask(0, cluster.Completion(prompt, 50, false));
    std::string expected;
    for (const auto& word : ExpectedWords(prompt, 50)) expected += word;
    CHECK(answer.answer.body.find(expected) != std::string::npos);
  }
}

TEST_CASE("each caller gets its own answer") {
  Cluster cluster(OneDaemon(2, 2));
  REQUIRE(cluster.WaitReady());
  std::vector<std::unique_ptr<Exchange>> streams;
  std::vector<std::unique_ptr<Exchange>> bookings;
  for (int i = 0; i < 30; ++i) {
    const auto name = "caller-" + std::to_string(i);
    streams.push_back(std::make_unique<Exchange>(
        cluster.daemon(0).endpoint, cluster.Completion(name, 20, true)));
    const auto act = "late:" + std::to_string(300 - 10 * i);
    bookings.push_back(std::make_unique<Exchange>(
        cluster.daemon(0).endpoint, cluster.Booking(name, name, act)));
  }
  for (int i = 0; i < 30; ++i) {
    const auto at = static_cast<std::size_t>(i);
    const auto name = "caller-" + std::to_string(i);
    REQUIRE(streams[at]->Wait());
    REQUIRE(bookings[at]->Wait());
    CHECK(StreamedWords(streams[at]->body()) == ExpectedWords(name, 20));
    CHECK(bookings[at]->body().ends_with("of " + name));
  }
}

TEST_CASE("a caller that leaves stops the generation") {
  Cluster cluster(OneDaemon(1, 1));
  REQUIRE(cluster.WaitReady());
  Exchange stream(cluster.daemon(0).endpoint,
                  cluster.Completion("long", 5'000, true));
  REQUIRE(WaitUntil([&] { return stream.body().size() > 1'000; }));
  stream.Leave();
  CHECK(WaitUntil([&] { return cluster.EngineTotal("running") == 0; }, 2'000));
  CHECK(WaitUntil(
      [&] { return cluster.Status(0).value("in_work").toInteger() == 0; }));
}

TEST_CASE("a silent plain upstream") {
  Cluster cluster(OneDaemon(0, 2));
  REQUIRE(cluster.WaitReady());
  SUBCASE("costs a lookup a few seconds, and is then left alone") {
    cluster.Control(cluster.plain(0).endpoint,
                    {{"act", "silent"}, {"count", 1}});
    cluster.Control(cluster.plain(1).endpoint,
                    {{"act", "silent"}, {"count", 1}});
    const auto started = MonotonicNow();
    const auto answer = cluster.Ask(0, cluster.Lookup());
    CHECK(answer.answer.status == 200);
    CHECK(MonotonicNow() - started < Duration(4'000));
  }
  SUBCASE("frozen: lookups go to the other one") {
    cluster.Freeze(&cluster.plain(0));
    for (int i = 0; i < 10; ++i) {
      CHECK(cluster.Ask(0, cluster.Lookup()).answer.status == 200);
    }
  }
}

TEST_CASE("a request that is given up on is answered at once") {
  ClusterShape shape = OneDaemon(1, 1);
  shape.configuration = {
      {"services",
       QJsonObject{{"assist", QJsonObject{{"upstream_concurrency", 2},
                                          {"queue_limit", 4}}}}}};
  Cluster cluster(shape);
  REQUIRE(cluster.WaitReady());
  SUBCASE("a full queue refuses, with a time to come back") {
    std::vector<std::unique_ptr<Exchange>> held;
    held.reserve(6);
    for (int i = 0; i < 6; ++i) {
      held.push_back(std::make_unique<Exchange>(
          cluster.daemon(0).endpoint,
          cluster.Completion("hold" + std::to_string(i), 300, true)));
    }
    RunFor(200);
    const auto started = MonotonicNow();
    const auto refused = cluster.Ask(0, cluster.Completion("x", 5, false));
    CHECK(refused.answer.status == 503);
    CHECK(OutcomeOf(refused) == "not-run");
    CHECK_FALSE(HeaderValue(refused.answer.headers, "Retry-After").empty());
    CHECK(MonotonicNow() - started < Duration(200));
  }
  SUBCASE("no upstream at all refuses, with a time to come back") {
    cluster.Kill(&cluster.plain(0));
    const auto started = MonotonicNow();
    const auto refused = cluster.Ask(0, cluster.Booking("k", "w"));
    CHECK(refused.answer.status == 503);
    CHECK(OutcomeOf(refused) == "not-run");
    CHECK_FALSE(HeaderValue(refused.answer.headers, "Retry-After").empty());
    CHECK(MonotonicNow() - started < Duration(1'000));
  }
  SUBCASE("a passed deadline answers within a tick of it") {
    auto request = cluster.Booking("k", "w", "late:3000");
    request.headers.push_back({"Firmoor-Deadline-Ms", "500"});
    const auto started = MonotonicNow();
    const auto late = cluster.Ask(0, request);
    CHECK(late.answer.status == 504);
    CHECK(OutcomeOf(late) == "unknown");
    CHECK(MonotonicNow() - started < Duration(800));
  }
}

}  // namespace firmoor
