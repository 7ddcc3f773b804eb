#ifndef FIRMOOR_PEER_MEMBERSHIP_H_
#define FIRMOOR_PEER_MEMBERSHIP_H_

#include <QByteArray>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// State of a daemon as seen by another one. For equal incarnations the later
/// value overrides the earlier one.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

/// A daemon of the fleet.
struct Member {
  std::string name;
  std::string availability_zone;
  std::string region;
  Endpoint peer_endpoint;         ///< Where it listens for other daemons.
  Endpoint caller_endpoint;       ///< Where it listens for callers.
  std::uint64_t incarnation = 0;  ///< Raised by the daemon itself only.
  MemberState state = MemberState::kAlive;
  std::string instance_id;  ///< Unique for each start of the daemon.

  bool operator==(const Member&) const = default;
};

/// Membership updates, piggybacked on probes and their responses.
struct Gossip {
  std::string from;
  std::vector<Member> members;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<Gossip> Decode(const QByteArray& bytes);

  bool operator==(const Gossip&) const = default;
};

/// Parameters of the membership protocol.
struct MembershipTiming {
  Duration probe_period{1'000};
  Duration probe_timeout{300};  ///< Until indirect probes are sent.
  int suspicion_periods = 4;    ///< Probe periods from suspect to dead.
  int indirect_probes = 3;
  std::size_t gossip_members = 12;  ///< Maximum number of updates in a message.

  bool operator==(const MembershipTiming&) const = default;
};

/// SWIM-style membership and failure detection: one direct probe per period,
/// indirect probes when it is not acknowledged, and a suspicion that the
/// suspect can refute by raising its incarnation. The cost per daemon does not
/// grow with the fleet. A daemon that was stalled itself extends its timers
/// instead of declaring others dead. Does no I/O; the seed determines the order
/// of probes.
class Membership {
 public:
  /// A probe to send; call `OnAck` when it is acknowledged.
  struct Probe {
    std::string target;
    std::string via;  ///< Member that sends it; empty for a direct probe.

    bool operator==(const Probe&) const = default;
  };

  Membership(Member self, MembershipTiming timing, std::uint64_t seed);

  /// Advances the protocol and returns the probes to send. Call it about ten
  /// times per probe period.
  std::vector<Probe> Tick(TimePoint now);

  void OnAck(const std::string& target, TimePoint now);

  /// Returns the updates for the next message, those sent least often first,
  /// and counts it as a transmission of each.
  Gossip MakeGossip();

  /// All members, for a daemon that joins.
  [[nodiscard]] Gossip FullState() const;

  void Merge(const Gossip& gossip, TimePoint now);

  /// Announces that this daemon leaves the fleet.
  void Leave();

  /// All other members that are alive or suspect.
  [[nodiscard]] std::vector<Member> Live() const;
  [[nodiscard]] const Member* Find(const std::string& name) const;
  [[nodiscard]] const Member& self() const { return self_; }
  [[nodiscard]] std::size_t size() const { return members_.size(); }

 private:
  struct MemberEntry {
    Member member;
    TimePoint suspect_since;
    TimePoint removed_since;
  };
  struct PendingProbe {
    std::string target;
    TimePoint sent;
    bool indirect_sent = false;
    bool acked = false;
  };

  void MergeMember(const Member& update, TimePoint now);
  /// Handles an update about this daemon itself.
  void Refute(const Member& update);
  void SetState(MemberEntry& entry, MemberState state, TimePoint now);
  /// Queues the state of `member` for gossip.
  void Announce(const Member& member);
  /// Extends the timers by the time in which this daemon did not run, which
  /// says nothing about the other members.
  void ExtendTimersAfterStall(TimePoint now);
  /// Declares members dead that were suspect for too long, and deletes removed
  /// ones after their retention.
  void ExpireSuspects(TimePoint now);
  /// Suspects the target of the last probe when it was not acknowledged.
  void FinishProbe(TimePoint now);
  std::string NextTarget();
  std::vector<Probe> IndirectProbes();

  Member self_;
  MembershipTiming timing_;
  std::uint64_t seed_;
  std::map<std::string, MemberEntry> members_;
  std::vector<std::string> probe_order_;  ///< Targets left in this round.
  std::uint64_t probe_round_ = 0;
  PendingProbe pending_probe_;
  TimePoint next_probe_;
  TimePoint last_tick_;
  bool has_ticked_ = false;
  std::map<std::string, int> transmissions_left_;  ///< By member.
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_MEMBERSHIP_H_
