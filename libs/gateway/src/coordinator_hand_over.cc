#include <QTimer>
#include <utility>

#include "base/text.h"
#include "details/coordinator_service_impl.h"

namespace firmoor {
namespace {

using details::HolderEndpoint;
using details::HolderName;
using details::kLeaseObject;
using details::kPollPeriod;

// Longer than the successor waits, so that its refusal is heard.
constexpr Duration kNoticeTimeout{1'000};
constexpr Duration kNoticeWait{900};
// While the new coordinator waits for the reports of all daemons, one that got
// no grant asks again after this time.
constexpr Duration kAwaitGrantInterval{250};
// By then a coordinator divides the limits however many daemons report.
constexpr Duration kAwaitGrantFor{3'000};
// Every daemon reports once a second, and hears of the new coordinator then.
constexpr Duration kTellMovedFor{1'250};

QByteArray Accepted() { return "ok"; }

}  // namespace

void CoordinatorService::Impl::TryHandOver() {
  const auto now = MonotonicNow();
  const auto to = coordinator->ChooseSuccessor(settings.daemon, now);
  if (!to) return;
  const auto name = HolderName(to->daemon, to->peers);
  const auto call = lease.HandOver({name, to->instance_id}, now);
  if (!call) return;
  HandOver started;
  started.to = name;
  started.duties_ended = now;
  started.notice = coordinator->MakeNotice(lease.handed_fencing(),
                                           usage_reporter->NextWindow(), now);
  hand_over = std::move(started);
  StopCoordinator();
  env.store->Write(kLeaseObject, call->expected, call->value,
                   [this, weak = std::weak_ptr(alive)](StoreStatus status,
                                                       StoreVersion version) {
                     if (weak.expired()) return;
                     lease.OnWrite(status, version, MonotonicNow());
                     ContinueHandOver();
                     if (!hand_over || !hand_over->is_notified) PollLease();
                   });
}

void CoordinatorService::Impl::ContinueHandOver() {
  if (!hand_over || hand_over->is_notified) return;
  const bool is_open =
      lease.seen_holder() == HolderName(settings.daemon, settings.peers);
  if (!lease.IsHolder() && is_open) return;
  if (lease.IsHolder() || lease.seen_holder() != hand_over->to) {
    return EndHandOver();
  }
  hand_over->is_notified = true;
  peers->Call(HolderEndpoint(hand_over->to), details::kHandOverKind,
              hand_over->notice.Encode(), kNoticeTimeout,
              [this, weak = std::weak_ptr(alive)](PeerStatus status,
                                                  const QByteArray& bytes) {
                if (weak.expired() || !hand_over) return;
                OnNoticeAnswered(status == PeerStatus::kOk && !bytes.isEmpty());
              });
}

void CoordinatorService::Impl::OnNoticeAnswered(bool has_lease) {
  const auto& notice = hand_over->notice;
  env.log->Write(
      "lease-handed-over",
      {{"from", Text(HolderName(settings.daemon, settings.peers))},
       {"to", Text(hand_over->to)},
       {"fencing", static_cast<qint64>(notice.fencing)},
       {"accepted", has_lease},
       {"daemons", static_cast<qint64>(notice.reporting)},
       {"ended_instances", static_cast<qint64>(notice.ended_usage.size())},
       {"waiting_reports", static_cast<qint64>(hand_over->waiting.size())},
       {"gap_ms", static_cast<qint64>(
                      (MonotonicNow() - hand_over->duties_ended).count())}});
  if (!has_lease) {
    EndHandOver();
    return OnLeaseChanged();
  }
  hand_over->accepted_at = MonotonicNow();
  const auto reply = MovedReply();
  for (const auto& waiting : std::exchange(hand_over->waiting, {})) {
    waiting(reply);
  }
  Follow(hand_over->to, notice.fencing);
}

void CoordinatorService::Impl::EndHandOver() {
  const auto ended = std::exchange(hand_over, std::nullopt);
  // Their daemons count a missed reply.
  for (const auto& waiting : ended->waiting) waiting({});
}

QByteArray CoordinatorService::Impl::MovedReply() const {
  CoordinatorReply reply;
  reply.true_ms = env.true_time->At(MonotonicNow());
  if (env.store_era != nullptr) reply.store_era = env.store_era->known();
  reply.moved_to = hand_over->to;
  reply.moved_fencing = hand_over->notice.fencing;
  return reply.Encode();
}

void CoordinatorService::Impl::ServeReport(const QByteArray& bytes,
                                           const PeerNode::Reply& reply) {
  // Without a reply the other daemons read the lease, and one takes it over.
  const bool coordinates = coordinator && HoldsLease();
  if (!coordinates && !hand_over) return reply({});
  const auto report = DecodeReport(bytes);
  if (!report) return reply({});
  if (coordinates) return reply(OnReport(*report));
  // An earlier build would take the reply for a coordinator's.
  if (!report->uptime) return reply({});
  if (hand_over->accepted_at) return reply(MovedReply());
  hand_over->waiting.push_back(reply);
}

void CoordinatorService::Impl::ServeNotice(const QByteArray& bytes,
                                           const PeerNode::Reply& reply) {
  const auto decoded = Capture([&] { return HandOverNotice::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    env.log->Write("hand-over-bad", {{"reason", Text(error->message)}});
    return reply({});
  }
  if (!running) return reply({});
  if (coordinator && HoldsLease()) return reply(Accepted());
  AnswerNotice({});
  notice = std::get<HandOverNotice>(decoded);
  notice_reply = reply;
  QTimer::singleShot(kNoticeWait, &lease_timer,
                     [this, fencing = notice->fencing] {
                       if (notice && notice->fencing == fencing) {
                         AnswerNotice({});
                       }
                     });
  lease.ExpectLease(MonotonicNow());
  lease_timer.start(kPollPeriod);
  PollLease();
}

void CoordinatorService::Impl::AnswerNotice(const QByteArray& answer) {
  if (notice_reply) std::exchange(notice_reply, nullptr)(answer);
}

void CoordinatorService::Impl::ConfirmNotice() {
  if (coordinator && HoldsLease()) AnswerNotice(Accepted());
}

void CoordinatorService::Impl::OnMoved(const CoordinatorReply& reply) {
  ObserveStoreEra(reply.store_era);
  const bool is_known = reply.moved_fencing <= known_fencing ||
                        HolderEndpoint(reply.moved_to).port == 0;
  // A daemon that no longer has the lease may name one that has lost it since.
  if (is_known) return OnMissedReply();
  env.log->Write("coordinator-moved",
                 {{"coordinator", Text(reply.moved_to)},
                  {"fencing", static_cast<qint64>(reply.moved_fencing)}});
  Follow(reply.moved_to, reply.moved_fencing);
}

void CoordinatorService::Impl::Follow(const std::string& coordinator_name,
                                      std::int64_t fencing) {
  if (!gap_since) gap_since = reported_at;
  known_fencing = fencing;
  holder = coordinator_name;
  has_reported_all = false;
  missed_replies = 0;
  lease_timer.stop();
  awaits_grants_until = MonotonicNow() + kAwaitGrantFor;
  Report();
}

void CoordinatorService::Impl::AwaitGrants() {
  if (MonotonicNow() >= awaits_grants_until) return;
  has_reported_all = false;
  if (!early_report_timer.isActive()) {
    early_report_timer.start(kAwaitGrantInterval);
  }
}

bool CoordinatorService::HasToHandOver() const {
  if (impl_->env.gateway->SharingDaemonCount() <= 1) return false;
  const auto& hand_over = impl_->hand_over;
  if (!hand_over) return IsHolder();
  return !hand_over->accepted_at ||
         MonotonicNow() - *hand_over->accepted_at < kTellMovedFor;
}

}  // namespace firmoor
