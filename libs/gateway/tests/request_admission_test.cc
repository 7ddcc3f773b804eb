#include "gateway/request_admission.h"

#include <doctest/doctest.h>

#include "gateway/refusal.h"
#include "gateway/true_time.h"

namespace firmoor {
namespace {

const TimePoint kStart{Duration(10'000)};

RouteTableContent Content() {
  RouteTableContent content;
  Route keyed;
  keyed.name = "keyed";
  keyed.host = "h";
  keyed.path_prefix = "/keyed/";
  keyed.services = {{"s", 1}};
  keyed.priority = 3;
  auto open = keyed;
  open.name = "open";
  open.path_prefix = "/open/";
  open.is_public = true;
  content.routes = {keyed, open};
  WorkspaceProfile workspace;
  workspace.name = "w";
  workspace.keys = {"good"};
  workspace.priority = 1;
  content.workspaces = {workspace};
  return content;
}

ForwardRequest Request(std::string target, std::string key) {
  ForwardRequest request;
  request.id = "r";
  request.host = "h";
  request.target = std::move(target);
  request.key = std::move(key);
  return request;
}

int StatusOf(const std::variant<RequestAdmission, Failure>& decided) {
  const auto* failure = std::get_if<Failure>(&decided);
  if (failure == nullptr) return 200;
  return InfoOf(failure->error.code).http_status;
}

}  // namespace

TEST_CASE("AdmitRequest checks a request against the configuration") {
  const RouteTable table(Content());
  ConfigFreshness freshness(Duration(1'000));
  freshness.Confirm(kStart);
  const auto decide = [&](const char* target, const char* key,
                          TimePoint now = kStart) {
    return AdmitRequest(Request(target, key), &table, freshness, now);
  };

  SUBCASE("and admits it with its workspace") {
    const auto decided = decide("/keyed/a?b=c", "good");
    const auto* pass = std::get_if<RequestAdmission>(&decided);
    REQUIRE(pass != nullptr);
    CHECK(pass->route->name == "keyed");
    CHECK(pass->workspace->name == "w");
    CHECK(pass->Priority() == 1);
  }
  SUBCASE("and needs no key on a public route") {
    const auto decided = decide("/open/a", "bad");
    const auto* pass = std::get_if<RequestAdmission>(&decided);
    REQUIRE(pass != nullptr);
    CHECK(pass->workspace == nullptr);
    CHECK(pass->Priority() == 3);
  }
  SUBCASE("and rejects an unknown route or key") {
    CHECK(StatusOf(decide("/other/", "good")) == 404);
    CHECK(StatusOf(decide("/keyed/", "bad")) == 401);
    CHECK(StatusOf(decide("/keyed/", "")) == 401);
  }
  SUBCASE(
      "and rejects it as not ready if the configuration may be out of date") {
    const auto late = kStart + Duration(1'000);
    CHECK(StatusOf(decide("/other/", "good", late)) == 503);
    CHECK(StatusOf(decide("/keyed/", "bad", late)) == 503);
    CHECK(StatusOf(decide("/keyed/", "good", late)) == 503);
    CHECK(StatusOf(decide("/open/", "", late)) == 200);
  }
  SUBCASE("and rejects it as not ready without a configuration") {
    CHECK(StatusOf(AdmitRequest(Request("/keyed/", "good"), nullptr, freshness,
                                kStart)) == 503);
  }
}

TEST_CASE("a draining daemon accepts requests on open connections") {
  const DrainState drain{kStart, kStart + Duration(7'000)};
  Route route;
  route.timeout = Duration(1'200);
  const auto takes = [&](int after_ms) {
    return AcceptsWhileDraining(route, drain, kStart + Duration(after_ms));
  };

  SUBCASE("while it can answer them before it stops") {
    CHECK(takes(6'000));
    CHECK_FALSE(takes(6'500));
  }
  SUBCASE(
      "but streams, which may take long, only shortly after it started to "
      "drain") {
    route.kind = RequestKind::kStream;
    CHECK(takes(2'000));
    CHECK_FALSE(takes(3'000));
  }
  // Guards against a stream that is sent to an upstream just before the process
  // ends.
  SUBCASE("no streams any more once it ends what is left") {
    route.kind = RequestKind::kStream;
    const DrainState brief{kStart, kStart + Duration(1'300)};
    CHECK(AcceptsWhileDraining(route, brief, kStart + Duration(1'299)));
    CHECK_FALSE(AcceptsWhileDraining(route, brief, kStart + Duration(1'300)));
  }
}

TEST_CASE("MakeGatewayRefusal sets Retry-After in fractions of a second") {
  const Failure failure{{ResultCode::kWorkspaceLimit, ""},
                        RequestOutcome::kNotRun,
                        Duration(1'250)};
  const auto answer = MakeGatewayRefusal(failure, "r");
  CHECK(answer.status == 429);
  CHECK(HeaderValue(answer.headers, "Retry-After") == "1.250");
}

TEST_CASE("the time of day when clocks jump") {
  TrueTime time(1'000'000, kStart);
  time.AddClockReading("a", 1'000'010, kStart);
  time.AddClockReading("b", 1'000'020, kStart);

  SUBCASE("is the median of several clocks") {
    time.AddClockReading("c", 1'000'030, kStart);
    CHECK(time.At(kStart + Duration(500)) == 1'000'520);
  }
  SUBCASE("does not follow one clock that jumped") {
    time.AddClockReading("c", 1'900'000, kStart);
    CHECK(time.At(kStart) == 1'000'020);
  }
  SUBCASE("follows the coordinator") {
    time.SetTime(2'000'000, kStart);
    CHECK(time.At(kStart + Duration(1)) == 2'000'001);
  }
}

TEST_CASE("a request that would wait for an engine slot") {
  Route route;
  route.objective = Duration(800);

  SUBCASE(
      "is sent while most of its latency objective is left for the prefill") {
    CHECK_FALSE(IsSlotWaitTooLong(route, Duration(0)));
    CHECK_FALSE(IsSlotWaitTooLong(route, Duration(200)));
  }
  SUBCASE("is rejected after a longer wait") {
    CHECK(IsSlotWaitTooLong(route, Duration(201)));
  }
}

}  // namespace firmoor
