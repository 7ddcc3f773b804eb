#include <fmt/format.h>

#include <string>
#include <utility>

#include "base/hash.h"
#include "base/text.h"
#include "details/coordinator_service_impl.h"

namespace firmoor {
namespace {

using details::kReportedWindows;

constexpr const char* kUsageObject = "usage";
// A new coordinator first lists the upstreams and collects the reports.
constexpr Duration kOrderingDelay{1'500};

}  // namespace

void CoordinatorService::Impl::ReportUsage() {
  if (!settings.reports_usage || !MayCallCloud()) return;
  coordinator->DropUsageBefore(usage_reporter->NextWindow() - kReportedWindows);
  const auto step = usage_reporter->Next(env.true_time->At(MonotonicNow()));
  if (step) RunUsageStep(*step);
}

void CoordinatorService::Impl::OrderUpstreams() {
  const auto now = MonotonicNow();
  const auto* routes = env.gateway->routes();
  const bool delay_elapsed = now - holder_since >= kOrderingDelay;
  if (!settings.orders_upstreams || routes == nullptr || !delay_elapsed ||
      !MayCallCloud()) {
    return;
  }
  const auto order =
      autoscaler->Next({routes->content().services, env.gateway->Capacity(),
                        coordinator->Loads(now)},
                       now);
  if (!order) return;
  const std::weak_ptr weak = alive;
  const auto since = holder_since;
  const auto is_current = [this, weak, since] {
    return !weak.expired() && autoscaler && holder_since == since;
  };
  env.cloud->OrderUpstreams(
      HolderIdentity(), *order,
      [this, is_current] { return is_current() && MayCallCloud(); },
      [this, is_current, order = *order](CloudStatus status) {
        if (!is_current()) return;
        autoscaler->OnOrdered(order, status, MonotonicNow());
        LogOrder(order, status);
        OrderUpstreams();
      });
}

void CoordinatorService::Impl::LogOrder(const UpstreamOrder& order,
                                        CloudStatus status) const {
  env.log->Write("upstream-order",
                 {{"service", Text(order.service)},
                  {"zone", Text(order.availability_zone)},
                  {"reclaimable", order.reclaimable},
                  {"count", order.count},
                  {"status", static_cast<int>(status)},
                  {"fencing", static_cast<qint64>(lease.fencing())}});
}

void CoordinatorService::Impl::LogUsage(const UsageReporter::SendReport& send,
                                        CloudStatus status) const {
  std::int64_t total = 0;
  std::string text;
  for (const auto& [name, count] : send.report.counts) {
    total += count;
    text += fmt::format("{}={} ", name, count);
  }
  env.log->Write("usage-report",
                 {{"window", static_cast<qint64>(send.report.window)},
                  {"requests", static_cast<qint64>(total)},
                  // Tells two reports of one window apart.
                  {"digest", Text(fmt::format("{:016x}", Hash64(text)))},
                  {"repeated", send.is_repeated},
                  {"era", static_cast<qint64>(send.stored_at.era)},
                  {"revision", static_cast<qint64>(send.stored_at.revision)},
                  {"status", static_cast<int>(status)},
                  {"fencing", static_cast<qint64>(lease.fencing())}});
}

void CoordinatorService::Impl::RunUsageStep(const UsageReporter::Step& step) {
  const std::weak_ptr weak = alive;
  // After the lease was lost and taken again there is another reporter.
  const auto since = holder_since;
  const auto is_current = [this, weak, since] {
    return !weak.expired() && usage_reporter && holder_since == since;
  };
  if (std::holds_alternative<UsageReporter::ReadState>(step)) {
    env.store->Read(kUsageObject,
                    [this, is_current](StoreStatus status, const auto& object) {
                      if (is_current()) usage_reporter->OnRead(status, object);
                    });
  } else if (const auto* write =
                 std::get_if<UsageReporter::WriteState>(&step)) {
    env.store->Write(
        kUsageObject, write->expected, write->value,
        [this, is_current](StoreStatus status, StoreVersion version) {
          if (!is_current()) return;
          usage_reporter->OnWrite(status, version);
          if (status == StoreStatus::kOk) ReportUsage();
        });
  } else {
    const auto& send = std::get<UsageReporter::SendReport>(step);
    env.cloud->ReportUsage(
        HolderIdentity(), send.report,
        [this, is_current] { return is_current() && MayCallCloud(); },
        [this, is_current, send](CloudStatus status) {
          if (!is_current()) return;
          usage_reporter->OnSent(status);
          LogUsage(send, status);
        });
  }
}

}  // namespace firmoor
