#ifndef FIRMOOR_GATEWAY_CLOUD_API_H_
#define FIRMOOR_GATEWAY_CLOUD_API_H_

#include <cstdint>
#include <functional>
#include <string>

#include "limits/usage_ledger.h"

namespace firmoor {

/// How a call to the cloud API ended.
enum class CloudStatus {
  kOk,
  kNoCapacity,   ///< The cloud has no such VMs now.
  kRefused,      ///< Not done, for instance since calls came too fast.
  kUnavailable,  ///< No answer; it may have been done.
};

/// Who makes a call, and with what right.
struct LeaseHolder {
  std::string daemon;
  std::int64_t fencing = 0;

  bool operator==(const LeaseHolder&) const = default;
};

/// Requests that began to run in one window.
struct UsageReport {
  std::int64_t window = 0;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// Number of upstreams wanted of one service, zone and market.
struct UpstreamOrder {
  std::string service;
  std::string availability_zone;
  bool reclaimable = false;
  int count = 0;

  auto operator<=>(const UpstreamOrder&) const = default;
};

/// Calls that only the holder of the lease makes. `may_send` is asked right
/// before the bytes leave, since the lease may have run out while the call
/// waited for its connection.
class CloudApi {
 public:
  using MaySend = std::function<bool()>;
  using Done = std::function<void(CloudStatus)>;

  virtual ~CloudApi() = default;

  virtual void ReportUsage(const LeaseHolder& holder, const UsageReport& report,
                           MaySend may_send, Done done) = 0;
  virtual void OrderUpstreams(const LeaseHolder& holder,
                              const UpstreamOrder& order, MaySend may_send,
                              Done done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_CLOUD_API_H_
