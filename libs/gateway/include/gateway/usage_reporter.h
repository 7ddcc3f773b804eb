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

/// Reports the usage of each window exactly once. The counts are written to
/// the store before they are sent, so a daemon that takes over repeats the
/// same figures when it cannot know whether they arrived. Pure.
class UsageReporter {
 public:
  struct Timing {
    std::int64_t window_ms = 5'000;
    /// From the end of a window to the first look at its counts.
    std::int64_t settle_ms = 700;
    /// Longest wait for daemons that have not reported; usage is due 10 s after
    /// its window.
    std::int64_t max_wait_ms = 9'000;
    /// Reports that are later than this are not worth a call.
    std::int64_t max_age_ms = 20'000;

    bool operator==(const Timing&) const = default;
  };
  struct ReadState {
    bool operator==(const ReadState&) const = default;
  };
  struct WriteState {
    std::int64_t expected = 0;
    QByteArray value;
    bool operator==(const WriteState&) const = default;
  };
  struct SendReport {
    UsageReport report;
    bool operator==(const SendReport&) const = default;
  };
  using Step = std::variant<ReadState, WriteState, SendReport>;
  /// What the daemons have counted.
  struct CountSource {
    std::function<UsageCounts(std::int64_t window)> sum;
    /// Whether all daemons have reported since that true time.
    std::function<bool(std::int64_t true_ms)> all_reported;
  };

  UsageReporter(Timing timing, CountSource counts);

  /// The next call to make; one at a time. `true_ms`: the time of day.
  std::optional<Step> Next(std::int64_t true_ms);
  void OnRead(StoreStatus status, const StoredObject& object);
  void OnWrite(StoreStatus status, std::int64_t version);
  void OnSent(CloudStatus status);

  /// First window that is not settled yet; older counts may be dropped.
  [[nodiscard]] std::int64_t NextWindow() const {
    return last_report_.window + 1;
  }

 private:
  [[nodiscard]] std::optional<Step> NextReport(std::int64_t true_ms);
  [[nodiscard]] std::int64_t WindowEndMs(std::int64_t window) const {
    return (window + 1) * timing_.window_ms;
  }

  Timing timing_;
  CountSource count_source_;
  bool in_flight_ = false;
  bool is_state_known_ = false;
  std::int64_t state_version_ = 0;
  UsageReport last_report_;     ///< As in the store.
  UsageReport pending_report_;  ///< On its way to the store.
  bool is_delivered_ = true;    ///< Whether `last_` arrived at the cloud API.
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_USAGE_REPORTER_H_
