#include "metrics/duration_histogram.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <cmath>
#include <utility>

namespace firmoor {
namespace {

namespace bh = boost::histogram;

}  // namespace

struct DurationHistogram::Impl {
  using Axis = bh::axis::variable<double>;

  Impl(std::string metric, const std::vector<double>& bounds_s)
      : name(std::move(metric)), counts(bh::make_histogram(Axis(bounds_s))) {}

  std::string name;
  decltype(bh::make_histogram(Axis{0.0, 1.0})) counts;
  double sum_s = 0;
};

DurationHistogram::DurationHistogram(std::string name,
                                     const std::vector<double>& bounds_s)
    : impl_(std::make_unique<Impl>(std::move(name), bounds_s)) {}
DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::Record(Duration duration) {
  impl_->counts(SecondsOf(duration));
  impl_->sum_s += SecondsOf(duration);
}

std::string DurationHistogram::PrometheusText() const {
  std::string text = fmt::format("# TYPE {} histogram\n", impl_->name);
  double total = 0;
  for (auto&& bin : bh::indexed(impl_->counts, bh::coverage::all)) {
    total += static_cast<double>(*bin);
    const double upper = bin.bin().upper();
    if (std::isinf(upper)) break;
    text +=
        fmt::format("{}_bucket{{le=\"{:g}\"}} {}\n", impl_->name, upper, total);
  }
  return text + fmt::format(
                    "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n"
                    "{0}_count {1}\n",
                    impl_->name, total, impl_->sum_s);
}

}  // namespace firmoor
