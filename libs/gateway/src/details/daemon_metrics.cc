#include "details/daemon_metrics.h"

#include <fmt/format.h>

namespace firmoor::details {

std::string MetricsText(const DaemonFigures& figures) {
  std::string text;
  const auto add = [&text](const char* name, auto value) {
    text += fmt::format("firmoor_{} {}\n", name, value);
  };
  add("config_version", figures.config_version);
  add("config_age_ms", figures.config_age_ms);
  add("upstreams", figures.upstreams);
  add("requests_in_work", figures.requests_in_work);
  add("connections", figures.connections);
  add("coordinator", figures.is_coordinator ? 1 : 0);
  add("log_dropped_total", figures.log_dropped);
  add("store_era", figures.store_era);
  add("store_returns_total", figures.store_returns);
  add("caught_exceptions_total", figures.caught_exceptions);
  return text;
}

}  // namespace firmoor::details
