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

/// State of a daemon as another one sees it.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

/// One daemon.
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

/// Membership updates that ride on probes and their answers.
struct Gossip {
  std::string from;
  std::vector<Member> members;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<Gossip> Decode(const QByteArray& bytes);

  bool operator==(const Gossip&) const = default;
};

/// Times of the membership protocol.
struct MembershipTiming {
  Duration probe_period{1'000};
  Duration probe_timeout{300};  ///< Until indirect probes are sent.
  int suspicion_periods = 4;    ///< From suspect to dead.
  int indirect_probes = 3;
  std::size_t gossip_members = 12;  ///< Updates in one message.

  bool operator==(const MembershipTiming&) const = default;
};

/// SWIM-style membership: one direct probe a period, indirect probes when it
/// is not answered, suspicion that the suspect can refute by raising its
/// incarnation. Cost does not grow with the fleet. A daemon that was itself
/// starved extends all its timers instead of condemning others. Pure; the
/// order of probes follows from the seed.
class Membership {
 public:
  /// A probe to send. Answer with `OnAck` when it is answered.
  struct Probe {
    std::string target;
    std::string via;  ///< Empty for a direct probe.

    bool operator==(const Probe&) const = default;
  };

  Membership(Member self, MembershipTiming timing, std::uint64_t seed);

  /// Advances the protocol; call every tenth of a period or so.
  std::vector<Probe> Tick(TimePoint now);

  void OnAck(const std::string& target, TimePoint now);

  /// Updates to send with the next message; counts their transmissions.
  Gossip MakeGossip();

  /// Everything known, for a daemon that joins.
  [[nodiscard]] Gossip FullState() const;

  void Merge(const Gossip& gossip, TimePoint now);

  /// Announces that this daemon leaves in good order.
  void Leave();

  /// Members that may be used, without this daemon. Suspects count.
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
  void Refute(const Member& update);
  void SetState(MemberEntry& entry, MemberState state, TimePoint now);
  void Announce(const Member& member);
  void ExtendTimersAfterStall(TimePoint now);
  void ExpireSuspects(TimePoint now);
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
  std::map<std::string, int> transmissions_left_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_MEMBERSHIP_H_
