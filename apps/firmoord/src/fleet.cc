#include "fleet.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "base/time.h"

namespace firmoor {
namespace {

constexpr Logger kLog("fleet");
constexpr int kTicksPerProbePeriod = 10;
constexpr Duration kJoinPeriod{2'000};
constexpr Duration kJoinTimeout{500};
constexpr std::size_t kMaxLeavingInProbe = 64;
constexpr std::size_t kMaxLeaveMessages = 3;

MembershipTiming MakeTiming(const Settings& settings) {
  MembershipTiming timing;
  timing.probe_period = settings.probe_period;
  timing.probe_timeout = settings.probe_period / 3;
  return timing;
}

Member MakeSelf(const Settings& settings, const std::string& instance_id) {
  Member self;
  self.name = settings.daemon;
  self.availability_zone = settings.availability_zone;
  self.region = settings.region;
  self.peer_endpoint = settings.peers_advertised;
  self.caller_endpoint = settings.callers;
  self.incarnation = static_cast<std::uint64_t>(WallClockMs());
  self.instance_id = instance_id;
  return self;
}

}  // namespace

Fleet::Fleet(const Settings& settings, const std::string& instance_id,
             Hooks hooks)
    : settings_(settings),
      hooks_(std::move(hooks)),
      membership_(MakeSelf(settings, instance_id), MakeTiming(settings),
                  Hash64(settings.daemon)) {
  node_ =
      PeerNode::Builder()
          .Listen(settings.peers)
          .Token(settings.peer_token)
          .Handler([this](const std::string& kind, const QByteArray& message,
                          const PeerNode::Reply& reply) {
            ServeCall(kind, message, reply);
          })
          .Build();
  QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_,
                   [this] { Tick(); });
  QObject::connect(&join_timer_, &QTimer::timeout, &join_timer_,
                   [this] { ContactSeeds(); });
}

void Fleet::SetHandler(const std::string& kind, Handler serve) {
  handlers_[kind] = std::move(serve);
}

bool Fleet::Start() {
  if (!node_->Start()) return false;
  tick_timer_.start(settings_.probe_period / kTicksPerProbePeriod);
  join_timer_.start(kJoinPeriod);
  ContactSeeds();
  return true;
}

void Fleet::Stop() {
  tick_timer_.stop();
  join_timer_.stop();
  node_->Stop();
}

void Fleet::Leave() {
  membership_.Leave();
  std::size_t sent = 0;
  for (const auto& member : LiveMembersByDistance(settings_.daemon)) {
    if (++sent > kMaxLeaveMessages) break;
    node_->Call(member.peer_endpoint, "gossip", MakeProbe(), kJoinTimeout,
                [](PeerStatus, const QByteArray&) {});
  }
}

void Fleet::Call(const Member& member, const std::string& kind,
                 const QByteArray& message, Duration timeout,
                 PeerNode::Done done) {
  node_->Call(member.peer_endpoint, kind, message, timeout, std::move(done));
}

std::vector<Member> Fleet::LiveMembersByDistance(const std::string& key) const {
  auto members = membership_.Live();
  const auto distance = [this](const Member& member) {
    if (member.availability_zone == settings_.availability_zone) return 0;
    return member.region == settings_.region ? 1 : 2;
  };
  const auto seed = Hash64(key);
  std::sort(members.begin(), members.end(),
            [&](const Member& a, const Member& b) {
              const int distance_a = distance(a);
              const int distance_b = distance(b);
              if (distance_a != distance_b) return distance_a < distance_b;
              return Hash64(a.name, seed) > Hash64(b.name, seed);
            });
  return members;
}

bool Fleet::IsLive(const std::string& instance_id) const {
  const auto live = membership_.Live();
  return std::any_of(live.begin(), live.end(), [&](const Member& m) {
    return m.instance_id == instance_id;
  });
}

void Fleet::ServeCall(const std::string& kind, const QByteArray& message,
                      const PeerNode::Reply& reply) {
  if (kind == "gossip") {
    ApplyProbe(message);
    return reply(MakeProbe());
  }
  if (kind == "join") {
    ApplyProbe(message);
    return reply(MakeProbe(membership_.FullState()));
  }
  if (kind == "probe-via") return ServeProbeVia(message, reply);
  const auto found = handlers_.find(kind);
  if (found == handlers_.end()) {
    kLog.Warn("Peer call of unknown kind {}.", kind);
    return reply({});
  }
  found->second(message, reply);
}

QByteArray Fleet::MakeProbe(const Gossip& gossip) {
  QCborArray leaving;
  const auto ids = hooks_.leaving();
  const auto count = std::min(ids.size(), kMaxLeavingInProbe);
  for (std::size_t i = ids.size() - count; i < ids.size(); ++i) {
    leaving.append(QString::fromStdString(ids[i]));
  }
  return QCborValue(QCborArray{gossip.Encode(),
                               static_cast<qint64>(hooks_.config_version()),
                               leaving})
      .toCbor();
}

void Fleet::ApplyProbe(const QByteArray& message) {
  const auto array = QCborValue::fromCbor(message).toArray();
  const auto gossip =
      Capture([&] { return Gossip::Decode(array.at(0).toByteArray()); });
  if (std::holds_alternative<Error>(gossip)) return;
  membership_.Merge(std::get<Gossip>(gossip), MonotonicNow());
  std::vector<std::string> leaving;
  for (const auto& id : array.at(2).toArray()) {
    leaving.push_back(id.toString().toStdString());
  }
  if (!leaving.empty()) hooks_.on_leaving(leaving);
  const auto* peer = membership_.Find(std::get<Gossip>(gossip).from);
  if (peer != nullptr) {
    hooks_.on_version_seen(*peer, array.at(1).toInteger());
  }
}

void Fleet::Tick() {
  for (const auto& probe : membership_.Tick(MonotonicNow())) Probe(probe);
}

void Fleet::Probe(const Membership::Probe& probe) {
  const auto* target = membership_.Find(probe.target);
  if (target == nullptr) return;
  const auto on_ack = [this, name = probe.target](bool acked) {
    if (acked) membership_.OnAck(name, MonotonicNow());
  };
  if (probe.via.empty()) return ProbeDirectly(*target, on_ack);
  const auto* relay = membership_.Find(probe.via);
  if (relay == nullptr) return;
  Call(*relay, "probe-via", QByteArray::fromStdString(probe.target),
       settings_.probe_period,
       [on_ack](PeerStatus status, const QByteArray& body) {
         on_ack(status == PeerStatus::kOk && body == "acked");
       });
}

void Fleet::ProbeDirectly(const Member& target,
                          const std::function<void(bool acked)>& done) {
  Call(target, "gossip", MakeProbe(), settings_.probe_period,
       [this, done](PeerStatus status, const QByteArray& body) {
         if (status == PeerStatus::kOk) ApplyProbe(body);
         done(status == PeerStatus::kOk);
       });
}

void Fleet::ServeProbeVia(const QByteArray& message,
                          const PeerNode::Reply& reply) {
  const auto* target = membership_.Find(message.toStdString());
  if (target == nullptr) return reply("unknown");
  ProbeDirectly(*target,
                [reply](bool acked) { reply(acked ? "acked" : "silent"); });
}

void Fleet::ContactSeeds() {
  const auto live = membership_.Live();
  std::size_t contacted = 0;
  for (const auto& seed : settings_.seeds) {
    const bool known =
        seed == settings_.peers_advertised ||
        std::any_of(live.begin(), live.end(),
                    [&](const Member& m) { return m.peer_endpoint == seed; });
    if (known) continue;
    ++contacted;
    node_->Call(seed, "join", MakeProbe(membership_.FullState()), kJoinTimeout,
                [this](PeerStatus status, const QByteArray& body) {
                  if (++finished_seed_calls_ >= settings_.seeds.size()) {
                    has_contacted_seeds_ = true;
                  }
                  if (status == PeerStatus::kOk) ApplyProbe(body);
                });
  }
  if (contacted == 0) has_contacted_seeds_ = true;
  if (contacted < settings_.seeds.size()) {
    finished_seed_calls_ =
        std::max(finished_seed_calls_, settings_.seeds.size() - contacted);
  }
}

}  // namespace firmoor
