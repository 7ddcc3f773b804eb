#include "gateway/usage_reporter.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <algorithm>
#include <utility>

#include "placement/fencing_number.h"

namespace firmoor {

QByteArray UsageReporter::Encode(const UsageReport& report) const {
  QCborMap counts;
  for (const auto& [workspace, count] : report.counts) {
    counts[QString::fromStdString(workspace)] = static_cast<qint64>(count);
  }
  return QCborValue(QCborArray{static_cast<qint64>(report.window), counts,
                               static_cast<qint64>(term_.fencing)})
      .toCbor();
}

UsageReporter::StoredReport UsageReporter::Decode(const QByteArray& bytes) {
  const auto array = QCborValue::fromCbor(bytes).toArray();
  StoredReport stored;
  stored.report.window = array.at(0).toInteger();
  for (const auto& entry : array.at(1).toMap()) {
    stored.report.counts[entry.first.toString().toStdString()] =
        entry.second.toInteger();
  }
  // Missing in objects of earlier releases.
  stored.fencing = array.at(2).toInteger();
  return stored;
}

UsageReporter::UsageReporter(Timing timing, CountSource counts, Term term)
    : timing_(timing), count_source_(std::move(counts)), term_(term) {}

void UsageReporter::ContinueTerm(std::int64_t fencing) {
  // Without a report of its own, the term cannot tell what the store has lost.
  term_ = {fencing, true, false};
  is_state_known_ = false;
}

std::optional<UsageReporter::Step> UsageReporter::Next(std::int64_t true_ms) {
  if (in_flight_) return std::nullopt;
  std::optional<Step> step;
  if (!is_state_known_) {
    step = ReadState{};
  } else if (last_report_ && !is_stored_) {
    step = Write(*last_report_);
  } else if (!is_delivered_ && IsRecent(last_report_->window, true_ms)) {
    step = SendReport{*last_report_, state_version_, is_repeated_};
    is_repeated_ = true;
  } else {
    step = NextReport(true_ms);
  }
  in_flight_ = step.has_value();
  return step;
}

std::optional<UsageReporter::Step> UsageReporter::NextReport(
    std::int64_t true_ms) {
  // Without a stored report, starts with the window that ended last.
  if (next_window_ == 0) next_window_ = true_ms / timing_.window_ms - 1;
  // Skips windows that are too old to be accepted.
  const auto oldest = (true_ms - timing_.max_age_ms) / timing_.window_ms;
  const auto window = std::max(oldest, next_window_);
  if (true_ms < WindowEndMs(window) + timing_.settle_ms) return std::nullopt;
  const bool is_pending = pending_report_ && pending_report_->window == window;
  const bool may_wait = true_ms < WindowEndMs(window) + timing_.max_wait_ms;
  if (!is_pending && may_wait &&
      !count_source_.all_reported(WindowEndMs(window))) {
    return std::nullopt;
  }
  if (!is_pending) pending_report_ = {window, count_source_.sum(window)};
  return Write(*pending_report_);
}

bool UsageReporter::IsTrusted(const std::optional<StoredReport>& stored) const {
  const auto era = EraOfFencing(term_.fencing);
  if (stored && stored->fencing != 0) {
    return EraOfFencing(stored->fencing) == era;
  }
  if (stored) return !term_.may_lack_reports;
  return era == 0 || term_.is_first;
}

void UsageReporter::AdoptState(const std::optional<StoredReport>& stored) {
  const bool is_trusted = IsTrusted(stored);
  if (stored && is_trusted && stored->report.window >= next_window_) {
    last_report_ = stored->report;
    next_window_ = last_report_->window + 1;
    pending_report_.reset();
    is_stored_ = true;
    is_delivered_ = false;
    is_repeated_ = true;
    return;
  }
  if (!last_report_ && !is_trusted) {
    const auto first = count_source_.era_known_since_ms() / timing_.window_ms;
    next_window_ = std::max(next_window_, first);
  }
  is_stored_ = stored && stored->report == last_report_ && is_trusted;
}

void UsageReporter::OnRead(StoreStatus status, const StoredObject& object) {
  in_flight_ = false;
  const bool is_known =
      status == StoreStatus::kOk || status == StoreStatus::kNotFound;
  if (!is_known) return;
  is_state_known_ = true;
  state_version_ = object.version;
  AdoptState(status == StoreStatus::kOk ? std::optional(Decode(object.value))
                                        : std::nullopt);
}

void UsageReporter::OnWrite(StoreStatus status, StoreVersion version) {
  in_flight_ = false;
  if (status != StoreStatus::kOk) {
    // The write may have been stored or lost to another daemon: read again.
    is_state_known_ = false;
    return;
  }
  state_version_ = version;
  if (std::exchange(is_stored_, true) || !last_report_) {
    last_report_ = std::exchange(pending_report_, std::nullopt);
    next_window_ = last_report_->window + 1;
    is_delivered_ = false;
    is_repeated_ = false;
  }
}

void UsageReporter::OnSent(CloudStatus status) {
  in_flight_ = false;
  is_delivered_ = status == CloudStatus::kOk;
}

}  // namespace firmoor
