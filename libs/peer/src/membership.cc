#include "peer/membership.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <bit>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("membership");
// Updates are sent this often per doubling of the fleet, so that they reach all
// members with high probability.
constexpr int kTransmissionsPerDoubling = 3;
// Dead and departed members are kept this long, so that late gossip about them
// is recognised as outdated.
constexpr Duration kRemovedMemberRetention{120'000};
constexpr qsizetype kMemberFields = 8;

QCborArray EncodeMember(const Member& member) {
  return {QString::fromStdString(member.name),
          QString::fromStdString(member.availability_zone),
          QString::fromStdString(member.region),
          QString::fromStdString(member.peer_endpoint.ToString()),
          QString::fromStdString(member.caller_endpoint.ToString()),
          static_cast<qint64>(member.incarnation),
          static_cast<int>(member.state),
          QString::fromStdString(member.instance_id)};
}

Member DecodeMember(const QCborArray& array) {
  const auto text = [&](qsizetype i) {
    return array.at(i).toString().toStdString();
  };
  return {
      text(0),
      text(1),
      text(2),
      Endpoint::Parse(text(3)),
      Endpoint::Parse(text(4)),
      static_cast<std::uint64_t>(array.at(5).toInteger()),
      static_cast<MemberState>(std::clamp<qint64>(
          array.at(6).toInteger(), 0, static_cast<qint64>(MemberState::kLeft))),
      text(7)};
}

bool IsRemoved(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

}  // namespace

QByteArray Gossip::Encode() const {
  QCborArray array{QString::fromStdString(from)};
  for (const auto& member : members) array.append(EncodeMember(member));
  return QCborValue(array).toCbor();
}

Result<Gossip> Gossip::Decode(const QByteArray& bytes) {
  const auto value = QCborValue::fromCbor(bytes);
  if (!value.isArray() || value.toArray().isEmpty()) {
    return Fail(ResultCode::kBadMessage,
                "gossip is not a CBOR array, or is empty");
  }
  const auto array = value.toArray();
  Gossip gossip;
  gossip.from = array.at(0).toString().toStdString();
  for (qsizetype i = 1; i < array.size(); ++i) {
    const auto fields = array.at(i).toArray();
    if (fields.size() != kMemberFields) {
      return Fail(ResultCode::kBadMessage,
                  "gossip member does not have 8 fields");
    }
    gossip.members.push_back(DecodeMember(fields));
  }
  return gossip;
}

Membership::Membership(Member self, MembershipTiming timing, std::uint64_t seed)
    : self_(std::move(self)), timing_(timing), seed_(seed) {
  FIRMOOR_PRECONDITION(!self_.name.empty(), "a member must have a name");
  Announce(self_);
}

std::vector<Membership::Probe> Membership::Tick(TimePoint now) {
  ExtendTimersAfterStall(now);
  ExpireSuspects(now);
  const bool waiting = !pending_probe_.target.empty() && !pending_probe_.acked;
  if (waiting && !pending_probe_.indirect_sent &&
      now - pending_probe_.sent >= timing_.probe_timeout) {
    pending_probe_.indirect_sent = true;
    return IndirectProbes();
  }
  if (now < next_probe_) return {};
  FinishProbe(now);
  next_probe_ = now + timing_.probe_period;
  const auto target = NextTarget();
  if (target.empty()) return {};
  pending_probe_ = {target, now};
  return {{target, ""}};
}

void Membership::ExtendTimersAfterStall(TimePoint now) {
  const auto gap = has_ticked_ ? now - last_tick_ : Duration(0);
  last_tick_ = now;
  has_ticked_ = true;
  if (gap < timing_.probe_period) return;
  kLog.Warn("This daemon stood still for {} ms. Its timers are extended.",
            gap.count());
  pending_probe_ = {};
  for (auto& [name, entry] : members_) {
    if (entry.member.state == MemberState::kSuspect) {
      entry.suspect_since += gap;
    }
  }
}

void Membership::ExpireSuspects(TimePoint now) {
  const auto limit = timing_.probe_period * timing_.suspicion_periods;
  for (auto it = members_.begin(); it != members_.end();) {
    auto& entry = it->second;
    const bool suspect = entry.member.state == MemberState::kSuspect;
    if (suspect && now - entry.suspect_since >= limit) {
      SetState(entry, MemberState::kDead, now);
    }
    const bool is_expired =
        IsRemoved(entry.member.state) &&
        now - entry.removed_since >= kRemovedMemberRetention;
    if (is_expired) transmissions_left_.erase(it->first);
    it = is_expired ? members_.erase(it) : std::next(it);
  }
}

void Membership::FinishProbe(TimePoint now) {
  const auto probe = std::exchange(pending_probe_, {});
  if (probe.target.empty() || probe.acked) return;
  const auto found = members_.find(probe.target);
  if (found == members_.end()) return;
  if (found->second.member.state == MemberState::kAlive) {
    SetState(found->second, MemberState::kSuspect, now);
  }
}

std::string Membership::NextTarget() {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [name, entry] : members_) {
        if (!IsRemoved(entry.member.state)) probe_order_.push_back(name);
      }
      if (probe_order_.empty()) return {};
      ++probe_round_;
      std::sort(probe_order_.begin(), probe_order_.end(),
                [seed = seed_ + probe_round_](const auto& a, const auto& b) {
                  return Hash64(a, seed) < Hash64(b, seed);
                });
    }
    auto name = std::move(probe_order_.back());
    probe_order_.pop_back();
    const auto* member = Find(name);
    if (member != nullptr && !IsRemoved(member->state)) return name;
  }
}

std::vector<Membership::Probe> Membership::IndirectProbes() {
  std::vector<std::string> helpers;
  for (const auto& [name, entry] : members_) {
    if (entry.member.state == MemberState::kAlive &&
        name != pending_probe_.target) {
      helpers.push_back(name);
    }
  }
  helpers = RendezvousOrder(
      pending_probe_.target + std::to_string(probe_round_), std::move(helpers));
  std::vector<Probe> probes;
  for (const auto& helper : helpers) {
    if (static_cast<int>(probes.size()) == timing_.indirect_probes) break;
    probes.push_back({pending_probe_.target, helper});
  }
  return probes;
}

void Membership::OnAck(const std::string& target, TimePoint now) {
  if (pending_probe_.target == target) pending_probe_.acked = true;
  const auto found = members_.find(target);
  if (found == members_.end()) return;
  if (found->second.member.state == MemberState::kSuspect) {
    SetState(found->second, MemberState::kAlive, now);
  }
}

void Membership::SetState(MemberEntry& entry, MemberState state,
                          TimePoint now) {
  if (entry.member.state == state) return;
  entry.member.state = state;
  if (state == MemberState::kSuspect) entry.suspect_since = now;
  if (IsRemoved(state)) {
    entry.removed_since = now;
    kLog.Info("Daemon {} is {}.", entry.member.name,
              state == MemberState::kDead ? "dead" : "gone");
  }
  Announce(entry.member);
}

void Membership::Announce(const Member& member) {
  const auto doublings = std::bit_width(members_.size() + 1);
  transmissions_left_[member.name] =
      kTransmissionsPerDoubling * static_cast<int>(doublings);
}

Gossip Membership::MakeGossip() {
  Gossip gossip{self_.name, {self_}};
  std::vector<std::pair<int, std::string>> by_transmissions;
  for (const auto& [name, transmissions] : transmissions_left_) {
    if (name != self_.name) by_transmissions.emplace_back(-transmissions, name);
  }
  std::sort(by_transmissions.begin(), by_transmissions.end());
  for (const auto& [transmissions, name] : by_transmissions) {
    if (gossip.members.size() >= timing_.gossip_members) break;
    if (const auto* member = Find(name)) gossip.members.push_back(*member);
    if (--transmissions_left_[name] <= 0) transmissions_left_.erase(name);
  }
  return gossip;
}

Gossip Membership::FullState() const {
  Gossip gossip{self_.name, {self_}};
  for (const auto& [name, entry] : members_) {
    gossip.members.push_back(entry.member);
  }
  return gossip;
}

void Membership::Merge(const Gossip& gossip, TimePoint now) {
  for (const auto& member : gossip.members) {
    if (member.name == self_.name) {
      Refute(member);
    } else {
      MergeMember(member, now);
    }
  }
  // A sender that is listed as dead or left must learn of it, so that it can
  // refute the claim.
  const auto* sender = Find(gossip.from);
  if (sender != nullptr && IsRemoved(sender->state)) Announce(*sender);
}

void Membership::Refute(const Member& update) {
  const bool is_old = update.incarnation < self_.incarnation;
  if (is_old || update.state == self_.state) {
    // A restarted daemon must exceed the incarnation of its previous instance.
    if (update.incarnation > self_.incarnation) {
      self_.incarnation = update.incarnation + 1;
      Announce(self_);
    }
    return;
  }
  if (self_.state == MemberState::kLeft) return;
  self_.incarnation = update.incarnation + 1;
  Announce(self_);
}

void Membership::MergeMember(const Member& update, TimePoint now) {
  const auto found = members_.find(update.name);
  if (found == members_.end()) {
    if (IsRemoved(update.state)) return;
    members_[update.name] = {update, now, {}};
    Announce(update);
    return;
  }
  auto& entry = found->second;
  const bool is_newer = update.incarnation > entry.member.incarnation;
  const bool is_override = update.incarnation == entry.member.incarnation &&
                           update.state > entry.member.state;
  if (!is_newer && !is_override) return;
  const auto state = update.state;
  const auto previous_state = entry.member.state;
  entry.member = update;
  entry.member.state = previous_state;
  SetState(entry, state, now);
  if (is_newer) Announce(entry.member);
}

void Membership::Leave() {
  self_.state = MemberState::kLeft;
  ++self_.incarnation;
  Announce(self_);
}

std::vector<Member> Membership::Live() const {
  std::vector<Member> live;
  for (const auto& [name, entry] : members_) {
    if (!IsRemoved(entry.member.state)) live.push_back(entry.member);
  }
  return live;
}

const Member* Membership::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second.member;
}

}  // namespace firmoor
