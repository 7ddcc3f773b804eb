#ifndef FIRMOOR_GATEWAY_STRATEGIES_H_
#define FIRMOOR_GATEWAY_STRATEGIES_H_

namespace firmoor {

/// Switches for the mechanisms that route requests, reject them and order
/// engines. All are on by default; switching one off serves to measure its
/// effect. docs/DECISIONS.md lists the effect of each.
struct Strategies {
  /// Routes a request to an engine that has its prompt prefix cached.
  bool prefix_homes = true;
  /// Queries engines for their load when slots are scarce.
  bool ask_engines = true;
  /// Rejects requests immediately that would wait too long for a slot.
  bool refuse_by_wait = true;
  /// Lets more urgent requests go first while a service is short of room.
  bool urgency = false;
  /// Temporarily excludes upstreams that fail requests.
  bool ejection = true;
  /// Moves running requests, with their KV cache, off reclaimed engines.
  bool move_runs = true;
  /// Includes the slots that requests occupy in the number of engines ordered.
  bool engines_for_slots = true;
  /// Keeps on-demand engines in reserve for the next reclaim of a zone.
  bool reclaim_reserve = true;
  /// Follows operators' orders to move a service to another software version.
  bool rollouts = true;
  /// Prefers plain upstreams that answer faster than others of their service,
  /// and learns what each takes well.
  bool learned_capacity = true;
  /// The same for engines, and learns how fast they read prompts. Off: engines
  /// that are left for faster ones read shared chunks again (see
  /// docs/DECISIONS.md).
  bool learned_engines = false;

  bool operator==(const Strategies&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_STRATEGIES_H_
