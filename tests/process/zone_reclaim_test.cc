#include <doctest/doctest.h>

#include "cluster.h"

namespace firmoor {
namespace {

constexpr int kTokens = 500;
constexpr int kLetters = 3;  // At each daemon of the zone.
constexpr int kNoticeMs = 4'000;

ClusterShape TwoRegions() {
  ClusterShape shape;
  shape.zones = {{"east", "home", 2, 1, 1},
                 {"west", "home", 1, 1, 1},
                 {"far", "away", 1, 1, 1}};
  shape.settings["times.drain_ms"] = "3500";
  return shape;
}

/// An accepted asynchronous request.
struct Accepted {
  std::string prompt;
  std::string location;
};

std::string WholeText(const std::string& prompt) {
  std::string text;
  for (const auto& word : ExpectedWords(prompt, kTokens)) text += word;
  return text;
}

std::vector<Accepted> AcceptLetters(Cluster* cluster, std::size_t daemon) {
  std::vector<Accepted> accepted;
  for (int i = 0; i < kLetters; ++i) {
    const auto prompt =
        "letter " + std::to_string(daemon) + " " + std::to_string(i);
    const auto answer =
        cluster->Ask(daemon, cluster->Completion(prompt, kTokens, false, true));
    REQUIRE(answer.answer.status == 202);
    accepted.push_back(
        {prompt, std::string(HeaderValue(answer.answer.headers, "Location"))});
  }
  return accepted;
}

void CheckAnswered(Cluster* cluster, std::size_t daemon,
                   const Accepted& accepted) {
  HttpFetchResult answer;
  REQUIRE(WaitUntil(
      [&] {
        answer = cluster->Ask(daemon, cluster->Question(accepted.location));
        return answer.answer.status != 202;
      },
      30'000));
  CAPTURE(accepted.location);
  CHECK(answer.answer.status == 200);
  CHECK(answer.answer.body.find(WholeText(accepted.prompt)) !=
        std::string::npos);
}

}  // namespace

TEST_CASE("a whole zone is reclaimed, entry VMs and upstreams at once") {
  Cluster cluster(TwoRegions());
  REQUIRE(cluster.WaitReady());
  constexpr std::size_t kWest = 2;
  constexpr std::size_t kFar = 3;
  auto letters = AcceptLetters(&cluster, 0);
  for (auto& letter : AcceptLetters(&cluster, 1)) {
    letters.push_back(std::move(letter));
  }
  Exchange booking(cluster.daemon(0).endpoint,
                   cluster.Booking("k", "w", "late:1500"));
  Exchange stream(cluster.daemon(1).endpoint,
                  cluster.Completion("history", 60, true));
  REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));

  cluster.PublishVms({}, {cluster.engine(0).name, cluster.plain(0).name});
  cluster.Terminate(&cluster.daemon(0));
  cluster.Terminate(&cluster.daemon(1));
  RunFor(kNoticeMs);
  cluster.Kill(&cluster.engine(0));
  cluster.Kill(&cluster.plain(0));
  REQUIRE(cluster.WaitEnded(&cluster.daemon(0), 1'000));
  REQUIRE(cluster.WaitEnded(&cluster.daemon(1), 1'000));
  CHECK(cluster.daemon(0).process->exitCode() == 0);
  CHECK(cluster.daemon(1).process->exitCode() == 0);
  REQUIRE(booking.Wait());
  CHECK(booking.result().answer.status == 200);
  REQUIRE(stream.Wait());
  CHECK(stream.result().answer.body.ends_with("data: [DONE]\n\n"));
  CHECK(StreamedWords(stream.body()) == ExpectedWords("history", 60));

  SUBCASE("accepted work is answered by the other zone") {
    for (const auto& letter : letters) CheckAnswered(&cluster, kWest, letter);
    const auto again = cluster.Ask(kWest, cluster.Booking("k", "w"));
    CHECK(again.answer.body == booking.result().answer.body);
  }
  SUBCASE("and by the other region when that zone goes too") {
    cluster.Terminate(&cluster.daemon(kWest));
    REQUIRE(cluster.WaitEnded(&cluster.daemon(kWest), 6'000));
    for (const auto& letter : letters) CheckAnswered(&cluster, kFar, letter);
    const auto again = cluster.Ask(kFar, cluster.Booking("k", "w"));
    CHECK(again.answer.body == booking.result().answer.body);
  }
  CHECK(cluster.JournalledRuns().at("w") == 1);
  CHECK(cluster.BrokenInvariants() == 0);
}

}  // namespace firmoor
