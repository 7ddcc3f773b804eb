#ifndef FIRMOOR_CONFIG_CONFIGURATION_H_
#define FIRMOOR_CONFIG_CONFIGURATION_H_

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace firmoor {

/// What serves a service's requests: engines of a model, or plain upstreams.
enum class ServiceKind { kModel, kPlain };

/// A set of requests of a plain service, and whether they may be retried.
struct Operation {
  std::string method;  ///< HTTP method, or "*".
  std::string path;    ///< Path inside the service; a final "*" is a prefix.
  bool idempotent = false;
  int priority = 0;  ///< Higher goes first.

  bool operator==(const Operation&) const = default;
};

/// One service of the configuration.
struct Service {
  std::string name;
  ServiceKind kind = ServiceKind::kPlain;
  std::vector<Operation> operations;
  int priority = 0;                  ///< Of requests that match no operation.
  bool deduplicates_keys = false;    ///< Upstreams drop repeated keys.
  Duration deadline{30'000};         ///< Maximum duration of a request.
  Duration stall_time{5'000};        ///< Silence until another takes over.
  Duration first_token_target{400};  ///< At the 95th percentile.
  Duration token_gap_target{27};     ///< At the 95th percentile.
  std::int64_t upstream_concurrency = 16;  ///< Requests at once per upstream.
  std::int64_t queue_limit = 256;          ///< Queued requests at one daemon.
  double availability_objective = 0.999;   ///< Fraction of successful answers.
  bool fenced_orders = false;              ///< Upstreams check fencing tokens.
  int min_replicas = 1;
  int max_replicas = 1;

  bool operator==(const Service&) const = default;
};

/// One workspace of the configuration.
struct Workspace {
  std::string name;
  std::string token_sha256;          ///< Of its bearer token, hexadecimal.
  double weight = 1.0;               ///< Relative share under contention.
  std::int64_t max_in_flight = 256;  ///< Concurrent requests at one daemon.
  int priority = 0;                  ///< Added to the service's priority.

  bool operator==(const Workspace&) const = default;
};

/// Properties of a request that matter for routing and retries.
struct OperationTraits {
  bool idempotent = false;
  int priority = 0;

  bool operator==(const OperationTraits&) const = default;
};

/// A validated configuration document with its version. Immutable.
class Configuration {
 public:
  /// The empty configuration, version 0.
  Configuration() = default;

  /// Validates `document`. Fails with `kInvalidPatch` and names the key.
  static Result<Configuration> Parse(std::int64_t version,
                                     const QJsonObject& document);

  [[nodiscard]] std::int64_t version() const { return version_; }
  [[nodiscard]] const QJsonObject& document() const { return document_; }
  [[nodiscard]] const std::map<std::string, Service>& services() const {
    return services_;
  }
  [[nodiscard]] const std::map<std::string, Workspace>& workspaces() const {
    return workspaces_;
  }

  /// The service, or null.
  [[nodiscard]] const Service* FindService(std::string_view name) const;

  /// The workspace that `bearer_token` belongs to, or null.
  [[nodiscard]] const Workspace* FindWorkspace(
      std::string_view bearer_token) const;

  bool operator==(const Configuration& other) const;

 private:
  std::int64_t version_ = 0;
  QJsonObject document_;
  std::map<std::string, Service> services_;
  std::map<std::string, Workspace> workspaces_;
};

/// Traits of a request to a plain service. Without a matching operation,
/// GET, HEAD and OPTIONS are idempotent and all else is not.
OperationTraits TraitsOf(const Service& service, std::string_view method,
                         std::string_view path);

/// SHA-256 of `text` in lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_CONFIGURATION_H_
