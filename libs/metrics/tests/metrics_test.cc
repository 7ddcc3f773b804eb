#include <doctest/doctest.h>

#include "metrics/burn_report.h"
#include "metrics/service_metrics.h"

namespace firmoor {
namespace {

constexpr TimePoint kStart{Duration(10'000'000)};

void RecordMany(ServiceMetrics* metrics, int good, int bad, TimePoint now) {
  for (int i = 0; i < good + bad; ++i) {
    RequestSample sample;
    sample.service = "scriba";
    sample.workspace = "school";
    sample.good = i < good;
    sample.code = sample.good ? ResultCode::kOk : ResultCode::kOverloaded;
    sample.first_token = Duration(i < good * 9 / 10 ? 100 : 1'000);
    sample.attempts = 1;
    sample.tokens = 10;
    metrics->Record(sample, now);
  }
}

double Objective(const std::string&) { return 0.99; }

}  // namespace

TEST_CASE("a burn report over two daemons") {
  ServiceMetrics first;
  ServiceMetrics second;
  RecordMany(&first, 990, 10, kStart);
  RecordMany(&second, 980, 20, kStart + Duration(1'000));
  const auto now = kStart + Duration(2'000);
  const auto rows =
      MergeBurn({first.ToJson(Objective, now), second.ToJson(Objective, now)});
  REQUIRE(rows.size() == 1);

  SUBCASE("sums requests and computes the budget spent") {
    CHECK(rows[0].requests == 2'000);
    CHECK(rows[0].bad == 30);
    CHECK(rows[0].budget_spent == doctest::Approx(1.5));
    CHECK(rows[0].burn_short == doctest::Approx(1.5));
    CHECK(rows[0].tokens == 20'000);
  }
  SUBCASE("merges the histograms before computing quantiles") {
    CHECK(rows[0].first_token_p50_ms == doctest::Approx(100).epsilon(0.15));
    CHECK(rows[0].first_token_p95_ms == doctest::Approx(1'000).epsilon(0.15));
  }
  SUBCASE("drops old responses from the short window only") {
    const auto later = kStart + Duration(600'000);
    const auto aged = MergeBurn({first.ToJson(Objective, later)});
    CHECK(aged[0].burn_short == 0);
    CHECK(aged[0].burn_long == doctest::Approx(1.0));
  }
  SUBCASE("can be formatted as a table and as a page") {
    CHECK(BurnTable(rows).find("scriba") != std::string::npos);
    CHECK(BurnPage(rows, 0.5).find("Cost per 1,000 answers: 0.5000") !=
          std::string::npos);
  }
}

TEST_CASE("metrics in the Prometheus format") {
  ServiceMetrics metrics;
  RecordMany(&metrics, 1, 1, kStart);
  const auto text = metrics.PrometheusText();
  CHECK(text.find("firmoor_requests_total{service=\"scriba\",workspace="
                  "\"school\",code=\"2002\"} 1\n") != std::string::npos);
  CHECK(text.find("firmoor_first_token_seconds_count") != std::string::npos);
}

}  // namespace firmoor
