#include "details/gap_histogram.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <cmath>

namespace firmoor::details {
namespace {

namespace bh = boost::histogram;

constexpr double kMsPerSecond = 1'000;
constexpr const char* kName = "firmoor_coordinator_gap_seconds";

}  // namespace

struct GapHistogram::Impl {
  using Axis = bh::axis::variable<double>;
  decltype(bh::make_histogram(Axis{0.0, 1.0})) counts = bh::make_histogram(
      Axis{0.0, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0});
  double sum_s = 0;
};

GapHistogram::GapHistogram() : impl_(std::make_unique<Impl>()) {}
GapHistogram::~GapHistogram() = default;

void GapHistogram::Record(Duration gap) {
  const double gap_s = static_cast<double>(gap.count()) / kMsPerSecond;
  impl_->counts(gap_s);
  impl_->sum_s += gap_s;
}

std::string GapHistogram::PrometheusText() const {
  std::string text = fmt::format("# TYPE {} histogram\n", kName);
  double total = 0;
  for (auto&& bin : bh::indexed(impl_->counts, bh::coverage::all)) {
    total += static_cast<double>(*bin);
    const double upper = bin.bin().upper();
    if (std::isinf(upper)) break;
    text += fmt::format("{}_bucket{{le=\"{:g}\"}} {}\n", kName, upper, total);
  }
  return text + fmt::format(
                    "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n"
                    "{0}_count {1}\n",
                    kName, total, impl_->sum_s);
}

}  // namespace firmoor::details
