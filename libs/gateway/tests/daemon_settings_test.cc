#include "gateway/daemon_settings.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

namespace firmoor {
namespace {

constexpr const char* kGood = R"(daemon = "front-1"
availability_zone = "east"
[regions]
east = "r"
[listen]
callers = "127.0.0.1:8080"
ready = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
metrics = "127.0.0.1:8083"
[platform]
object_api = "127.0.0.1:9000"
)";

std::variant<GatewayDaemonSettings, Error> Parse(const std::string& more) {
  const std::string text = kGood + more;
  return Capture([&] { return ParseGatewayDaemonSettings(text, "f.toml"); });
}

}  // namespace

TEST_CASE("[rollouts] settings") {
  SUBCASE("are off without the section") {
    const auto parsed = Parse("");
    CHECK_FALSE(std::get<GatewayDaemonSettings>(parsed).rollouts.enabled);
  }
  SUBCASE("are read from the section") {
    const auto parsed = Parse(
        "[rollouts]\nexpose_share = 0.2\nexpose_slack = 30\n"
        "rollback_ms = 4000\n");
    CHECK(std::get<GatewayDaemonSettings>(parsed).rollouts ==
          RolloutSettings{true, 0.2, 30, Duration(4'000)});
  }
  SUBCASE("are rejected out of range") {
    CHECK(std::holds_alternative<Error>(
        Parse("[rollouts]\nexpose_share = 1.5\n")));
  }
}

TEST_CASE("[strategies] settings") {
  SUBCASE("are all on by default") {
    const auto parsed = Parse("");
    REQUIRE(std::holds_alternative<GatewayDaemonSettings>(parsed));
    CHECK(std::get<GatewayDaemonSettings>(parsed).strategies == Strategies{});
  }
  SUBCASE("can be switched off individually") {
    const auto parsed = Parse("[strategies]\nask_engines = false\n");
    REQUIRE(std::holds_alternative<GatewayDaemonSettings>(parsed));
    const auto strategies = std::get<GatewayDaemonSettings>(parsed).strategies;
    CHECK_FALSE(strategies.ask_engines);
    CHECK(strategies.refuse_by_wait);
  }
  SUBCASE("are rejected with an unknown name or a wrong type") {
    CHECK(std::holds_alternative<Error>(Parse("[strategies]\nasks = true\n")));
    CHECK(std::holds_alternative<Error>(
        Parse("[strategies]\nask_engines = \"off\"\n")));
  }
}

// Guards against a daemon that sizes its limits for another VM.
TEST_CASE("[vm] memory_mb") {
  SUBCASE("is that of the smallest VM by default") {
    const auto parsed = Parse("");
    REQUIRE(std::holds_alternative<GatewayDaemonSettings>(parsed));
    CHECK(std::get<GatewayDaemonSettings>(parsed).memory_mb == 160);
  }
  SUBCASE("is read") {
    const auto parsed = Parse("[vm]\nmemory_mb = 512\n");
    REQUIRE(std::holds_alternative<GatewayDaemonSettings>(parsed));
    CHECK(std::get<GatewayDaemonSettings>(parsed).memory_mb == 512);
  }
  SUBCASE("is rejected if it is nothing or no number") {
    CHECK(std::holds_alternative<Error>(Parse("[vm]\nmemory_mb = 0\n")));
    CHECK(std::holds_alternative<Error>(Parse("[vm]\nmemory_mb = \"a\"\n")));
  }
}

}  // namespace firmoor
