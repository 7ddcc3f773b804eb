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
#include "routing/engine_loads.h"
#include "routing/route_table.h"
#include "routing/upstream_catalog.h"

namespace firmoor {

/// A part of a prompt; prompts share leading chunks.
struct PromptChunk {
  std::uint64_t id = 0;
  double tokens = 0;

  bool operator==(const PromptChunk&) const = default;
};

/// What the picker must know of a request.
struct PickRequest {
  std::string service;
  std::vector<PromptChunk> chunks;  ///< The last one is the request's own.
  double prompt_tokens = 0;
  double output_tokens = 0;       ///< At most.
  std::set<std::string> exclude;  ///< Upstreams that were tried before.
  /// A run that goes on, perhaps at the upstream that it began at and that
  /// leaves.
  bool is_continuation = false;

  bool operator==(const PickRequest&) const = default;
};

/// One request at one upstream, from its sending to its end.
struct PickTicket {
  std::string upstream;  ///< Empty when the request is nowhere.
  double prefill_tokens = 0;
  std::optional<TimePoint> started_at;  ///< When its first event came.

  bool operator==(const PickTicket&) const = default;
};

/// How a request at an upstream ended, as far as the upstream is to blame.
enum class UpstreamOutcome {
  kSuccess,
  kRefused,      ///< It said that it is full.
  kFailed,       ///< It answered with a failure, or broke the answer off.
  kUnreachable,  ///< It cannot be reached, or fell silent.
  kNeutral,      ///< The caller left, or the time was over.
};

/// Chooses the upstream of each request. Engines: by the expected time to the
/// first event, with a home for each prompt by rendezvous hashing, so that all
/// daemons send a prompt's requests to the same engine without talking. Plain
/// upstreams: the least busy of the nearest. Where slots of engines are scarce,
/// some are asked for their load before a request is sent. Health checks are
/// not believed: upstreams that fail requests are left out for a growing time,
/// unless all fail. Pure.
class UpstreamPicker {
 public:
  /// Where the daemon runs, and the region of each availability zone.
  struct Location {
    std::string availability_zone;
    std::map<std::string, std::string> regions;

    bool operator==(const Location&) const = default;
  };

  /// Parts that may be left out, to measure what they are worth.
  struct Options {
    bool prefix_homes = true;
    bool ejection = true;

    bool operator==(const Options&) const = default;
  };

  explicit UpstreamPicker(Location location)
      : UpstreamPicker(std::move(location), Options{}) {}
  UpstreamPicker(Location location, Options options);

  /// Takes the upstreams that exist; state of those that stay is kept.
  void SetUpstreams(const std::map<std::string, UpstreamEntry>& entries);
  /// Takes the profiles of services, which tell engines from plain services.
  void SetServices(const std::vector<ServiceProfile>& services);

  /// The upstream wants no requests until `until`, and gets none, unlike one
  /// that fails. `born_ms`: the life that said so.
  void Pause(const std::string& id, std::int64_t born_ms, TimePoint until,
             TimePoint now);
  /// When the first upstream of `service` opens again; none while one is open,
  /// or when all are away.
  [[nodiscard]] std::optional<TimePoint> NextAvailableTime(
      const std::string& service, TimePoint now) const;

  /// The upstream for `request`; none when all are full, closed, away or
  /// excluded.
  [[nodiscard]] std::optional<UpstreamEntry> Pick(const PickRequest& request,
                                                  TimePoint now);

  /// Engines to ask for their load before `request` is sent: of the best ones,
  /// those that did not report just now. None index a report would not change
  /// the choice: with few of the slots taken, or a request that is small beside
  /// those that were passed here before. `daemons`: how many share the engines.
  [[nodiscard]] std::vector<UpstreamEntry> EnginesToProbe(
      const PickRequest& request, std::size_t daemons, TimePoint now);
  /// An engine has reported its load.
  void OnReport(const std::string& id, const EngineLoad& load, TimePoint now);
  /// How long a request would wait for a slot, as far as is known.
  [[nodiscard]] Duration ExpectedWait(const std::string& id,
                                      TimePoint now) const;

  /// The request was sent. Keep the ticket until its end.
  PickTicket OnSend(const std::string& id, const PickRequest& request);
  /// The first event arrived: its prompt is read.
  void OnFirstEvent(PickTicket* ticket, TimePoint now);
  /// The request left the upstream; the ticket is empty then.
  void OnEnd(PickTicket* ticket, UpstreamOutcome outcome, TimePoint now);

  [[nodiscard]] std::int64_t InFlight(const std::string& id) const;
  /// Requests of this daemon at upstreams of `service`.
  [[nodiscard]] std::int64_t ServiceInFlight(const std::string& service) const;

 private:
  /// Parts that were sent to an upstream lately, newest first.
  struct ChunkHistory {
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index;

    void Touch(std::uint64_t part);
    [[nodiscard]] bool Contains(std::uint64_t part) const;
  };
  struct Upstream {
    UpstreamEntry entry;
    std::int64_t in_flight = 0;
    double queued_tokens = 0;  ///< Sent by this daemon, not read yet.
    int failures = 0;          ///< In a row.
    int ejections = 0;         ///< In a row.
    TimePoint ejected_until;
    ChunkHistory chunks;
  };
  /// A life of an upstream that wants no requests for a while.
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
  [[nodiscard]] bool HasCapacity(const Upstream& upstream) const;
  /// Until when it is closed; none when it is open.
  [[nodiscard]] std::optional<TimePoint> PausedUntil(const UpstreamEntry& entry,
                                                     TimePoint now) const;
  [[nodiscard]] std::uint64_t HomeHashKey(const PickRequest& request) const;
  [[nodiscard]] static double UncachedTokens(const Upstream& upstream,
                                             const PickRequest& request,
                                             bool is_home);
  [[nodiscard]] double Cost(const Upstream& upstream,
                            const PickRequest& request, bool is_home,
                            TimePoint now) const;
  [[nodiscard]] double EngineCost(const Upstream& upstream,
                                  const PickRequest& request, bool is_home,
                                  TimePoint now) const;
  /// Those of `eligible`, the best first.
  [[nodiscard]] std::vector<Candidate> RankCandidates(
      const std::vector<const Upstream*>& eligible, const PickRequest& request,
      TimePoint now) const;
  [[nodiscard]] bool IsEngine(const std::string& service) const;
  [[nodiscard]] static EngineLoads::Engine LoadViewOf(const Upstream& upstream);
  /// Part of a service's slots that is taken, if all daemons send as much.
  [[nodiscard]] double SlotUtilization(const std::string& service,
                                       std::size_t daemons) const;
  /// The prompt is read, or will not be.
  void FinishPrefill(const PickTicket& ticket);
  void RecordOutcome(Upstream* upstream, UpstreamOutcome outcome,
                     TimePoint now);

  Location location_;
  Options options_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, ServiceProfile> services_;
  EngineLoads loads_;
  std::map<std::string, PauseState> pauses_;  ///< By id; outlive the entries.
  std::uint64_t pick_count_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_UPSTREAM_PICKER_H_
