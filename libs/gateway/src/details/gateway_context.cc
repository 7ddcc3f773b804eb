#include "details/gateway_context.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/handler_timer.h"
#include "base/text.h"
#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Time constant of the load average: smooths single prompts, follows bursts.
constexpr Duration kLoadTimeConstant{4'000};
// Fraction of the allowed retries that is used, since daemons count the
// requests of a window at slightly different times.
constexpr double kRetryBudgetFraction = 0.8;
// Grants arrive once a second; after two missing grants the coordinator counts
// as unavailable.
constexpr Duration kCoordinatorTimeout{2'500};
// Fraction of the quota slack that large prompts may use; the rest covers
// daemons that still use their share of an earlier division.
constexpr double kSlackFraction = 0.7;
// After this time a retry may find other upstreams or free slots.
constexpr Duration kNoUpstreamRetryDelay{300};
// Longer Retry-After values of upstreams are shortened to this: they are
// probably wrong, and would exclude the upstream for a day.
constexpr Duration kMaxRetryAfter{300'000};
// A quarter of the time within which a silent upstream is to be noticed.
constexpr Duration kSilenceCheckPeriod{125};
// The process was suspended if its timer is later than this.
constexpr Duration kStandstill{700};
// Requests that may wait for a slot in any case.
constexpr std::int64_t kMinSlotWaiters = 4;
// Shorter values have passed before another request could arrive.
constexpr Duration kMinRetryAfter{1};

}  // namespace

GatewayContext::GatewayContext(GatewaySettings gateway_settings,
                               Gateway::Environment gateway_environment)
    : settings(std::move(gateway_settings)),
      environment(gateway_environment),
      freshness(settings.freshness_bound),
      catalog(settings.reregistration_time, settings.max_removal_delay),
      picker(settings.location,
             {settings.strategies.prefix_homes, settings.strategies.ejection,
              settings.strategies.learned_capacity,
              settings.strategies.learned_engines}),
      quarantine(environment.log,
                 [this] {
                   if (on_grant_needed) on_grant_needed();
                 }),
      rollouts(settings.rollouts, settings.daemon),
      stream_versions(settings.daemon, environment.log, MonotonicNow(),
                      [this](TimePoint now) { return freshness.Age(now); }),
      links({environment.log, &catalog,
             [this](const std::string& service) { OnLinksLost(service); }}),
      delegations({settings.daemon, settings.location.availability_zone,
                   settings.location.regions}),
      prompt_demand(kLoadTimeConstant),
      ledger(settings.usage_window_ms) {
  picker.LimitBy(&permits);
  permits.SetDaemonCount(shared.daemons);
  permits.slots().SetDaemon(settings.daemon);
  QObject::connect(&silence_timer, &QTimer::timeout, &silence_timer,
                   [this] { CheckSilence(); });
}

void GatewayContext::LogStreamEndBelief(
    const CloseDelimitedStreams::Writer& writer, std::string_view source,
    TimePoint now) const {
  const auto evidence = close_delimited_streams->EvidenceOf(writer, now);
  environment.log->Write(
      "stream-end-belief",
      {{"service", Text(writer.service)},
       {"version", Text(writer.software_version)},
       {"source", Text(source)},
       {"doubt", Text(NameOf(CloseDelimitedStreams::DoubtOf(evidence)))},
       {"ends_whole", static_cast<qint64>(evidence.whole)},
       {"ends_required", static_cast<qint64>(evidence.required)},
       {"ends_cut", static_cast<qint64>(evidence.cuts)}});
}

void GatewayContext::ResumeEndWaiters() {
  // Later, since the request that learned it is still being decided on.
  QMetaObject::invokeMethod(
      &event_context,
      [this] {
        const auto waiters = end_waiters;
        for (const auto& entry : waiters) {
          if (const auto exchange = entry.second.lock()) {
            exchange->OnEndEvidence();
          }
        }
      },
      Qt::QueuedConnection);
}

void GatewayContext::ObserveStreamEnd(const StreamEndObservation& observation,
                                      TimePoint now) {
  // By `StreamEndSign`.
  constexpr std::array kObserve = {&CloseDelimitedStreams::OnWhole,
                                   &CloseDelimitedStreams::OnCut,
                                   &CloseDelimitedStreams::OnClosedWithinEvent,
                                   &CloseDelimitedStreams::OnReset};
  const auto& writer = observation.writer;
  auto& streams = *close_delimited_streams;
  const auto doubt = [&] {
    return CloseDelimitedStreams::DoubtOf(streams.EvidenceOf(writer, now));
  };
  const auto before = doubt();
  const auto observe = kObserve[static_cast<std::size_t>(observation.sign)];
  (streams.*observe)(writer, observation.upstream, now);
  const auto after = doubt();
  environment.log->Write("stream-end-evidence",
                         {{"request", Text(observation.request)},
                          {"sign", Text(NameOf(observation.sign))},
                          {"upstream", Text(observation.upstream)},
                          {"shown_by", Text(observation.shown_by)},
                          {"service", Text(writer.service)},
                          {"version", Text(writer.software_version)},
                          {"doubt", Text(NameOf(after))}});
  if (after != before) {
    LogStreamEndBelief(writer, "own", now);
    ResumeEndWaiters();
  }
  const bool is_awaited = before == EndDoubt::kFewVerified || after != before;
  if (is_awaited && on_grant_needed) on_grant_needed();
}

RetryBudget& GatewayContext::BudgetOf(const std::string& service) {
  const auto found = budgets.find(service);
  if (found != budgets.end()) return found->second;
  return budgets
      .emplace(service, RetryBudget(settings.retry_ratio * kRetryBudgetFraction,
                                    RetryReserve()))
      .first->second;
}

double GatewayContext::RetryReserve() const {
  return RetryBudget::ShareOf(settings.retry_burst * kRetryBudgetFraction,
                              shared.daemons);
}

void GatewayContext::ApplySettings(const GatewaySettings& changed) {
  settings.retry_ratio = changed.retry_ratio;
  settings.retry_burst = changed.retry_burst;
  settings.quota_slack = changed.quota_slack;
  settings.freshness_bound = changed.freshness_bound;
  freshness.SetBound(changed.freshness_bound);
  for (auto& [service, budget] : budgets) {
    budget.SetRatio(settings.retry_ratio * kRetryBudgetFraction);
    budget.SetBurst(RetryReserve());
  }
}

void GatewayContext::SetSharedLimits(const SharedLimits& limits,
                                     std::optional<ReportNumber> report) {
  shared = limits;
  shared_limits_received_at = MonotonicNow();
  SetDaemonCount(limits.daemons);
  const auto now = MonotonicNow();
  for (auto& [workspace, quota] : quotas) {
    const auto grant = limits.quota_grants.find(workspace);
    if (grant != limits.quota_grants.end()) {
      quota.OnGrant(grant->second, now, report);
    } else if (quota.IsIdle(now)) {
      quota.OnOmitted(now);
    }
  }
  if (report) return grant_waiters.OnReply(*report);
  grant_waiters.ResumeAll();
}

std::map<std::string, QuotaUsage> GatewayContext::ReportQuotas(
    QuotaReportScope scope) {
  const auto number = grant_waiters.StartReport();
  std::map<std::string, QuotaUsage> uses;
  const auto now = MonotonicNow();
  for (auto& [workspace, quota] : quotas) {
    const bool is_reported = scope == QuotaReportScope::kNeeded
                                 ? quota.NeedsEarlyReport()
                                 : !quota.IsIdle(now);
    if (is_reported) uses[workspace] = quota.Report(now, number);
  }
  return uses;
}

void GatewayContext::SetDaemonCount(std::size_t daemons) {
  shared.daemons = daemons;
  permits.SetDaemonCount(daemons);
  for (auto& [service, budget] : budgets) budget.SetBurst(RetryReserve());
}

QuotaLimit GatewayContext::QuotaLimitOf(
    const WorkspaceProfile& workspace) const {
  return {workspace.rate_per_s, workspace.burst, settings.quota_window};
}

bool GatewayContext::MayReceiveGrant(TimePoint now) const {
  if (shared_limits_received_at) {
    return now - *shared_limits_received_at < kCoordinatorTimeout;
  }
  return shared_limits_expected_until && now < *shared_limits_expected_until;
}

QuotaAllowance& GatewayContext::AllowanceOf(const WorkspaceProfile& workspace,
                                            TimePoint now) {
  const auto daemons =
      static_cast<double>(std::max<std::size_t>(1, shared.daemons));
  const double slack = workspace.quota_in_tokens ? settings.quota_slack : 0;
  const QuotaAllowance::Fallback fallback{1.0 / daemons,
                                          slack * kSlackFraction / daemons};
  const auto limit = QuotaLimitOf(workspace);
  auto& quota =
      quotas.try_emplace(workspace.name, limit, fallback, now).first->second;
  quota.SetLimit(limit, fallback);
  return quota;
}

void GatewayContext::ApplyResponseHead(const UpstreamEntry& upstream,
                                       const UpstreamResponseHead& head,
                                       const std::string& request) {
  const auto now = MonotonicNow();
  if (!head.malformed_header.empty()) {
    environment.log->Write("upstream-header-bad",
                           {{"request", Text(request)},
                            {"upstream", Text(upstream.id)},
                            {"header", Text(head.malformed_header)}});
  }
  const bool leaves = head.leaving || head.wrong_upstream;
  if (leaves && catalog.MarkLeaving(upstream.id, upstream.born_ms, now)) {
    environment.log->Write(
        "upstream", {{"upstream", Text(upstream.id)},
                     {"service", Text(upstream.service)},
                     {"born_ms", static_cast<qint64>(upstream.born_ms)},
                     {"request", Text(request)},
                     {"change", head.leaving ? "says-leaving" : "replaced"}});
    SyncPicker(now);
  }
  if (!head.retry_after || *head.retry_after < kMinRetryAfter) return;
  const auto retry_after = std::min(*head.retry_after, kMaxRetryAfter);
  picker.Pause(upstream.id, upstream.born_ms, now + retry_after, now);
  environment.log->Write(
      "upstream-closed",
      {{"upstream", Text(upstream.id)},
       {"request", Text(request)},
       {"closed_ms", static_cast<qint64>(retry_after.count())}});
}

bool GatewayContext::TakePermit(const UpstreamEntry& upstream) {
  const bool limited = permits.LimitOf(upstream.id, upstream.born_ms) > 0;
  const bool taken =
      permits.TryTake(upstream.id, upstream.born_ms, MonotonicNow());
  if (limited && taken) ++limit_counters.permitted;
  return taken;
}

void GatewayContext::ApplyRateLimit(const UpstreamEntry& upstream,
                                    const UpstreamResponseHead& head,
                                    const std::string& request) {
  if (head.rate_limit_malformed) return;
  const double before = permits.LimitOf(upstream.id, upstream.born_ms);
  const auto change = permits.OnResponse(upstream.id, upstream.born_ms,
                                         head.rate_limit, MonotonicNow());
  if (change == LimitChange::kNone) return;
  environment.log->Write("upstream-limit",
                         {{"upstream", Text(upstream.id)},
                          {"service", Text(upstream.service)},
                          {"born_ms", static_cast<qint64>(upstream.born_ms)},
                          {"change", Text(NameOf(change))},
                          {"rate_per_s", head.rate_limit.value_or(0)},
                          {"before", before},
                          {"source", "response"},
                          {"request", Text(request)}});
  // The other daemons should hear of it, and this one needs permits.
  if (change == LimitChange::kLearned && on_grant_needed) on_grant_needed();
}

void GatewayContext::ApplyUpstreamLimits(const UpstreamLimitReply& reply,
                                         TimePoint sent_at) {
  for (const auto& update : permits.OnReply(reply, sent_at, MonotonicNow())) {
    environment.log->Write(
        "upstream-limit",
        {{"upstream", Text(update.upstream)},
         {"born_ms", static_cast<qint64>(update.born_ms)},
         {"change", Text(NameOf(update.change))},
         {"rate_per_s", update.rate_per_s},
         {"before", update.rate_before},
         {"source", "coordinator"},
         {"age_ms", static_cast<qint64>(update.age.count())}});
  }
  for (const auto& update : permits.slots().OnReply(reply, sent_at)) {
    environment.log->Write(
        "upstream-brittle",
        {{"service", Text(update.service)},
         {"change", Text(NameOf(update.change))},
         {"rejections_per_s", update.rejection_tolerance.value_or(-1)},
         {"source", "coordinator"},
         {"age_ms", static_cast<qint64>(update.age.count())}});
  }
}

void GatewayContext::ApplyBrittleness(const UpstreamEntry& upstream,
                                      const UpstreamResponseHead& head,
                                      const std::string& request) {
  if (head.rejection_tolerance_malformed) return;
  const auto change = permits.slots().OnResponse(
      upstream.service, head.rejection_tolerance, MonotonicNow());
  if (change == LimitChange::kNone) return;
  environment.log->Write(
      "upstream-brittle",
      {{"service", Text(upstream.service)},
       {"change", Text(NameOf(change))},
       {"rejections_per_s", head.rejection_tolerance.value_or(-1)},
       {"source", "response"},
       {"upstream", Text(upstream.id)},
       {"request", Text(request)}});
  // The other daemons should hear of it, and this one needs slots.
  if (change == LimitChange::kLearned && on_grant_needed) on_grant_needed();
}

PickTicket GatewayContext::StartAttempt(const UpstreamEntry& upstream,
                                        const PickRequest& pick,
                                        TimePoint now) {
  auto ticket = picker.OnSend(upstream.id, pick, now);
  if (ticket.upstream.empty()) return ticket;
  permits.slots().OnSend(
      {upstream.id, upstream.born_ms, upstream.service, upstream.slots}, now);
  if (permits.slots().NeedsEarlyReport(upstream.id, now) && on_grant_needed) {
    on_grant_needed();
  }
  return ticket;
}

void GatewayContext::EndAttempt(const UpstreamEntry& upstream,
                                PickTicket* ticket, UpstreamOutcome outcome,
                                bool rejected, TimePoint now) {
  const bool was_sent = !ticket->upstream.empty();
  picker.OnEnd(ticket, outcome, now);
  RecordCapacity(&picker, environment.log, &time_ratios);
  if (!was_sent) return;
  auto& slots = permits.slots();
  slots.OnEnd(upstream.id, rejected, now);
  if (!slots.IsBrittle(upstream.service)) return;
  if (rejected) ++slot_counters.rejected;
  if (slots.NeedsEarlyReport(upstream.id, now) && on_grant_needed) {
    on_grant_needed();
  }
  // Queued, since the request that ends may take the slot for its next attempt.
  QMetaObject::invokeMethod(
      &event_context,
      [this, service = upstream.service] { ResumeSlotWaiter(service); },
      Qt::QueuedConnection);
}

bool GatewayContext::AddSlotWaiter(const std::shared_ptr<Exchange>& exchange) {
  auto& waiters = slot_waiters[exchange->service()];
  std::erase_if(waiters, [](const auto& waiter) {
    const auto waiting = waiter.lock();
    return !waiting || !waiting->IsWaitingForSlot();
  });
  // More would wait for longer than a request runs.
  const auto most =
      std::max(kMinSlotWaiters, permits.slots().InFlight(exchange->service()));
  if (static_cast<std::int64_t>(waiters.size()) >= most) return false;
  waiters.push_back(exchange);
  ++slot_counters.waited;
  return true;
}

void GatewayContext::ResumeSlotWaiter(const std::string& service) {
  const HandlerTimer timer("a request that waits for a slot");
  const auto found = slot_waiters.find(service);
  if (found == slot_waiters.end()) return;
  while (!found->second.empty()) {
    const auto waiting = found->second.front().lock();
    found->second.pop_front();
    if (waiting && waiting->IsWaitingForSlot()) return waiting->OnPermitGrant();
  }
  slot_waiters.erase(found);
}

void GatewayContext::ProbeEngine(
    const UpstreamEntry& upstream, Duration timeout,
    std::function<void(const EngineReport&)> done) {
  if (!TakePermit(upstream)) return done({});
  // The callback owns the call until it ends.
  const auto call = std::make_shared<std::unique_ptr<HttpCall>>();
  *call =
      HttpFetch(upstream.endpoint, environment.dialect->EncodeReportRequest(),
                {timeout, timeout, timeout}, &pool,
                [this, id = upstream.id, call,
                 done = std::move(done)](const HttpFetchResult& result) {
                  const auto ended = std::move(*call);
                  EngineReport report;
                  if (result.end == HttpCallEnd::kComplete) {
                    report = environment.dialect->DecodeReport(result.answer);
                  }
                  if (report.load) {
                    picker.OnReport(id, *report.load, MonotonicNow());
                  }
                  done(report);
                });
}

Duration GatewayContext::RetryDelay(const std::string& service,
                                    const std::string& request, TimePoint now) {
  const auto opens = picker.NextAvailableTime(service, now);
  if (!opens) return kNoUpstreamRetryDelay;
  const double permit_rate = picker.PermitRate(service, now);
  const auto retry_at =
      permit_rate > 0 ? retry_schedule.Next(service, *opens, permit_rate, now)
                      : *opens;
  return JitteredRetryDelay(retry_at - now, request);
}

void GatewayContext::Add(const std::shared_ptr<Exchange>& exchange) {
  exchanges.emplace(exchange.get(), exchange);
  if (silence_timer.isActive()) return;
  silence_checked_at = MonotonicNow();
  silence_timer.start(kSilenceCheckPeriod);
}

void GatewayContext::CheckSilence() {
  const auto now = MonotonicNow();
  const auto previous = std::exchange(silence_checked_at, now);
  if (exchanges.empty()) return silence_timer.stop();
  if (now - previous > kStandstill) return links.OnStandstill();
  for (const auto& [key, exchange] : exchanges) exchange->ReportSilence(now);
}

void GatewayContext::OnLinksLost(const std::string& service) {
  for (const auto& [id, entry] : catalog.all()) {
    if (entry.service == service) pool.Forget(entry.endpoint);
  }
  // Queued, since the loss may be found while a request ends.
  QMetaObject::invokeMethod(
      &event_context,
      [this, service] {
        const auto affected = exchanges;
        for (const auto& [key, exchange] : affected) {
          if (exchange->service() == service) exchange->OnLinksLost();
        }
      },
      Qt::QueuedConnection);
}

void GatewayContext::SyncPicker(TimePoint now) {
  catalog.ApplyDueRemovals(now);
  picker.SetUpstreams(catalog.all());
}

}  // namespace firmoor::details
