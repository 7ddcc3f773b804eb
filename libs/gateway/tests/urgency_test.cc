#include "details/urgency.h"

#include <doctest/doctest.h>

#include <QCborArray>

#include "gateway/coordination.h"

namespace firmoor {
namespace {

using details::DecodeShortageReply;
using details::DecodeShortageReport;
using details::EncodeShortageReply;
using details::EncodeShortageReport;

Route MakeRoute(const std::string& service, int priority, Duration objective) {
  Route route;
  route.name = service + std::to_string(priority);
  route.services = {{service, 1}};
  route.priority = priority;
  route.objective = objective;
  return route;
}

RouteTableContent MakeContent() {
  RouteTableContent content;
  content.routes = {MakeRoute("model", 0, Duration(500)),
                    MakeRoute("model", 2, Duration(2'500)),
                    MakeRoute("app", 0, Duration(100)),
                    MakeRoute("app", 1, Duration(100)),
                    MakeRoute("draft", 1, Duration(800))};
  content.services = {{"model", EngineProfile{}, {}},
                      {"app", {}, {}},
                      {"draft", EngineProfile{}, {}}};
  return content;
}

}  // namespace

TEST_CASE("services whose requests go in order of urgency") {
  auto content = MakeContent();
  const auto kinds = details::KindsOf(content);
  CHECK(kinds.at("model").AreSeveral());
  CHECK(kinds.at("model").ToleratedWait(0) == Duration(625));

  SUBCASE("have engines") { CHECK_FALSE(kinds.contains("app")); }
  SUBCASE("and several priorities") {
    CHECK_FALSE(kinds.at("draft").AreSeveral());
  }
  SUBCASE("which may be those of workspaces") {
    content.workspaces = {{"w", {}, 4}};
    CHECK(details::KindsOf(content).at("draft").AreSeveral());
  }
}

TEST_CASE("messages on a shortage") {
  const ShortageReport report{
      {{"model", {{{0, "w"}, {3, 2, 1}}, {{2, ""}, {5, 5, 0}}}}}};
  ServiceShares shares;
  shares.level = 0.5;
  shares.priorities[2] = {0.25, 0.75, {{"w", 0.5}}};
  const ShortageReply reply{true, {{"model", shares}}};

  SUBCASE("arrive as they were sent") {
    CHECK(DecodeShortageReport(EncodeShortageReport(report)) == report);
    CHECK(DecodeShortageReply(EncodeShortageReply(reply)) == reply);
  }
  SUBCASE("are empty where an earlier build sent none") {
    CHECK(DecodeShortageReport(QCborValue()) == ShortageReport{});
    CHECK(DecodeShortageReply(QCborValue()) == ShortageReply{});
  }
  SUBCASE("are bounded where they are malformed") {
    const QCborMap counts{
        {"model", QCborArray{QCborArray{0, "w", -3, 1e30, "x"}, QCborArray{"x"},
                             QCborValue("y")}}};
    const auto read = DecodeShortageReport(counts);
    CHECK(read.services.at("model").size() == 1);
    CHECK(read.services.at("model").at({0, "w"}).offered == 0);
    CHECK(read.services.at("model").at({0, "w"}).admitted == 1e6);
  }
}

}  // namespace firmoor
