#ifndef FIRMOOR_GATEWAY_STRATEGIES_H_
#define FIRMOOR_GATEWAY_STRATEGIES_H_

namespace firmoor {

/// Mechanisms that decide where requests go, which are refused and how many
/// engines are ordered. All are on unless one is to be measured without; what
/// each is worth stands in docs/DECISIONS.md.
struct Strategies {
  /// Requests of a prompt part go to the engine that has read it.
  bool prefix_homes = true;
  /// Engines are asked for their load where slots are scarce.
  bool ask_engines = true;
  /// Requests are refused at once that would wait too long for a slot.
  bool refuse_by_wait = true;
  /// Upstreams that fail requests are left out for a time.
  bool ejection = true;
  /// Runs move with their memory from an engine that is reclaimed.
  bool move_runs = true;
  /// Engines are ordered also for the slots that requests take.
  bool engines_for_slots = true;
  /// Engines on demand are kept for the next reclaim of a zone.
  bool reclaim_reserve = true;

  bool operator==(const Strategies&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_STRATEGIES_H_
