#ifndef FIRMOOR_ROUTING_UPSTREAM_PICKER_H_
#define FIRMOOR_ROUTING_UPSTREAM_PICKER_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "capacity/upstream_capacity.h"
#include "limits/upstream_permits.h"
#include "routing/engine_loads.h"
#include "routing/route_table.h"
#include "routing/upstream_catalog.h"
#include "routing/version_filter.h"

namespace firmoor {

/// A chunk of a prompt. Prompts with a common prefix share leading chunks.
struct PromptChunk {
  std::uint64_t id = 0;
  double tokens = 0;

  bool operator==(const PromptChunk&) const = default;
};

/// The properties of a request that the choice of an upstream depends on.
struct PickRequest {
  std::string service;
  /// Requests of one kind are of similar size, such as those of one route.
  std::string kind;
  std::vector<PromptChunk> chunks;  ///< The last one is unique to the request.
  double prompt_tokens = 0;
  double output_tokens = 0;       ///< Upper limit.
  std::set<std::string> exclude;  ///< Upstreams already tried.
  VersionFilter versions;         ///< While versions change.
  /// Software version that wrote the stream so far; others cannot resume it.
  /// Streams that go on may exceed the slots, which new requests have taken.
  std::optional<std::string> version;
  /// Whether the request resumes a generation that has already started,
  /// possibly at the leaving upstream that it started at.
  bool is_continuation = false;

  bool operator==(const PickRequest&) const = default;
};

/// Tracks one request at one upstream from dispatch to completion.
struct PickTicket {
  std::string upstream;  ///< Empty when not dispatched.
  double prefill_tokens = 0;
  std::optional<TimePoint> started_at;  ///< Arrival of the first event.
  /// What the time of this request tells of the upstream; empty for nothing.
  std::optional<CapacitySample> sample;
  TimePoint sent_at;         ///< Valid with `sample`.
  std::int64_t born_ms = 0;  ///< Instance that it was sent to; as above.

  bool operator==(const PickTicket&) const = default;
};

/// Outcome of a request as far as it reflects the health of the upstream.
enum class UpstreamOutcome {
  kSuccess,
  kRefused,      ///< Rejected by a full upstream.
  kFailed,       ///< Error response, or truncated response.
  kUnreachable,  ///< Connection failed, or response timed out.
  kNeutral,      ///< Caller disconnected, or deadline exceeded.
};

/// Chooses an upstream for each request.
///
/// Engines are chosen by the expected time to the first event. Rendezvous
/// hashing assigns each prompt prefix a home engine, so that all daemons send
/// requests with that prefix to the same engine without coordination. When
/// engine slots are scarce, some engines are probed for their load first.
/// Plain upstreams are chosen by distance and load. Upstreams that answers show
/// to be slower than others, or slow before they are full, cost more.
///
/// Health checks are not relied on: upstreams that fail requests are ejected
/// with exponential backoff, unless all are ejected. Performs no I/O.
class UpstreamPicker {
 public:
  /// The daemon's availability zone, and the region of each zone.
  struct Location {
    std::string availability_zone;
    std::map<std::string, std::string> regions;

    bool operator==(const Location&) const = default;
  };

  /// Mechanisms that can be disabled to measure their effect.
  struct Options {
    bool prefix_homes = true;
    bool ejection = true;
    bool learned_capacity = true;
    bool learned_engines = false;  ///< Of engines as well.

    bool operator==(const Options&) const = default;
  };

  explicit UpstreamPicker(Location location)
      : UpstreamPicker(std::move(location), Options{}) {}
  UpstreamPicker(Location location, Options options);

  /// Replaces the list of upstreams. Instances that remain keep their state.
  void SetUpstreams(const std::map<std::string, UpstreamEntry>& entries);
  /// Replaces the service profiles, which distinguish engines from plain
  /// upstreams.
  void SetServices(const std::vector<ServiceProfile>& services);

  /// Sends rate-limited upstreams requests only while `permits` has permits for
  /// them, and brittle ones only while it has slots. Not owned; must outlive
  /// the picker.
  void LimitBy(UpstreamPermits* permits) { permits_ = permits; }

  /// Sends an upstream no requests until `until`, as it asked for. Unlike
  /// ejected upstreams, paused ones are not used even if all others are
  /// unavailable. `born_ms` identifies the instance.
  void Pause(const std::string& id, std::int64_t born_ms, TimePoint until,
             TimePoint now);
  /// Earliest time at which an upstream of `service` accepts requests again
  /// after a pause or has a permit; empty if one does so now, or if there are
  /// none.
  [[nodiscard]] std::optional<TimePoint> NextAvailableTime(
      const std::string& service, TimePoint now) const;

  /// Chooses the upstream for `request`; empty if all are at capacity, paused,
  /// leaving, excluded or without a permit or slot. `without_permit`, if given,
  /// gets the better upstreams that were passed over for want of either, best
  /// first.
  [[nodiscard]] std::optional<UpstreamEntry> Pick(
      const PickRequest& request, TimePoint now,
      std::vector<UpstreamEntry>* without_permit = nullptr);
  /// Whether `Pick` would find an upstream with a free slot now. Records no
  /// demand for permits.
  [[nodiscard]] bool HasUpstreamFor(const PickRequest& request,
                                    TimePoint now) const;
  /// Requests per second that this daemon can expect to send to the
  /// rate-limited upstreams of `service`.
  [[nodiscard]] double PermitRate(const std::string& service,
                                  TimePoint now) const;

  /// Engines to probe for their load before `request` is sent: the best
  /// candidates without a recent report. Empty if a report would not change the
  /// choice, because utilization is low or the request is small compared to the
  /// usual ones. `daemons`: number of daemons that share the engines.
  [[nodiscard]] std::vector<UpstreamEntry> EnginesToProbe(
      const PickRequest& request, std::size_t daemons, TimePoint now);
  /// Records a load report of an engine.
  void OnReport(const std::string& id, const EngineLoad& load, TimePoint now);
  /// Estimated time that a request would wait for a slot.
  [[nodiscard]] Duration ExpectedWait(const std::string& id,
                                      TimePoint now) const;

  /// Estimated part of an engine's slots that is taken; 0 for plain upstreams.
  [[nodiscard]] double Occupancy(const std::string& id, TimePoint now) const;

  /// Records that the request is sent. Keep the ticket until `OnEnd`. Without
  /// `now` the times of the request are not learned from.
  PickTicket OnSend(const std::string& id, const PickRequest& request,
                    std::optional<TimePoint> now = std::nullopt);
  /// Records the first event, which shows that prefill has finished.
  void OnFirstEvent(PickTicket* ticket, TimePoint now);
  /// Records the end of the request and clears the ticket.
  void OnEnd(PickTicket* ticket, UpstreamOutcome outcome, TimePoint now);

  /// Whether an upstream of `version` is listed and not leaving.
  [[nodiscard]] bool HasVersion(const std::string& service,
                                const std::string& version) const;

  /// Observed by expected time to the first event or answer, of the requests
  /// that showed it since the last call; at most some hundred.
  [[nodiscard]] std::vector<double> TakeTimeRatios();
  /// Prompt tokens that an engine of `service` is expected to read per second.
  [[nodiscard]] double TokensPerS(const std::string& service) const {
    return capacity_.TokensPerS(service);
  }
  /// Changes of what is believed of upstreams since the last call.
  [[nodiscard]] std::vector<CapacityChange> TakeCapacityChanges() {
    return capacity_.TakeChanges();
  }

  [[nodiscard]] std::int64_t InFlight(const std::string& id) const;
  /// In-flight requests of this daemon at upstreams of `service`.
  [[nodiscard]] std::int64_t ServiceInFlight(const std::string& service) const;

 private:
  /// Chunks recently sent to an upstream, most recent first (LRU).
  struct ChunkHistory {
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index;

    void Touch(std::uint64_t chunk);
    [[nodiscard]] bool Contains(std::uint64_t chunk) const;
  };
  struct Upstream {
    UpstreamEntry entry;
    std::int64_t in_flight = 0;
    double queued_tokens = 0;  ///< Sent by this daemon, not prefilled yet.
    int failures = 0;          ///< Consecutive.
    int ejections = 0;         ///< Consecutive.
    TimePoint ejected_until;
    ChunkHistory chunks;
  };
  /// Pause of one instance of an upstream.
  struct PauseState {
    std::int64_t born_ms = 0;
    TimePoint until;
  };
  struct Candidate {
    const Upstream* upstream = nullptr;
    double cost = 0;
    std::uint64_t rank = 0;
  };

  [[nodiscard]] bool IsRemote(const UpstreamEntry& entry) const;
  [[nodiscard]] std::vector<const Upstream*> EligibleUpstreams(
      const PickRequest& request, TimePoint now) const;
  /// Limit of this daemon's requests there.
  [[nodiscard]] std::int64_t CeilingOf(const UpstreamEntry& entry) const;
  [[nodiscard]] bool HasCapacity(const Upstream& upstream) const;
  [[nodiscard]] bool IsRateLimited(const UpstreamEntry& entry) const;
  /// Whether this daemon may send the upstream a request if it is brittle.
  [[nodiscard]] bool HasSlot(const UpstreamEntry& entry, TimePoint now) const;
  /// Records that a request found no upstream, at the best one that the
  /// coordinator may grant a slot of.
  void RecordDenied(const std::vector<const UpstreamEntry*>& without_slot,
                    TimePoint now);
  /// End of the pause; empty if not paused.
  [[nodiscard]] std::optional<TimePoint> PausedUntil(const UpstreamEntry& entry,
                                                     TimePoint now) const;
  [[nodiscard]] std::uint64_t HomeHashKey(const PickRequest& request) const;
  /// Cost of a plain upstream without distance.
  [[nodiscard]] double PlainCost(const Upstream& upstream,
                                 const PickRequest& request,
                                 TimePoint now) const;
  /// Whether the choice of a service's upstreams follows what was learned.
  [[nodiscard]] bool LearnsCapacityOf(const std::string& service) const;
  /// Expected time at the upstream by that at a usual one.
  [[nodiscard]] double Slowness(const Upstream& upstream, TimePoint now) const;
  /// Expected time that a request of the kind takes longer here than at a usual
  /// upstream, in seconds.
  [[nodiscard]] double ExtraTime(const Upstream& upstream,
                                 const std::string& kind,
                                 double slowness) const;
  [[nodiscard]] CapacityWork WorkOf(const Upstream& upstream,
                                    const PickRequest& request,
                                    double uncached) const;
  /// What the time of a request that is sent now will tell.
  [[nodiscard]] CapacitySample SampleOf(const Upstream& upstream,
                                        const PickRequest& request,
                                        double uncached, TimePoint now) const;
  /// Learns from a request that got its first event or answer, or was given up.
  void LearnFrom(PickTicket* ticket, bool is_lower_bound, TimePoint now);
  [[nodiscard]] static double UncachedTokens(const Upstream& upstream,
                                             const PickRequest& request,
                                             bool is_home);
  [[nodiscard]] double Cost(const Upstream& upstream,
                            const PickRequest& request, bool is_home,
                            TimePoint now) const;
  [[nodiscard]] double EngineCost(const Upstream& upstream,
                                  const PickRequest& request, bool is_home,
                                  TimePoint now) const;
  /// Returns `eligible` sorted by cost, cheapest first.
  [[nodiscard]] std::vector<Candidate> RankCandidates(
      const std::vector<const Upstream*>& eligible, const PickRequest& request,
      TimePoint now) const;
  [[nodiscard]] bool IsEngine(const std::string& service) const;
  [[nodiscard]] static EngineLoads::Engine LoadViewOf(const Upstream& upstream);
  /// Estimated slot utilization of a service, assuming that all daemons send as
  /// many requests as this one.
  [[nodiscard]] double SlotUtilization(const std::string& service,
                                       std::size_t daemons) const;
  /// Removes the request's tokens from the prefill queue estimate.
  void FinishPrefill(const PickTicket& ticket);
  void RecordOutcome(Upstream* upstream, UpstreamOutcome outcome,
                     TimePoint now);

  Location location_;
  Options options_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, ServiceProfile> services_;
  EngineLoads loads_;
  UpstreamCapacity capacity_;
  std::vector<double> time_ratios_;
  UpstreamPermits* permits_ = nullptr;
  std::map<std::string, PauseState> pauses_;  ///< By id; outlives the entries.
  std::uint64_t pick_count_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_UPSTREAM_PICKER_H_
