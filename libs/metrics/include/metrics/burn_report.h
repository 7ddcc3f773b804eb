#ifndef FIRMOOR_METRICS_BURN_REPORT_H_
#define FIRMOOR_METRICS_BURN_REPORT_H_

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

namespace firmoor {

/// Service-level burn of one workspace at one service.
struct BurnRow {
  std::string service;
  std::string workspace;
  double objective = 0;  ///< Share of good answers that is asked for.
  std::int64_t requests = 0;
  std::int64_t bad = 0;
  double budget_spent = 0;  ///< Bad answers over those allowed.
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

/// Rows of the metrics of several daemons, merged by service and workspace.
/// `metrics` are objects made by `ServiceMetrics::ToJson`.
std::vector<BurnRow> MergeBurn(const std::vector<QJsonObject>& metrics);

/// A table for terminals.
std::string BurnTable(const std::vector<BurnRow>& rows);

/// A page for people, with a bar for each budget. `vm_cost_per_hour` is
/// shared out over the answers of the hour; 0 leaves the cost out.
std::string BurnPage(const std::vector<BurnRow>& rows,
                     double cost_per_thousand_answers);

/// The rows as a JSON object.
QJsonObject BurnJson(const std::vector<BurnRow>& rows);

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_BURN_REPORT_H_
