#ifndef FIRMOOR_FIRMOORD_FLEET_H_
#define FIRMOOR_FIRMOORD_FLEET_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "peer/membership.h"
#include "peer/peer_node.h"

namespace firmoor {

/// Communicates with the other daemons. Sends the probes that `Membership`
/// requests over `PeerNode`; each probe also carries the configuration version
/// and the upstreams that are shutting down.
class Fleet {
 public:
  struct Hooks {
    std::function<std::int64_t()> config_version;
    std::function<void(const Member& peer, std::int64_t version)>
        on_version_seen;
    std::function<std::vector<std::string>()> leaving;
    std::function<void(const std::vector<std::string>&)> on_leaving;
  };
  using Handler = std::function<void(const QByteArray&, PeerNode::Reply)>;

  Fleet(const Settings& settings, const std::string& instance_id, Hooks hooks);

  /// Sets the handler for peer calls of `kind`. Must be called before `Start`.
  void SetHandler(const std::string& kind, Handler serve);

  bool Start();
  void Stop();
  /// Tells a few members that this daemon is leaving.
  void Leave();

  void Call(const Member& member, const std::string& kind,
            const QByteArray& message, Duration timeout, PeerNode::Done done);

  /// Live members: those in the local zone first, then those in the local
  /// region, then all others. Each group is in rendezvous order for `key`.
  [[nodiscard]] std::vector<Member> LiveMembersByDistance(
      const std::string& key) const;

  [[nodiscard]] const Membership& membership() const { return membership_; }
  /// Whether the local membership view lists a daemon with `instance_id` as
  /// live.
  [[nodiscard]] bool IsLive(const std::string& instance_id) const;
  /// Whether a call to each seed has ended, with or without an answer.
  [[nodiscard]] bool HasContactedSeeds() const { return has_contacted_seeds_; }
  [[nodiscard]] PeerNode::Traffic traffic() const { return node_->traffic(); }

 private:
  void ServeCall(const std::string& kind, const QByteArray& message,
                 const PeerNode::Reply& reply);
  QByteArray MakeProbe() { return MakeProbe(membership_.MakeGossip()); }
  QByteArray MakeProbe(const Gossip& gossip);
  void ApplyProbe(const QByteArray& message);
  void Tick();
  void Probe(const Membership::Probe& probe);
  void ProbeDirectly(const Member& target,
                     const std::function<void(bool acked)>& done);
  void ServeProbeVia(const QByteArray& message, const PeerNode::Reply& reply);
  void ContactSeeds();

  Settings settings_;
  Hooks hooks_;
  Membership membership_;
  std::unique_ptr<PeerNode> node_;
  std::map<std::string, Handler> handlers_;
  QTimer tick_timer_;
  QTimer join_timer_;
  std::size_t finished_seed_calls_ = 0;
  bool has_contacted_seeds_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_FLEET_H_
