#include "gateway/usage_reporter.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

QByteArray Encode(const UsageReport& report) {
  QCborMap counts;
  for (const auto& [workspace, count] : report.counts) {
    counts[QString::fromStdString(workspace)] = static_cast<qint64>(count);
  }
  return QCborValue(QCborArray{static_cast<qint64>(report.window), counts})
      .toCbor();
}

UsageReport Decode(const QByteArray& bytes) {
  const auto array = QCborValue::fromCbor(bytes).toArray();
  UsageReport report;
  report.window = array.at(0).toInteger();
  for (const auto& entry : array.at(1).toMap()) {
    report.counts[entry.first.toString().toStdString()] =
        entry.second.toInteger();
  }
  return report;
}

}  // namespace

UsageReporter::UsageReporter(Timing timing, Counts counts)
    : timing_(timing), counts_(std::move(counts)) {}

std::optional<UsageReporter::Step> UsageReporter::Next(std::int64_t true_ms) {
  if (in_flight_) return std::nullopt;
  std::optional<Step> step;
  if (!known_) {
    step = ReadState{};
  } else if (!delivered_ &&
             true_ms < EndOf(last_.window) + timing_.max_age_ms) {
    step = SendReport{last_};
  } else {
    step = NextReport(true_ms);
  }
  in_flight_ = step.has_value();
  return step;
}

std::optional<UsageReporter::Step> UsageReporter::NextReport(
    std::int64_t true_ms) {
  // Windows that are already too late are left out.
  const auto oldest = (true_ms - timing_.max_age_ms) / timing_.window_ms;
  // The very first report is of the window that ended last.
  if (last_.window == 0) last_.window = true_ms / timing_.window_ms - 2;
  const auto window = std::max(oldest, NextWindow());
  if (true_ms < EndOf(window) + timing_.settle_ms) return std::nullopt;
  const bool waits = true_ms < EndOf(window) + timing_.max_wait_ms;
  if (waits && !counts_.is_complete(EndOf(window))) return std::nullopt;
  written_ = {window, counts_.sum(window)};
  return WriteState{version_, Encode(written_)};
}

void UsageReporter::OnRead(StoreStatus status, const StoredObject& object) {
  in_flight_ = false;
  if (status == StoreStatus::kNotFound) {
    known_ = true;
    version_ = 0;
    return;
  }
  if (status != StoreStatus::kOk) return;
  known_ = true;
  version_ = object.version;
  last_ = Decode(object.value);
  delivered_ = false;
}

void UsageReporter::OnWrite(StoreStatus status, std::int64_t version) {
  in_flight_ = false;
  if (status != StoreStatus::kOk) {
    // Whatever the store holds now counts.
    known_ = false;
    return;
  }
  version_ = version;
  last_ = std::move(written_);
  delivered_ = false;
}

void UsageReporter::OnSent(CloudStatus status) {
  in_flight_ = false;
  delivered_ = status == CloudStatus::kOk;
}

}  // namespace firmoor
