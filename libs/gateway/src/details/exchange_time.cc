#include <algorithm>

#include "details/exchange.h"

namespace firmoor::details {

Duration Exchange::RemainingStreamTime(TimePoint now) const {
  if (!answer_started_) return Duration(0);
  auto timeout = admission_.route->timeout;
  const auto* current = context_->table->Match(request_.host, request_.Path());
  if (current != nullptr) timeout = std::max(timeout, current->timeout);
  return started_at_ + timeout + kRouteTimeoutGrace - now;
}

}  // namespace firmoor::details
