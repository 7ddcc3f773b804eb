#include "details/link_monitor.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <utility>

#include "base/handler_timer.h"
#include "base/text.h"
#include "http/connect_probe.h"

namespace firmoor::details {
namespace {

// Connections take up to 40 ms between regions.
constexpr Duration kProbeTimeout{250};

}  // namespace

LinkMonitor::LinkMonitor(Environment environment)
    : environment_(std::move(environment)) {
  probe_timer_.setSingleShot(true);
  QObject::connect(&probe_timer_, &QTimer::timeout, &probe_timer_,
                   [this] { Update(); });
}

void LinkMonitor::OnCatalog() {
  std::map<std::string, UpstreamReachability::Upstream> upstreams;
  for (const auto& [id, entry] : environment_.catalog->all()) {
    if (entry.leaving) continue;
    upstreams.emplace(id, UpstreamReachability::Upstream{
                              entry.service, entry.availability_zone});
  }
  reachability_.SetUpstreams(std::move(upstreams));
  Update();
}

void LinkMonitor::OnContact(const std::string& upstream) {
  reachability_.OnContact(upstream, MonotonicNow());
}

void LinkMonitor::OnConnected(const std::string& upstream,
                              TimePoint opened_at) {
  reachability_.OnConnected(upstream, opened_at, MonotonicNow());
  Update();
}

void LinkMonitor::OnConnectFailure(const std::string& upstream) {
  reachability_.OnConnectFailure(upstream, MonotonicNow());
  Update();
}

void LinkMonitor::OnBroken(const std::string& upstream) {
  reachability_.OnBroken(upstream, MonotonicNow());
  Update();
}

void LinkMonitor::OnSilence(const std::string& upstream,
                            TimePoint silent_since) {
  reachability_.OnSilence(upstream, silent_since, MonotonicNow());
  Update();
}

void LinkMonitor::OnStandstill() {
  reachability_.OnStandstill();
  Update();
}

void LinkMonitor::Update() {
  const HandlerTimer timer("probes of links");
  const auto now = MonotonicNow();
  for (const auto& upstream : reachability_.TakeDueProbes(now)) {
    Probe(upstream);
  }
  if (const auto next = reachability_.NextProbeTime()) {
    probe_timer_.start(std::max(*next - now, Duration(1)));
  } else {
    probe_timer_.stop();
  }
  for (const auto& change : reachability_.TakeChanges()) {
    Log(change);
    if (change.after != ReachabilityState::kUnreachable) continue;
    ++losses_;
    environment_.on_unreachable(change.service);
  }
}

void LinkMonitor::Probe(const std::string& upstream) {
  const auto* entry = environment_.catalog->Find(upstream);
  if (entry == nullptr) {
    return reachability_.OnProbeResult(upstream, false, MonotonicNow());
  }
  ++probes_;
  ProbeConnect(
      entry->endpoint, kProbeTimeout,
      [this, upstream, weak = std::weak_ptr(alive_)](ConnectResult result) {
        if (weak.expired()) return;
        reachability_.OnProbeResult(
            upstream, result == ConnectResult::kConnected, MonotonicNow());
        Update();
      });
}

void LinkMonitor::Log(const ReachabilityChange& change) const {
  environment_.log->Write(
      "upstream-links",
      {{"service", Text(change.service)},
       {"before", Text(NameOf(change.before))},
       {"after", Text(NameOf(change.after))},
       {"failed", Text(fmt::format("{}", fmt::join(change.failed, " ")))},
       {"listed", static_cast<qint64>(change.listed)},
       {"contact_age_ms", change.contact_age
                              ? static_cast<qint64>(change.contact_age->count())
                              : -1},
       {"first_failure_age_ms",
        static_cast<qint64>(change.first_failure_age.count())}});
}

std::string LinkMonitor::Metrics() const {
  constexpr double kMsPerSecond = 1'000;
  const auto now = MonotonicNow();
  const auto lost_ms = reachability_.TotalUnreachableTime(now).count();
  auto text = fmt::format(
      "firmoor_link_probes_total {}\n"
      "firmoor_links_lost_total {}\n"
      "firmoor_links_lost_seconds_total {:.3f}\n",
      probes_, losses_, static_cast<double>(lost_ms) / kMsPerSecond);
  for (const auto& service : reachability_.UnreachableServices()) {
    const auto since = reachability_.UnreachableSince(service).value_or(now);
    text += fmt::format(
        "firmoor_unreachable_for_seconds{{service=\"{}\"}} {:.3f}\n", service,
        static_cast<double>((now - since).count()) / kMsPerSecond);
  }
  return text;
}

}  // namespace firmoor::details
