#include "config/settings.h"

#include <doctest/doctest.h>

#include <string>

namespace firmoor {
namespace {

constexpr const char* kValidSettings = R"(daemon = "ub-east-1"
availability_zone = "ub-east"
region = "ulaanbaatar"
[listen]
callers = "127.0.0.1:8080"
observe = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
peers = "127.0.0.1:8083"
[platform]
object_api = "127.0.0.1:9000"
vm_list = "127.0.0.1:9000"
seeds = ["127.0.0.1:8183"]
[security]
allow_anonymous = true
[times]
drain_ms = 5000
)";

std::string ProblemOf(const std::string& text) {
  const auto outcome =
      Capture([&] { return ParseSettings(text, "firmoord.toml"); });
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? "" : error->message;
}

std::string ValidSettingsWith(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("settings") {
  SUBCASE("that are valid are all applied") {
    const auto outcome =
        Capture([&] { return ParseSettings(kValidSettings, "firmoord.toml"); });
    const auto& settings = std::get<Settings>(outcome);
    CHECK(settings.daemon == "ub-east-1");
    CHECK(settings.callers == Endpoint{"127.0.0.1", 8080});
    CHECK(settings.seeds.size() == 1);
    CHECK(settings.drain_time == Duration(5'000));
  }
  SUBCASE("with an unknown key give an error with key, file and line") {
    CHECK(ProblemOf(ValidSettingsWith("drain_ms", "drain_s")) ==
          "firmoord.toml:16: times.drain_s is not known");
    CHECK(ProblemOf(ValidSettingsWith("[times]", "[time]")) ==
          "firmoord.toml:15: time is not known");
  }
  SUBCASE("with a wrong type or range give an error with key, file and line") {
    CHECK(ProblemOf(ValidSettingsWith("5000", "\"5s\"")) ==
          "firmoord.toml:16: times.drain_ms must be an integer");
    CHECK(ProblemOf(ValidSettingsWith("5000", "-1")) ==
          "firmoord.toml:16: times.drain_ms must be from 0 to 3600000");
    CHECK(ProblemOf(ValidSettingsWith("127.0.0.1:8080", "example.org:80")) ==
          "firmoord.toml:5: listen.callers must be \"IP number:port\"");
  }
  SUBCASE("that are not valid TOML give an error with the line") {
    CHECK(ProblemOf(ValidSettingsWith("[listen]", "[listen"))
              .starts_with("firmoord.toml:4: "));
  }
  SUBCASE("with a missing key give an error with the key") {
    CHECK(ProblemOf(ValidSettingsWith("region = \"ulaanbaatar\"", "")) ==
          "firmoord.toml: region is missing");
  }
  SUBCASE("without an operator token need an explicit allow_anonymous") {
    CHECK(ProblemOf(ValidSettingsWith("= true", "= false"))
              .find("operator_token_sha256 is missing") != std::string::npos);
  }
  SUBCASE("from an unreadable file give an error") {
    const auto outcome = Capture([] { return LoadSettings("/nowhere"); });
    CHECK(std::get<Error>(outcome).code == ResultCode::kUnreadableFile);
  }
}

}  // namespace firmoor
