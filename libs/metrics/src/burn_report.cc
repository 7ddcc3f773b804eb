#include "metrics/burn_report.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace firmoor {
namespace {

/// Totals of one service and workspace over all daemons.
struct Totals {
  double objective = 0;
  std::map<std::string, double> counters;
  std::map<std::string, std::vector<double>> histograms;
  double lowest_ms = 1;
  double highest_ms = 1;
};

constexpr const char* kCounters[] = {"good",      "bad",        "short_good",
                                     "short_bad", "long_good",  "long_bad",
                                     "tokens",    "recomputed", "attempts"};
constexpr const char* kHistogramNames[] = {"first_token", "gap"};

void Add(Totals* totals, const QJsonObject& row) {
  totals->objective = row.value("objective").toDouble();
  for (const char* name : kCounters) {
    totals->counters[name] += row.value(QLatin1String(name)).toDouble();
  }
  for (const char* name : kHistogramNames) {
    const auto counts = row.value(QLatin1String(name)).toArray();
    auto& bins = totals->histograms[name];
    bins.resize(std::max(bins.size(), static_cast<std::size_t>(counts.size())));
    for (qsizetype i = 0; i < counts.size(); ++i) {
      bins[static_cast<std::size_t>(i)] += counts.at(i).toDouble();
    }
  }
}

/// Upper edge of the bin that holds the quantile. The first and last bins are
/// the underflow and overflow bins of the axis.
double Quantile(const Totals& totals, const std::string& name,
                double quantile) {
  const auto& bins = totals.histograms.at(name);
  double total = 0;
  for (const double count : bins) total += count;
  if (total == 0 || bins.size() < 3) return 0;
  const double edges = static_cast<double>(bins.size() - 2);
  double cumulative = 0;
  for (std::size_t i = 0; i < bins.size(); ++i) {
    cumulative += bins[i];
    if (cumulative < quantile * total) continue;
    const double axis_position =
        std::min(static_cast<double>(i), edges) / edges;
    return totals.lowest_ms *
           std::pow(totals.highest_ms / totals.lowest_ms, axis_position);
  }
  return totals.highest_ms;
}

double BurnRate(double good, double bad, double objective) {
  const double total = good + bad;
  if (total == 0) return 0;
  return bad / total / (1 - objective);
}

BurnRow ToRow(const std::pair<std::string, std::string>& key,
              const Totals& totals) {
  const auto counter = [&](const char* name) {
    return totals.counters.at(name);
  };
  const double requests = counter("good") + counter("bad");
  BurnRow row;
  row.service = key.first;
  row.workspace = key.second;
  row.objective = totals.objective;
  row.requests = static_cast<std::int64_t>(requests);
  row.bad = static_cast<std::int64_t>(counter("bad"));
  row.budget_spent =
      BurnRate(counter("good"), counter("bad"), totals.objective);
  row.burn_short =
      BurnRate(counter("short_good"), counter("short_bad"), totals.objective);
  row.burn_long =
      BurnRate(counter("long_good"), counter("long_bad"), totals.objective);
  row.first_token_p50_ms = Quantile(totals, "first_token", 0.50);
  row.first_token_p95_ms = Quantile(totals, "first_token", 0.95);
  row.token_gap_p95_ms = Quantile(totals, "gap", 0.95);
  row.tokens = static_cast<std::int64_t>(counter("tokens"));
  row.recomputed_tokens = static_cast<std::int64_t>(counter("recomputed"));
  row.attempts_per_request = requests > 0 ? counter("attempts") / requests : 0;
  return row;
}

std::string Escape(const std::string& text) {
  return QString::fromStdString(text).toHtmlEscaped().toStdString();
}

}  // namespace

std::vector<BurnRow> MergeBurn(const std::vector<QJsonObject>& metrics) {
  std::map<std::pair<std::string, std::string>, Totals> all;
  for (const auto& daemon : metrics) {
    for (const auto& value : daemon.value("rows").toArray()) {
      const auto row = value.toObject();
      auto& totals = all[{row.value("service").toString().toStdString(),
                          row.value("workspace").toString().toStdString()}];
      totals.lowest_ms = daemon.value("lowest_ms").toDouble(1);
      totals.highest_ms = daemon.value("highest_ms").toDouble(1);
      Add(&totals, row);
    }
  }
  std::vector<BurnRow> rows;
  rows.reserve(all.size());
  for (const auto& [key, totals] : all) rows.push_back(ToRow(key, totals));
  return rows;
}

std::string BurnTable(const std::vector<BurnRow>& rows) {
  std::string out = fmt::format(
      "{:<16} {:<14} {:>9} {:>8} {:>6} {:>7} {:>7} {:>7} {:>8} {:>8} {:>7} "
      "{:>9} {:>9}\n",
      "SERVICE", "WORKSPACE", "OBJECTIVE", "REQUESTS", "BAD", "SPENT", "BURN5M",
      "BURN1H", "FIRST50", "FIRST95", "GAP95", "TOKENS", "RECOMPUTED");
  for (const auto& row : rows) {
    out += fmt::format(
        "{:<16} {:<14} {:>8.3f}% {:>8} {:>6} {:>6.0f}% {:>7.2f} {:>7.2f} "
        "{:>6.0f}ms {:>6.0f}ms {:>5.0f}ms {:>9} {:>9}\n",
        row.service, row.workspace, row.objective * 100, row.requests, row.bad,
        row.budget_spent * 100, row.burn_short, row.burn_long,
        row.first_token_p50_ms, row.first_token_p95_ms, row.token_gap_p95_ms,
        row.tokens, row.recomputed_tokens);
  }
  return out;
}

std::string BurnPage(const std::vector<BurnRow>& rows,
                     double cost_per_thousand_responses) {
  constexpr double kBarWidth = 200;
  std::string out =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>Service-level burn</title><style>"
      "body{font-family:sans-serif;margin:2em}"
      "table{border-collapse:collapse}"
      "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;"
      "text-align:right}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}"
      "</style></head><body><h1>Service-level burn</h1>\n<table><tr>"
      "<th>Service</th><th>Workspace</th><th>Objective</th><th>Requests</th>"
      "<th>Bad</th><th>Error budget spent</th><th>Burn, 5 min</th>"
      "<th>Burn, 1 h</th><th>First token p95</th><th>Token gap p95</th>"
      "<th>Tokens</th><th>Recomputed</th></tr>\n";
  for (const auto& row : rows) {
    const double width = std::min(1.0, row.budget_spent) * kBarWidth;
    const char* color = row.budget_spent < 1 ? "#2a7" : "#c33";
    out += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{:.3f}%</td><td>{}</td><td>{}</td>"
        "<td><svg width=\"{}\" height=\"12\"><rect width=\"{}\" height=\"12\" "
        "fill=\"#ddd\"/><rect width=\"{:.0f}\" height=\"12\" fill=\"{}\"/>"
        "</svg> {:.0f}%</td><td>{:.2f}</td><td>{:.2f}</td><td>{:.0f} ms</td>"
        "<td>{:.0f} ms</td><td>{}</td><td>{}</td></tr>\n",
        Escape(row.service), Escape(row.workspace), row.objective * 100,
        row.requests, row.bad, kBarWidth, kBarWidth, width, color,
        row.budget_spent * 100, row.burn_short, row.burn_long,
        row.first_token_p95_ms, row.token_gap_p95_ms, row.tokens,
        row.recomputed_tokens);
  }
  out += "</table>\n";
  if (cost_per_thousand_responses > 0) {
    out += fmt::format("<p>Cost per 1,000 answers: {:.4f}</p>\n",
                       cost_per_thousand_responses);
  }
  return out + "</body></html>\n";
}

QJsonObject BurnJson(const std::vector<BurnRow>& rows) {
  QJsonArray array;
  for (const auto& row : rows) {
    array.append(QJsonObject{
        {"service", QString::fromStdString(row.service)},
        {"workspace", QString::fromStdString(row.workspace)},
        {"objective", row.objective},
        {"requests", static_cast<qint64>(row.requests)},
        {"bad", static_cast<qint64>(row.bad)},
        {"budget_spent", row.budget_spent},
        {"burn_5m", row.burn_short},
        {"burn_1h", row.burn_long},
        {"first_token_p50_ms", row.first_token_p50_ms},
        {"first_token_p95_ms", row.first_token_p95_ms},
        {"token_gap_p95_ms", row.token_gap_p95_ms},
        {"tokens", static_cast<qint64>(row.tokens)},
        {"recomputed_tokens", static_cast<qint64>(row.recomputed_tokens)},
        {"attempts_per_request", row.attempts_per_request},
    });
  }
  return {{"rows", array}};
}

}  // namespace firmoor
