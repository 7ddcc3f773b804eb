#include "details/listeners.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "base/text.h"
#include "serving/error_answer.h"

namespace firmoor::details {
namespace {

constexpr Duration kLogInterval{1'000};

}  // namespace

Listeners::Listeners(const ListenerLimits& limits, EventLog* log)
    : limits_(limits),
      log_(log),
      uploads_(std::make_shared<BodyBudget>(limits.uploads)) {}

HttpServer::Builder Listeners::ForCallers(const Endpoint& endpoint) const {
  HttpServerLimits limits;
  limits.connections = limits_.caller_connections;
  HttpServer::Builder builder;
  builder.Listen(endpoint)
      .Limits(limits)
      .Uploads(uploads_)
      .ErrorResponse(MakeInputErrorResponse)
      .OnGaveWay(LogGaveWay("callers"));
  return builder;
}

HttpServer::Builder Listeners::ForOperators(const std::string& name,
                                            const Endpoint& endpoint,
                                            std::uint64_t body_bytes) const {
  HttpServerLimits limits;
  limits.connections = limits_.operator_connections;
  limits.body_bytes = body_bytes;
  HttpServer::Builder builder;
  builder.Listen(endpoint).Limits(limits).Uploads(uploads_).OnGaveWay(
      LogGaveWay(name));
  return builder;
}

std::string Listeners::Metrics() const {
  return fmt::format(
      "firmoor_uploads_held_bytes {}\nfirmoor_uploads_gave_way_total {}\n",
      uploads_->shared_bytes_in_use(), uploads_->gave_way());
}

HttpServer::GaveWay Listeners::LogGaveWay(const std::string& name) const {
  return [log = log_, uploads = uploads_, name,
          logged_at = std::optional<TimePoint>(),
          count = 0](ConnectionCut reason) mutable {
    ++count;
    const auto now = MonotonicNow();
    if (logged_at && now - *logged_at < kLogInterval) return;
    logged_at = now;
    log->Write("callers-gave-way",
               {{"listener", Text(name)},
                {"reason", Text(std::string(NameOf(reason)))},
                {"count", std::exchange(count, 0)},
                {"uploads_bytes",
                 static_cast<qint64>(uploads->shared_bytes_in_use())}});
  };
}

}  // namespace firmoor::details
