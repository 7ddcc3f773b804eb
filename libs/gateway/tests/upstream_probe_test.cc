#include "details/upstream_probe.h"

#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture.h"

namespace firmoor::details {
namespace {

constexpr std::int64_t kBornMs = 500'000;
constexpr std::int64_t kSentMs = 600'000;

HttpFetchResult Answer(int status, const std::string& body) {
  HttpFetchResult result;
  result.end = HttpCallEnd::kComplete;
  result.answer = {status, {{"Content-Length", "1"}}, body};
  return result;
}

HttpFetchResult Born(std::int64_t born_ms) {
  return Answer(200, "born " + std::to_string(born_ms));
}

}  // namespace

// Guards against an instance that is taken for the one that closed a
// connection (incident ORDER).
TEST_CASE("an upstream is asked whether it runs after it closed a connection") {
  const TestDialect dialect;
  const auto judge = [&](const HttpFetchResult& result) {
    return JudgeReport(result, dialect, {kBornMs, kSentMs});
  };

  SUBCASE("it runs if the instance that is registered answers") {
    CHECK(judge(Born(kBornMs)) == UpstreamState::kRuns);
  }
  SUBCASE("it runs if one answers that was born before the request") {
    CHECK(judge(Born(kSentMs - kClockToleranceMs)) == UpstreamState::kRuns);
  }
  SUBCASE("it is gone if one answers that may have been born after it") {
    CHECK(judge(Born(kSentMs - kClockToleranceMs + 1)) == UpstreamState::kGone);

    SUBCASE("for sure, if its own birth is not registered") {
      const ServingInstance unknown{0, kSentMs};
      const auto latest = kSentMs + kClockToleranceMs;
      CHECK(JudgeReport(Born(latest), dialect, unknown) ==
            UpstreamState::kRuns);
      CHECK(JudgeReport(Born(latest + 1), dialect, unknown) ==
            UpstreamState::kGone);
    }
  }
  SUBCASE("it is gone if the connection ends without an answer") {
    HttpFetchResult result;
    for (const auto end : {HttpCallEnd::kNoResponse, HttpCallEnd::kTruncated}) {
      result.end = end;
      CHECK(judge(result) == UpstreamState::kGone);
    }
  }
  SUBCASE("it is gone if another upstream has its address") {
    CHECK(judge(Answer(421, "")) == UpstreamState::kGone);
  }
  SUBCASE("nothing is known without an answer in time") {
    HttpFetchResult result;
    for (const auto end : {HttpCallEnd::kNotConnected, HttpCallEnd::kTimedOut,
                           HttpCallEnd::kMalformed, HttpCallEnd::kTooLarge}) {
      result.end = end;
      CHECK(judge(result) == UpstreamState::kUnknown);
    }
  }
  SUBCASE("nothing is known from an error that a proxy may send") {
    CHECK(judge(Answer(502, "")) == UpstreamState::kUnknown);
  }
  SUBCASE(
      "nothing is known from an answer without an end, unless it is whole") {
    auto result = Answer(200, "a part");
    result.answer.headers.clear();
    CHECK(judge(result) == UpstreamState::kUnknown);
    result.answer.body = "born " + std::to_string(kBornMs);
    CHECK(judge(result) == UpstreamState::kRuns);
  }
}

}  // namespace firmoor::details
