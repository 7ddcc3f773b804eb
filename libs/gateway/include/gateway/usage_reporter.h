#ifndef FIRMOOR_GATEWAY_USAGE_REPORTER_H_
#define FIRMOOR_GATEWAY_USAGE_REPORTER_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <optional>
#include <variant>

#include "base/time.h"
#include "gateway/cloud_api.h"
#include "platform/object_store.h"

namespace firmoor {

/// Reports the usage of each window to the cloud API. A window may be sent more
/// than once, but always with the same counts: they are written to the store
/// before they are sent, and a daemon that takes over repeats the stored
/// report, since it cannot know whether it was delivered.
///
/// When the store returns from an older copy it may lack reports that were
/// sent. The coordinator that sent them writes its last one again. Another one
/// trusts only reports that were stored in the present era. Without any it
/// begins with the first window that ended after the return: earlier ones may
/// have been sent, and a window that is not reported does less harm than one
/// with two counts.
///
/// Performs no I/O and reads no clock; the caller carries out the steps.
class UsageReporter {
 public:
  struct Timing {
    std::int64_t window_ms = 5'000;
    /// Delay from the end of a window until its counts are read.
    std::int64_t settle_ms = 700;
    /// Longest wait, from the end of a window, for daemons that have not
    /// reported; usage is due 10 s after the end of its window.
    std::int64_t max_wait_ms = 9'000;
    /// Windows that ended longer ago are not reported.
    std::int64_t max_age_ms = 20'000;

    bool operator==(const Timing&) const = default;
  };
  /// A coordinator's term, from the fencing number of its lease.
  struct Term {
    std::int64_t fencing = 0;
    /// Whether coordinators of an earlier era may have sent reports of which
    /// the store has lost every trace.
    bool may_lack_reports = false;
    bool is_first = false;  ///< There has been no coordinator before.

    bool operator==(const Term&) const = default;
  };
  /// Read the last report from the store; answer with `OnRead`.
  struct ReadState {
    bool operator==(const ReadState&) const = default;
  };
  /// Write a report to the store; answer with `OnWrite`.
  struct WriteState {
    StoreVersion expected;  ///< Version that the write replaces.
    QByteArray value;
    bool operator==(const WriteState&) const = default;
  };
  /// Send a report to the cloud API; answer with `OnSent`.
  struct SendReport {
    UsageReport report;
    StoreVersion stored_at;    ///< Of the stored report.
    bool is_repeated = false;  ///< Read from the store, or sent before.
    bool operator==(const SendReport&) const = default;
  };
  using Step = std::variant<ReadState, WriteState, SendReport>;
  /// Access to the counts that the daemons have reported.
  struct CountSource {
    std::function<UsageCounts(std::int64_t window)> sum;
    /// Whether all daemons have reported since `true_ms`.
    std::function<bool(std::int64_t true_ms)> all_reported;
    /// True time, Unix ms, at which the store was in its present era for sure:
    /// reports of windows that ended later were not stored in an earlier one.
    std::function<std::int64_t()> era_known_since_ms;
  };

  UsageReporter(Timing timing, CountSource counts, Term term);

  /// Continues the term with the number of a later era, in which the same
  /// coordinator holds the lease without a break.
  void ContinueTerm(std::int64_t fencing);

  /// Returns the next call to make, or nothing while a call is in flight or
  /// when none is due. `true_ms` is the true time, Unix ms.
  std::optional<Step> Next(std::int64_t true_ms);
  void OnRead(StoreStatus status, const StoredObject& object);
  void OnWrite(StoreStatus status, StoreVersion version);
  void OnSent(CloudStatus status);

  /// First window without a stored report; older counts may be dropped.
  [[nodiscard]] std::int64_t NextWindow() const { return next_window_; }

 private:
  /// A report in the store and the number of the coordinator that wrote it.
  struct StoredReport {
    UsageReport report;
    std::int64_t fencing = 0;  ///< 0: of a release that does not store it.
  };

  static StoredReport Decode(const QByteArray& bytes);
  [[nodiscard]] QByteArray Encode(const UsageReport& report) const;
  /// Whether the store had this report, or none, in the present era.
  [[nodiscard]] bool IsTrusted(const std::optional<StoredReport>& stored) const;
  void AdoptState(const std::optional<StoredReport>& stored);
  [[nodiscard]] WriteState Write(const UsageReport& report) const {
    return {state_version_, Encode(report)};
  }
  [[nodiscard]] bool IsRecent(std::int64_t window, std::int64_t true_ms) const {
    return true_ms < WindowEndMs(window) + timing_.max_age_ms;
  }
  [[nodiscard]] std::optional<Step> NextReport(std::int64_t true_ms);
  [[nodiscard]] std::int64_t WindowEndMs(std::int64_t window) const {
    return (window + 1) * timing_.window_ms;
  }

  Timing timing_;
  CountSource count_source_;
  Term term_;
  bool in_flight_ = false;
  bool is_state_known_ = false;
  StoreVersion state_version_;
  std::int64_t next_window_ = 0;  ///< 0: not known yet.
  /// The last report that this term knows.
  std::optional<UsageReport> last_report_;
  /// Being written to the store. It is kept until the write succeeds: one that
  /// got no answer may take effect later, and must then hold the same counts.
  std::optional<UsageReport> pending_report_;
  bool is_stored_ = false;    ///< Whether the store holds `last_report_`.
  bool is_delivered_ = true;  ///< Whether `last_report_` was accepted.
  bool is_repeated_ = false;  ///< Whether `last_report_` may have been sent.
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_USAGE_REPORTER_H_
