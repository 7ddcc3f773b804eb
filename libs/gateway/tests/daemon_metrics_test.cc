#include "details/daemon_metrics.h"

#include <doctest/doctest.h>

namespace firmoor {

// Guards against figures that appear under the name of another one.
TEST_CASE("each figure of a daemon has its own name") {
  details::DaemonFigures figures;
  figures.config_version = 1;
  figures.config_age_ms = 2;
  figures.upstreams = 3;
  figures.requests_in_work = 4;
  figures.connections = 5;
  figures.is_coordinator = true;
  figures.log_dropped = 6;
  figures.store_era = 7;
  figures.store_returns = 8;
  figures.caught_exceptions = 9;
  CHECK(details::MetricsText(figures) ==
        "firmoor_config_version 1\nfirmoor_config_age_ms 2\n"
        "firmoor_upstreams 3\nfirmoor_requests_in_work 4\n"
        "firmoor_connections 5\nfirmoor_coordinator 1\n"
        "firmoor_log_dropped_total 6\nfirmoor_store_era 7\n"
        "firmoor_store_returns_total 8\n"
        "firmoor_caught_exceptions_total 9\n");
}

}  // namespace firmoor
