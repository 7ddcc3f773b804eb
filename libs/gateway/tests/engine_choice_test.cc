#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace firmoor {
namespace {

/// An engine that reports a load and answers streams with one event.
class ReportingEngine {
 public:
  explicit ReportingEngine(std::string load)
      : load_(std::move(load)), upstream_([this](auto& connection) {
          if (HasReceived(connection, "GET /report")) {
            ++probes_;
            return SendResponse(connection, "200 OK", load_);
          }
          ++requests_;
          SendResponse(connection, "200 OK", MakeEvent(1));
        }) {}

  [[nodiscard]] const RawUpstream& upstream() const { return upstream_; }
  [[nodiscard]] int probes() const { return probes_; }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  std::string load_;
  int probes_ = 0;
  int requests_ = 0;
  RawUpstream upstream_;
};

/// An engine whose slots are all taken by streams of this daemon, so that slots
/// are scarce.
struct BusyEngine {
  RawUpstream holder{
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); }};
  std::vector<std::unique_ptr<RawClient>> callers;

  explicit BusyEngine(GatewayFixture* fixture) {
    fixture->AddUpstream("holder", holder);
    for (int i = 0; i < 4; ++i) {
      callers.push_back(fixture->SendRequest("stream"));
      REQUIRE(callers.back()->WaitFor("id: 1"));
    }
  }
};

}  // namespace

TEST_CASE("engines with load from other daemons") {
  GatewayFixture fixture;
  BusyEngine busy(&fixture);

  SUBCASE("are probed, and requests go to the one with a free slot") {
    ReportingEngine full("4/9");
    ReportingEngine free("1/0");
    fixture.AddUpstream("full", full.upstream());
    fixture.AddUpstream("free", free.upstream());
    for (int i = 0; i < 4; ++i) {
      const auto caller = fixture.SendRequest("stream");
      REQUIRE(caller->WaitFor("id: 1"));
    }
    CHECK(full.probes() > 0);
    CHECK(full.requests() == 0);
    CHECK(free.requests() == 4);
  }
  SUBCASE("get no requests that would wait too long for a slot") {
    ReportingEngine full("4/9");
    fixture.AddUpstream("full", full.upstream());
    const auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("\r\n\r\n"));
    CHECK(caller->Received().find("503") != std::string::npos);
    CHECK(caller->Received().find("overloaded") != std::string::npos);
    CHECK(caller->Received().find("Retry-After") != std::string::npos);
    CHECK(full.requests() == 0);
  }
  SUBCASE("get requests when they report no load") {
    ReportingEngine silent("away");
    fixture.AddUpstream("silent", silent.upstream());
    const auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
  }
}

}  // namespace firmoor
