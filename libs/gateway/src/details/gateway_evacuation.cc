#include <QTimer>

#include "base/text.h"
#include "details/exchange.h"
#include "details/gateway_impl.h"

namespace firmoor {
namespace {

// Engines that shut down may be busy and in another region.
constexpr Duration kShutdownQueryTimeout{600};
// Engine reports show the state of about 200 ms ago.
constexpr Duration kReportLag{350};

}  // namespace

void Gateway::Impl::ScheduleShutdownQuery(const UpstreamEntry& entry) {
  const auto* service =
      context.table ? context.table->FindService(entry.service) : nullptr;
  const bool can_move = context.settings.strategies.move_runs &&
                        service != nullptr && service->engine &&
                        service->engine->can_move_requests;
  if (!can_move || context.picker.InFlight(entry.id) == 0) return;
  QTimer::singleShot(kReportLag, &context.event_context,
                     [this, entry] { QueryTimeToShutdown(entry); });
}

void Gateway::Impl::QueryTimeToShutdown(const UpstreamEntry& entry) {
  context.ProbeEngine(
      entry, kShutdownQueryTimeout, [this, entry](const auto& report) {
        if (report.time_to_shutdown) {
          Evacuate(entry, *report.time_to_shutdown - kReportLag);
        }
      });
}

void Gateway::Impl::Evacuate(const UpstreamEntry& entry,
                             Duration time_to_shutdown) {
  context.environment.log->Write(
      "evacuation",
      {{"upstream", Text(entry.id)},
       {"stays_ms", static_cast<qint64>(time_to_shutdown.count())},
       {"requests", static_cast<qint64>(context.picker.InFlight(entry.id))}});
  const auto* service =
      context.table ? context.table->FindService(entry.service) : nullptr;
  if (service == nullptr || !service->engine) return;
  const auto ends_at = MonotonicNow() + time_to_shutdown;
  for (const auto& [key, exchange] : context.exchanges) {
    exchange->OnUpstreamEnding(entry.id, ends_at,
                               service->engine->tokens_per_event);
  }
}

}  // namespace firmoor
