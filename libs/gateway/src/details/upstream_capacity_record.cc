#include "details/upstream_capacity_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "base/text.h"

namespace firmoor::details {

void DurationRatios::Record(double ratio) {
  const auto* bound = std::lower_bound(kBounds.begin(), kBounds.end(), ratio);
  ++counts_.at(static_cast<std::size_t>(bound - kBounds.begin()));
  sum_ += ratio;
}

std::string DurationRatios::Metrics() const {
  constexpr std::string_view kName = "firmoor_upstream_time_ratio";
  auto text = fmt::format("# TYPE {} histogram\n", kName);
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    total += counts_.at(i);
    text += fmt::format("{}_bucket{{le=\"{:g}\"}} {}\n", kName, kBounds.at(i),
                        total);
  }
  total += counts_.back();
  return text + fmt::format(
                    "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2:g}\n"
                    "{0}_count {1}\n",
                    kName, total, sum_);
}

void RecordCapacity(UpstreamPicker* picker, EventLog* log,
                    DurationRatios* ratios) {
  for (const double ratio : picker->TakeTimeRatios()) ratios->Record(ratio);
  for (const auto& change : picker->TakeCapacityChanges()) {
    log->Write("upstream-capacity",
               {{"upstream", Text(change.id)},
                {"service", Text(change.service)},
                {"condition", Text(NameOf(change.condition))},
                {"slowness", change.slowness},
                {"limit", static_cast<qint64>(change.limit)},
                {"samples", static_cast<qint64>(change.samples)},
                {"tokens_per_s", picker->TokensPerS(change.service)}});
  }
}

}  // namespace firmoor::details
