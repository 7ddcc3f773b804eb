#include "config/configuration.h"

#include <doctest/doctest.h>

#include <QJsonDocument>

namespace firmoor {
namespace {

Outcome<Configuration> Parse(const char* json) {
  return Capture([&] {
    return Configuration::Parse(1, QJsonDocument::fromJson(json).object());
  });
}

}  // namespace

TEST_CASE("a configuration document") {
  SUBCASE("yields services, operations and workspaces") {
    const auto hash = Sha256Hex("secret");
    const auto json = QByteArray(R"({"services":{"booking-desk":{
        "kind":"plain","operations":[
          {"method":"POST","path":"/lookup/*","idempotent":true,"priority":5},
          {"method":"*","path":"/book"}]}},
        "workspaces":{"salon-1":{"token_sha256":")") +
                      hash.c_str() + "\"}}}";
    const auto outcome = Parse(json);
    const auto& configuration = std::get<Configuration>(outcome);
    const auto* desk = configuration.FindService("booking-desk");
    REQUIRE(desk != nullptr);
    CHECK(TraitsOf(*desk, "POST", "/lookup/day") == OperationTraits{true, 5});
    CHECK(TraitsOf(*desk, "GET", "/book") == OperationTraits{false, 0});
    CHECK(TraitsOf(*desk, "PATCH", "/other") == OperationTraits{false, 0});
    CHECK(TraitsOf(*desk, "GET", "/other") == OperationTraits{true, 0});
    REQUIRE(configuration.FindWorkspace("secret") != nullptr);
    CHECK(configuration.FindWorkspace("secret")->name == "salon-1");
    CHECK(configuration.FindWorkspace("") == nullptr);
    CHECK(configuration.FindWorkspace("other") == nullptr);
  }
  SUBCASE("is rejected with the name of the invalid key") {
    const auto problem = [](const char* json) {
      const auto outcome = Parse(json);
      return std::get<Error>(outcome).message;
    };
    CHECK(problem(R"({"service":{}})") == "service is not known");
    CHECK(problem(R"({"services":{"a":{"kind":"other"}}})") ==
          "services.a.kind must be \"model\" or \"plain\"");
    CHECK(problem(R"({"services":{"a":{"kind":"plain","deadline_ms":0}}})") ==
          "services.a.deadline_ms must be an integer 1 to 3600000");
    CHECK(problem(R"({"workspaces":{"w":{"token_sha256":"12"}}})") ==
          "workspaces.w.token_sha256 must be 64 hexadecimal digits");
  }
}

}  // namespace firmoor
