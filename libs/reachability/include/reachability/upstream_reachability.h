#ifndef FIRMOOR_REACHABILITY_UPSTREAM_REACHABILITY_H_
#define FIRMOOR_REACHABILITY_UPSTREAM_REACHABILITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Whether this daemon reaches the upstreams of a service.
enum class ReachabilityState {
  kReachable,    ///< At least one, as far as is known.
  kSuspected,    ///< Evidence against it is being checked by probes.
  kUnreachable,  ///< None of those that were tried.
  kRecovering,   ///< Again; takes a growing share of the requests.
};

/// "reachable", "suspected", "unreachable" or "recovering", for logs.
std::string_view NameOf(ReachabilityState state);

/// A change of state, with the evidence for it.
struct ReachabilityChange {
  std::string service;
  ReachabilityState before = ReachabilityState::kReachable;
  ReachabilityState after = ReachabilityState::kReachable;
  /// Upstreams that failed since the suspicion was raised.
  std::vector<std::string> failed;
  std::size_t listed = 0;  ///< Upstreams of the service in the catalog.
  /// Since the last sign of life of any of them; empty if there was none.
  std::optional<Duration> contact_age;
  Duration first_failure_age{0};

  bool operator==(const ReachabilityChange&) const = default;
};

/// Decides from the outcome of attempts and probes whether this daemon has lost
/// its links to all upstreams of a service, as opposed to some upstreams that
/// have failed or that pause.
///
/// A connection that fails or breaks, or silence of all upstreams, raises a
/// suspicion, which connections opened as probes to a few other upstreams in
/// as many availability zones as possible confirm or refute. While a service is
/// unreachable, single probes with exponential backoff find out when the links
/// are back; requests then return by degrees. Performs no I/O and reads no
/// clock.
class UpstreamReachability {
 public:
  /// An upstream that may be used.
  struct Upstream {
    std::string service;
    std::string availability_zone;

    bool operator==(const Upstream&) const = default;
  };

  /// Replaces the upstreams, by id.
  void SetUpstreams(std::map<std::string, Upstream> upstreams);

  /// A byte of a response arrived on a connection from before. Shows that this
  /// connection lives, not that new ones can be opened.
  void OnContact(const std::string& upstream, TimePoint now);
  /// A response arrived on a connection that was opened after `opened_at`, or a
  /// probe was connected. A connection from before the evidence against the
  /// links only counts as contact.
  void OnConnected(const std::string& upstream, TimePoint opened_at,
                   TimePoint now);
  /// No connection to `upstream` could be established.
  void OnConnectFailure(const std::string& upstream, TimePoint now);
  /// A connection to `upstream` broke, or its response did not come in time.
  void OnBroken(const std::string& upstream, TimePoint now);
  /// A request at `upstream` has got no byte since `silent_since`, which is
  /// longer than upstreams usually need.
  void OnSilence(const std::string& upstream, TimePoint silent_since,
                 TimePoint now);
  /// The process was suspended until now: suspicions from before are void.
  void OnStandstill();

  /// Upstreams to which a connection is to be opened now, as probes.
  std::vector<std::string> TakeDueProbes(TimePoint now);
  /// When `TakeDueProbes` is to be called again at the latest; empty: not
  /// before the next evidence.
  [[nodiscard]] std::optional<TimePoint> NextProbeTime() const;
  void OnProbeResult(const std::string& upstream, bool connected,
                     TimePoint now);

  [[nodiscard]] ReachabilityState StateOf(const std::string& service) const;
  /// Whether this daemon itself is to send a request to an upstream.
  /// `request_hash` spreads the requests over the share that is allowed while
  /// the service recovers.
  [[nodiscard]] bool SendsDirectly(const std::string& service,
                                   std::uint64_t request_hash,
                                   TimePoint now) const;
  /// Last sign of life of any upstream of the service; empty if there was none.
  [[nodiscard]] std::optional<TimePoint> LastContact(
      const std::string& service) const;
  /// Since when the service is unreachable; empty unless it is.
  [[nodiscard]] std::optional<TimePoint> UnreachableSince(
      const std::string& service) const;
  [[nodiscard]] std::vector<std::string> UnreachableServices() const;
  /// Time for which services were unreachable, summed over all of them.
  [[nodiscard]] Duration TotalUnreachableTime(TimePoint now) const;
  /// Changes of state since the last call.
  std::vector<ReachabilityChange> TakeChanges();

 private:
  struct Service {
    ReachabilityState state = ReachabilityState::kReachable;
    TimePoint state_since;
    std::optional<TimePoint> last_contact;
    std::optional<TimePoint> last_connected;
    /// When the present evidence against the links began.
    std::optional<TimePoint> evidence_since;
    std::optional<TimePoint> first_failure;  ///< Since then.
    std::set<std::string> failed;            ///< Since then.
    std::set<std::string> due_probes;
    std::map<std::string, TimePoint> open_probes;  ///< With their opening.
    int rounds = 0;               ///< Of probes, since the suspicion.
    int needed_rounds = 0;        ///< That have to fail to confirm it.
    bool was_recovering = false;  ///< When the suspicion was raised.
    /// Before the next probe while unreachable, and between two suspicions.
    TimePoint next_probe;
    Duration backoff{0};
    std::optional<TimePoint> last_loss;
    int recent_losses = 0;
    Duration unreachable_time{0};  ///< Of earlier losses.
  };

  Service* ServiceOf(const std::string& upstream);
  [[nodiscard]] const Service* Find(const std::string& service) const;
  void RecordFailure(const std::string& upstream, Service* service,
                     TimePoint now);
  void StartSuspicion(const std::string& name, Service* service,
                      int needed_rounds, TimePoint now);
  /// Probes some upstreams, those that have not failed first.
  void OpenRound(const std::string& name, Service* service);
  [[nodiscard]] static int NeededRounds(const Service& service);
  /// The upstreams that were probed have left.
  void ReplaceProbes(const std::string& name, Service* service, TimePoint now);
  [[nodiscard]] bool MaySuspect(const Service& service, TimePoint now) const;
  void Refute(const std::string& name, Service* service, TimePoint now);
  void OnLost(const std::string& name, Service* service, TimePoint now);
  void SetState(const std::string& name, Service* service,
                ReachabilityState state, TimePoint now);
  [[nodiscard]] std::vector<std::string> UpstreamsOf(
      const std::string& name) const;
  [[nodiscard]] static double DirectShare(const Service& service,
                                          TimePoint now);

  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, Service> services_;
  std::vector<ReachabilityChange> changes_;
  std::uint64_t probe_count_ = 0;  ///< Varies the upstreams that are probed.
};

}  // namespace firmoor

#endif  // FIRMOOR_REACHABILITY_UPSTREAM_REACHABILITY_H_
