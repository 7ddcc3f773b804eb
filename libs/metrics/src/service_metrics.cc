#include "metrics/service_metrics.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <deque>
#include <map>
#include <utility>

namespace firmoor {
namespace {

namespace bh = boost::histogram;

// Logarithmic bins from 1 ms to 100 s, 20 per decade.
constexpr unsigned kBins = 100;
constexpr double kLowestMs = 1.0;
constexpr double kHighestMs = 100'000.0;
constexpr Duration kBucketDuration{10'000};
constexpr std::size_t kBucketsKept = 360;  // One hour.
constexpr std::size_t kShortBuckets = 30;  // Five minutes.

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram =
    decltype(bh::make_histogram(LatencyAxis(kBins, kLowestMs, kHighestMs)));

LatencyHistogram MakeLatencyHistogram() {
  return bh::make_histogram(LatencyAxis(kBins, kLowestMs, kHighestMs));
}

struct Bucket {
  TimePoint start;
  std::int64_t good = 0;
  std::int64_t bad = 0;
};

struct Series {
  LatencyHistogram first_token = MakeLatencyHistogram();
  LatencyHistogram total = MakeLatencyHistogram();
  LatencyHistogram gap = MakeLatencyHistogram();
  std::map<ResultCode, std::int64_t> codes;
  std::deque<Bucket> buckets;
  std::int64_t good = 0;
  std::int64_t bad = 0;
  std::int64_t tokens = 0;
  std::int64_t recomputed = 0;
  std::int64_t attempts = 0;

  Bucket& CurrentBucket(TimePoint now) {
    if (buckets.empty() || now - buckets.back().start >= kBucketDuration) {
      buckets.push_back({now});
      if (buckets.size() > kBucketsKept) buckets.pop_front();
    }
    return buckets.back();
  }
};

using SeriesKey = std::pair<std::string, std::string>;

QJsonArray BinCounts(const LatencyHistogram& histogram) {
  QJsonArray counts;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    counts.append(static_cast<double>(*bin));
  }
  return counts;
}

std::string Labels(const SeriesKey& key) {
  return fmt::format("service=\"{}\",workspace=\"{}\"", key.first, key.second);
}

void AppendHistogram(std::string* out, const char* name, const SeriesKey& key,
                     const LatencyHistogram& histogram) {
  double total = 0;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    total += static_cast<double>(*bin);
    if (*bin == 0) continue;
    *out += fmt::format("{}_bucket{{{},le=\"{:.4g}\"}} {}\n", name, Labels(key),
                        bin.bin().upper() / 1'000.0, total);
  }
  *out += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n{}_count{{{}}} {}\n",
                      name, Labels(key), total, name, Labels(key), total);
}

}  // namespace

struct ServiceMetrics::Impl {
  std::map<SeriesKey, Series> series;
};

ServiceMetrics::ServiceMetrics() : impl_(std::make_unique<Impl>()) {}
ServiceMetrics::~ServiceMetrics() = default;

void ServiceMetrics::Record(const RequestSample& sample, TimePoint now) {
  auto& series = impl_->series[{sample.service, sample.workspace}];
  auto& bucket = series.CurrentBucket(now);
  ++(sample.good ? bucket.good : bucket.bad);
  ++(sample.good ? series.good : series.bad);
  ++series.codes[sample.code];
  if (sample.first_token) {
    series.first_token(static_cast<double>(sample.first_token->count()));
  }
  series.total(static_cast<double>(sample.total.count()));
  series.tokens += static_cast<std::int64_t>(sample.tokens);
  series.recomputed += static_cast<std::int64_t>(sample.recomputed_tokens);
  series.attempts += sample.attempts;
}

void ServiceMetrics::RecordTokenGap(const std::string& service,
                                    const std::string& workspace,
                                    Duration gap) {
  impl_->series[{service, workspace}].gap(static_cast<double>(gap.count()));
}

std::string ServiceMetrics::PrometheusText() const {
  std::string out;
  for (const auto& [key, series] : impl_->series) {
    for (const auto& [code, count] : series.codes) {
      out += fmt::format("firmoor_requests_total{{{},code=\"{}\"}} {}\n",
                         Labels(key), static_cast<int>(code), count);
    }
    out += fmt::format("firmoor_tokens_total{{{}}} {}\n", Labels(key),
                       series.tokens);
    out += fmt::format("firmoor_recomputed_tokens_total{{{}}} {}\n",
                       Labels(key), series.recomputed);
    out += fmt::format("firmoor_attempts_total{{{}}} {}\n", Labels(key),
                       series.attempts);
    AppendHistogram(&out, "firmoor_first_token_seconds", key,
                    series.first_token);
    AppendHistogram(&out, "firmoor_request_seconds", key, series.total);
    AppendHistogram(&out, "firmoor_token_gap_seconds", key, series.gap);
  }
  return out;
}

QJsonObject ServiceMetrics::ToJson(
    const std::function<double(const std::string& service)>& objective,
    TimePoint now) const {
  QJsonArray rows;
  for (const auto& [key, series] : impl_->series) {
    const auto window = [now, &buckets = series.buckets](
                            std::size_t bucket_count, bool bad) {
      std::int64_t count = 0;
      for (const auto& bucket : buckets) {
        const bool is_in_window =
            now - bucket.start <
            kBucketDuration * static_cast<int>(bucket_count);
        if (is_in_window) count += bad ? bucket.bad : bucket.good;
      }
      return static_cast<qint64>(count);
    };
    rows.append(QJsonObject{
        {"service", QString::fromStdString(key.first)},
        {"workspace", QString::fromStdString(key.second)},
        {"objective", objective(key.first)},
        {"good", static_cast<qint64>(series.good)},
        {"bad", static_cast<qint64>(series.bad)},
        {"short_good", window(kShortBuckets, false)},
        {"short_bad", window(kShortBuckets, true)},
        {"long_good", window(kBucketsKept, false)},
        {"long_bad", window(kBucketsKept, true)},
        {"tokens", static_cast<qint64>(series.tokens)},
        {"recomputed", static_cast<qint64>(series.recomputed)},
        {"attempts", static_cast<qint64>(series.attempts)},
        {"first_token", BinCounts(series.first_token)},
        {"gap", BinCounts(series.gap)},
        {"total", BinCounts(series.total)},
    });
  }
  return {{"rows", rows}, {"lowest_ms", kLowestMs}, {"highest_ms", kHighestMs}};
}

}  // namespace firmoor
