#ifndef FIRMOOR_METRICS_BURN_REPORT_H_
#define FIRMOOR_METRICS_BURN_REPORT_H_

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

namespace firmoor {

/// Error-budget consumption of one workspace at one service.
struct BurnRow {
  std::string service;
  std::string workspace;
  double objective = 0;  ///< Availability objective, from 0 to 1.
  std::int64_t requests = 0;
  std::int64_t bad = 0;
  double budget_spent = 0;  ///< Bad responses over those allowed.
  double burn_short = 0;    ///< Burn rate over five minutes.
  double burn_long = 0;     ///< Burn rate over one hour.
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double token_gap_p95_ms = 0;
  std::int64_t tokens = 0;
  std::int64_t recomputed_tokens = 0;
  double attempts_per_request = 0;

  bool operator==(const BurnRow&) const = default;
};

/// Merges the metrics of several daemons into one row per service and
/// workspace. `metrics` holds the results of `ServiceMetrics::ToJson`.
std::vector<BurnRow> MergeBurn(const std::vector<QJsonObject>& metrics);

/// Formats the rows as a plain-text table.
std::string BurnTable(const std::vector<BurnRow>& rows);

/// Formats the rows as an HTML page with a bar for each error budget.
/// A `cost_per_thousand_responses` of 0 omits the cost.
std::string BurnPage(const std::vector<BurnRow>& rows,
                     double cost_per_thousand_responses);

/// Formats the rows as a JSON object.
QJsonObject BurnJson(const std::vector<BurnRow>& rows);

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_BURN_REPORT_H_
