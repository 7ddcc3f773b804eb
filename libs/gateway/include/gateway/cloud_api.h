#ifndef FIRMOOR_GATEWAY_CLOUD_API_H_
#define FIRMOOR_GATEWAY_CLOUD_API_H_

#include <cstdint>
#include <functional>
#include <string>

#include "limits/usage_ledger.h"

namespace firmoor {

/// Result of a call to the cloud API.
enum class CloudStatus {
  kOk,
  kNoCapacity,   ///< No such VMs are available now.
  kRefused,      ///< Not carried out, e.g. because of rate limiting.
  kUnavailable,  ///< No answer; it may have been carried out.
};

/// Identifies the caller by its lease.
struct LeaseHolder {
  std::string daemon;
  std::int64_t fencing = 0;  ///< Fencing token of its lease.

  bool operator==(const LeaseHolder&) const = default;
};

/// Number of requests, by workspace, that started to run in one window.
struct UsageReport {
  std::int64_t window = 0;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// The desired number of upstreams of one service, availability zone and
/// market.
struct UpstreamOrder {
  std::string service;
  std::string availability_zone;
  bool reclaimable = false;
  int count = 0;

  auto operator<=>(const UpstreamOrder&) const = default;
};

/// Calls that only the lease holder makes. `may_send` is evaluated immediately
/// before the request is sent, since the lease may have expired while the call
/// waited for a connection.
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
