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

/// Settings, collaborators and callbacks that the daemon gives a dispatcher.
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
  /// Whether another daemon's incarnation is live, to this daemon's knowledge.
  std::function<bool(const std::string& incarnation)> is_live;
  /// Queries the daemons that may hold a request for its progress.
  std::function<void(const std::string& id, std::size_t from,
                     std::function<void(const RequestProgress&)> done)>
      find_remote_request;
  /// Called when an upstream of this daemon starts leaving.
  std::function<void(const std::string& id)> on_leaving;
  /// Writes one line of the decision trace; empty when tracing is off.
  std::function<void(const QJsonObject&)> trace;
};

/// Serves requests of callers: validates, admits, claims, routes, sends,
/// retries, resumes and answers them. Not thread-safe; use it only on the
/// thread of the event loop.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherEnvironment environment);
  ~Dispatcher();

  void SetConfiguration(const Configuration& configuration);
  void ApplyVmList(const std::vector<Vm>& vms);
  /// Marks upstreams that other daemons reported as leaving. The mark is never
  /// cleared.
  void MarkLeaving(const std::vector<std::string>& ids);
  [[nodiscard]] std::vector<std::string> Leaving() const;

  /// Serves one request. The answer may be sent after this returns.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

  /// From now on, accepts no asynchronous request and adopts none, since it
  /// might not find another daemon any more.
  void StartDrain();
  /// Refuses all new requests from now on.
  void RefuseRequests();
  /// Number of requests that have no final answer yet.
  [[nodiscard]] std::size_t ActiveRequestCount() const;
  /// Cancels the attempts that are safe to cancel and returns the records of
  /// the requests that another daemon can continue or answer. `with_callers`
  /// includes requests whose callers are connected to this daemon. A
  /// non-idempotent request that was sent stays here until it ends.
  std::vector<RequestRecord> DetachForHandover(bool with_callers);
  /// Completes the hand-over of one request. Adopted: its callers are
  /// redirected to the other daemon. Refused: it continues here. Unconfirmed:
  /// a non-idempotent request ends here with an unknown outcome, since the
  /// other daemon may run it; any other continues here.
  enum class HandoverResult { kAdopted, kRefused, kUnconfirmed };
  void FinishHandover(const std::string& id, HandoverResult end);
  /// Ends all requests, since the daemon stops. Callers that wait get an error
  /// that tells whether their request may have run.
  void EndRequests();
  /// Takes over a request from another daemon. Returns false when this daemon
  /// is draining or does not accept the request.
  bool Adopt(const RequestRecord& record);
  /// Progress of a request that this daemon holds, with the tokens from index
  /// `from` on; `found` is false for any other request.
  [[nodiscard]] RequestProgress Progress(const std::string& id,
                                         std::size_t from) const;

  /// Number of running and waiting requests by service.
  [[nodiscard]] std::map<std::string, double> Demand() const;

  /// Streams whose callers take them slowly, in the Prometheus text format.
  [[nodiscard]] std::string CallerFlowMetrics() const;

  /// State of services, upstreams and requests for the operator endpoint.
  [[nodiscard]] QJsonObject Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Availability zone and daemon that issued a request id.
struct RequestOrigin {
  std::string availability_zone;
  std::string daemon;

  bool operator==(const RequestOrigin&) const = default;
};

/// Origin encoded in a request id; empty fields when the id is malformed.
RequestOrigin OriginOf(const std::string& request_id);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_DISPATCHER_H_
