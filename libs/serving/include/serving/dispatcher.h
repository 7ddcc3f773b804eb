#ifndef FIRMOOR_SERVING_DISPATCHER_H_
#define FIRMOOR_SERVING_DISPATCHER_H_

#include <QJsonObject>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "http/http_server.h"
#include "platform/vm_list.h"
#include "serving/request_record.h"

namespace firmoor {

class ClaimStore;
class ServiceMetrics;

/// What a dispatcher needs of the rest of the daemon.
struct DispatcherEnvironment {
  std::string daemon;
  std::string incarnation;  ///< Unique for each start of a daemon.
  std::string availability_zone;
  std::string region;
  std::string routing_strategy = "expected-time";
  std::size_t upstreams_per_service = 24;
  std::int64_t region_link_bytes_per_s = 2'000'000;
  Duration load_period{500};
  ClaimStore* claims = nullptr;       ///< Not owned.
  ServiceMetrics* metrics = nullptr;  ///< Not owned.
  /// Whether another daemon's incarnation is live as far as is known.
  std::function<bool(const std::string& incarnation)> is_live;
  /// Asks the daemons that may hold a request for its tail.
  std::function<void(const std::string& id, std::size_t from,
                     std::function<void(const RequestProgress&)> done)>
      find_remote_request;
  /// An upstream of this daemon was found leaving.
  std::function<void(const std::string& id)> on_leaving;
  /// Takes one line of the decision trace; empty when not traced.
  std::function<void(const QJsonObject&)> trace;
};

/// Serves callers: checks, admits, claims, routes, sends, retries, resumes
/// and answers. Not thread-safe; lives in the event loop.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherEnvironment environment);
  ~Dispatcher();

  void SetConfiguration(const Configuration& configuration);
  void ApplyVmList(const std::vector<Vm>& vms);
  /// Sets the one-way mark of upstreams that others found leaving.
  void MarkLeaving(const std::vector<std::string>& ids);
  [[nodiscard]] std::vector<std::string> Leaving() const;

  /// Serves one request of a caller.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

  /// Refuses new requests from now on.
  void StartDrain();
  /// Requests that have no final answer yet.
  [[nodiscard]] std::size_t ActiveRequestCount() const;
  /// Stops the attempts that may be stopped and gives out the records of the
  /// requests that another daemon can go on with or answer for. With
  /// `with_callers` also those whose callers wait here. A non-idempotent
  /// request that was sent stays here until it ends.
  std::vector<RequestRecord> DetachForHandover(bool with_callers);
  /// Ends the hand-over of one request. Taken: its callers are pointed to
  /// the other daemon. Refused: it goes on here. Unconfirmed: one that is
  /// not idempotent ends here with an unknown outcome, others go on here.
  enum class HandoverResult { kAdopted, kRefused, kUnconfirmed };
  void FinishHandover(const std::string& id, HandoverResult end);
  /// Takes over a request; false when this daemon is draining itself.
  bool Adopt(const RequestRecord& record);
  /// What this daemon knows of a request.
  [[nodiscard]] RequestProgress Progress(const std::string& id,
                                         std::size_t from) const;

  /// Requests running and waiting, by service.
  [[nodiscard]] std::map<std::string, double> Demand() const;

  /// Services, upstreams and counts, for operators.
  [[nodiscard]] QJsonObject Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Availability zone and daemon that gave out a request id.
struct RequestOrigin {
  std::string availability_zone;
  std::string daemon;

  bool operator==(const RequestOrigin&) const = default;
};

/// Parts of a request id; empty when it is malformed.
RequestOrigin OriginOf(const std::string& request_id);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_DISPATCHER_H_
