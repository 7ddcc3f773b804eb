#ifndef FIRMOOR_PLACEMENT_TESTS_LEASE_MODEL_H_
#define FIRMOOR_PLACEMENT_TESTS_LEASE_MODEL_H_

#include <fmt/format.h>

#include <QHash>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "placement/lease_elector.h"
#include "support/restorable_store.h"

namespace firmoor {

inline constexpr const char* kLease = "lease";
inline constexpr const char* kOther = "other";
constexpr TimePoint kStart{Duration(100'000)};
constexpr Duration kStep{500};
constexpr LeaseTiming kTiming{Duration(3'000), Duration(1'000), Duration(700)};
// A daemon's client gives up a call without an answer.
constexpr Duration kCallTimeout{1'000};
// Calls to the cloud, as the coordinator makes them
// (coordinator_service_impl.h).
constexpr Duration kMinLeaseRemaining{500};
constexpr Duration kTakeoverDelay{700};
constexpr Duration kMaxOrderTime{700};

/// Faults that may still happen.
struct Faults {
  int calls = 0;  ///< Calls that are lost or held, and cut links.
  int late_writes = 0;
  int restores = 0;
  int snapshots = 0;
  int restarts = 0;
  int other_writes = 0;  ///< Writes of other objects, which move revisions.
  int messages = 0;      ///< Daemons that hear of the era from another one.
  int hand_overs = 0;    ///< By a holder, to the next daemon.
  int notices = 0;       ///< Daemons that are told to expect the lease.
  bool are_clocks_shared = false;  ///< By holders, with daemons not cut off.

  bool operator==(const Faults&) const = default;
};

struct PendingCall {
  LeaseElector::Call call;
  TimePoint sent;
  std::optional<StoreStatus> status;  ///< Empty: not executed yet.
  StoredObject object;

  bool operator==(const PendingCall&) const = default;
};

struct Daemon {
  LeaseElector elector;
  int restarts = 0;
  bool is_cut_off = false;  ///< From the store.
  std::optional<PendingCall> pending;

  bool operator==(const Daemon&) const = default;
};

/// An order to the platform, which may arrive at once or after the longest
/// time.
struct Order {
  std::int64_t fencing = 0;
  std::size_t daemon = 0;
  int restarts = 0;
  TimePoint sent;

  bool operator==(const Order&) const = default;
};

/// How a world was reached. Worlds are equal whatever their past.
class Past {
 public:
  void Add(std::string event) {
    last_ = std::make_shared<const Event>(Event{std::move(event), last_});
  }
  [[nodiscard]] std::string Text() const {
    std::string text;
    for (auto event = last_; event; event = event->previous) {
      text.insert(0, event->text + "; ");
    }
    return text;
  }
  bool operator==(const Past&) const { return true; }

 private:
  struct Event {
    std::string text;
    std::shared_ptr<const Event> previous;
  };
  std::shared_ptr<const Event> last_;
};

/// The store, the daemons and what is under way between them.
struct World {
  TimePoint now = kStart;
  std::size_t next_daemon = 0;  ///< The one that makes its calls next.
  RestorableStore store;
  std::vector<Daemon> daemons;
  std::vector<LeaseElector::Call> late_writes;
  std::optional<Order> last_order;
  /// The last order of the holder before that of `last_order`.
  std::optional<Order> previous_order;
  Faults faults;
  std::string violation;
  Past past;

  bool operator==(const World&) const = default;
  void Log(const std::string& event, std::size_t daemon) {
    past.Add(fmt::format("{} d{} {}", (now - kStart).count(), daemon, event));
  }
  void Log(const std::string& event) {
    past.Add(fmt::format("{} {}", (now - kStart).count(), event));
  }
};

inline void MixInto(std::size_t* hash, std::size_t value) {
  *hash ^= value + 0x9e3779b97f4a7c15 + (*hash << 6) + (*hash >> 2);
}

struct WorldHash {
  std::size_t operator()(const World& world) const {
    std::size_t hash = world.next_daemon;
    const auto lease = world.store.Read(kLease).object;
    MixInto(&hash, static_cast<std::size_t>(lease.version.revision));
    MixInto(&hash, static_cast<std::size_t>(lease.version.era));
    MixInto(&hash, qHash(lease.value));
    auto returned = world.store;
    returned.Restore();
    MixInto(&hash, qHash(returned.Read(kLease).object.value));
    for (const auto& daemon : world.daemons) MixDaemon(&hash, daemon, world);
    for (const auto& write : world.late_writes) {
      MixInto(&hash, qHash(write.value));
    }
    if (world.last_order) {
      MixInto(&hash, static_cast<std::size_t>(world.last_order->fencing));
      MixInto(&hash, Ms(world.last_order->sent));
    }
    if (world.previous_order) MixInto(&hash, Ms(world.previous_order->sent));
    const auto& faults = world.faults;
    for (const int left :
         {faults.calls, faults.restores, faults.snapshots, faults.restarts,
          faults.other_writes, faults.messages, faults.hand_overs,
          faults.notices}) {
      MixInto(&hash, static_cast<std::size_t>(left));
    }
    return hash;
  }

  static std::size_t Ms(TimePoint time) {
    return static_cast<std::size_t>(time.time_since_epoch().count());
  }
  /// Steps until the next call of an elector that makes one soon, and the call.
  static std::size_t NextCallIn(LeaseElector elector, TimePoint now) {
    for (std::size_t steps = 0; steps < 6; ++steps, now += kStep) {
      const auto call = elector.NextCall(now);
      if (!call) continue;
      return 1'000 * steps +
             2 * static_cast<std::size_t>(call->expected.revision) +
             (call->is_write ? 1 : 0);
    }
    return 0;
  }
  static void MixDaemon(std::size_t* hash, const Daemon& daemon,
                        const World& world) {
    const auto& elector = daemon.elector;
    std::size_t flags = daemon.is_cut_off ? 1 : 0;
    flags = flags * 2 + (elector.IsHolder() ? 1 : 0);
    flags = flags * 2 + (daemon.pending ? 1 : 0);
    for (auto time = world.now; time < world.now + kTiming.lifetime;
         time += kStep) {
      flags = flags * 2 + (elector.MayOrderFenced(time) ? 1 : 0);
    }
    MixInto(hash, flags);
    MixInto(hash, NextCallIn(elector, world.now));
    MixInto(hash, static_cast<std::size_t>(elector.fencing()));
    MixInto(hash, static_cast<std::size_t>(daemon.restarts));
    MixInto(hash, qHash(elector.seen_handover_state()));
    MixInto(hash, std::hash<std::string>()(elector.seen_holder()));
    if (daemon.pending) MixInto(hash, Ms(daemon.pending->sent));
  }
};

inline bool MayCallCloud(const Daemon& daemon, TimePoint now) {
  return daemon.elector.MayOrderFenced(now + kMinLeaseRemaining) &&
         now - daemon.elector.term_start() >= kTakeoverDelay;
}

/// Records an order and what it breaks of the platform's rules.
inline void SendOrder(World* world, std::size_t index) {
  const auto& daemon = world->daemons[index];
  const Order order{daemon.elector.fencing(), index, daemon.restarts,
                    world->now};
  const auto& last = world->last_order;
  if (last) {
    const bool is_same_sender =
        last->daemon == index && last->restarts == order.restarts;
    if (order.fencing == last->fencing && !is_same_sender) {
      world->violation = "two holders send one number";
    }
    if (order.fencing < last->fencing) {
      world->violation = "a lower number is sent after a higher one";
    }
    if (order.fencing > last->fencing &&
        order.sent < last->sent + kMaxOrderTime) {
      world->violation = "a lower number may arrive after a higher one";
    }
    if (last->daemon != index) {
      const auto& previous = world->previous_order;
      if (previous && previous->daemon == index &&
          order.sent < previous->sent + kTiming.lifetime) {
        world->violation = "holders act A, B, A within a lifetime";
      }
      world->previous_order = last;
    }
  }
  world->last_order = order;
}

/// Lets every daemon send orders that may do so, and checks the rules.
inline void Act(World* world) {
  int holders = 0;
  for (std::size_t i = 0; i < world->daemons.size(); ++i) {
    const auto& daemon = world->daemons[i];
    if (daemon.elector.MayOrderFenced(world->now)) ++holders;
    if (MayCallCloud(daemon, world->now)) SendOrder(world, i);
  }
  if (holders > 1) world->violation = "two holders act at a time";
}

/// The holder tells its clock to the daemons that are not cut off.
inline void ShareClocks(World* world) {
  if (!world->faults.are_clocks_shared) return;
  for (const auto& holder : world->daemons) {
    const auto clock = holder.elector.Clock(world->now);
    if (!clock || holder.is_cut_off) continue;
    for (auto& daemon : world->daemons) {
      if (&daemon == &holder || daemon.is_cut_off) continue;
      daemon.elector.OnHolderClock(*clock, world->now);
    }
  }
}

inline void Execute(World* world, PendingCall* pending) {
  const auto& call = pending->call;
  const auto answer =
      call.is_write ? world->store.Write(kLease, call.expected, call.value)
                    : world->store.Read(kLease);
  pending->status = answer.status;
  pending->object = answer.object;
}

inline void Answer(World* world, std::size_t index,
                   const PendingCall& pending) {
  auto& daemon = world->daemons[index];
  const auto status = pending.status.value_or(StoreStatus::kUnavailable);
  daemon.pending.reset();
  if (pending.call.is_write) {
    daemon.elector.OnWrite(status, pending.object.version, world->now);
  } else {
    daemon.elector.OnRead(status, pending.object, world->now);
  }
  Act(world);
}

inline void GiveUp(World* world, std::size_t index,
                   const PendingCall& pending) {
  Answer(world, index, {pending.call, pending.sent, std::nullopt, {}});
}

/// The elector of a daemon's process.
inline LeaseElector MakeElector(std::size_t daemon, int restarts) {
  LeaseElector elector("d" + std::to_string(daemon), kTiming);
  elector.SetInstance(fmt::format("d{}/{}", daemon, restarts));
  return elector;
}

/// Daemons of a system that starts for the first time. The first one has taken
/// the lease: that the store does not return before is what lets it take the
/// lease at once. The copy of the store is empty.
inline World StartedWorld(int daemons, const Faults& faults) {
  World world;
  world.faults = faults;
  world.store.TakeSnapshot();
  for (int i = 0; i < daemons; ++i) {
    world.daemons.push_back(
        {MakeElector(static_cast<std::size_t>(i), 0), 0, false, std::nullopt});
  }
  auto& first = world.daemons.front().elector;
  first.SetFirstStart(true);
  while (const auto call = first.NextCall(kStart)) {
    PendingCall pending{*call, kStart, std::nullopt, {}};
    Execute(&world, &pending);
    Answer(&world, 0, pending);
  }
  return world;
}

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_TESTS_LEASE_MODEL_H_
