#include "details/server_connection.h"

namespace firmoor::details {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

std::optional<PlaceClaim> ServerConnection::Claim() const {
  using Kind = PlaceClaim::Kind;
  const bool is_sent = socket_->bytesToWrite() == 0;
  if (closed_) {
    return is_sent ? std::optional(PlaceClaim{Kind::kAnswered, waiting_since_})
                   : std::nullopt;
  }
  if (phase_ != Phase::kReading) return std::nullopt;
  if (!was_served_) return PlaceClaim{Kind::kOwesFirst, waiting_since_};
  if (!is_sent) return std::nullopt;
  return PlaceClaim{is_reading_request_ ? Kind::kOwesFurther : Kind::kIdle,
                    waiting_since_};
}

bool ServerConnection::HasUnnoticedInput() const {
  if (closed_ || memory_timer_.isActive()) return false;
  const bool is_ahead = !is_reading_request_ && buffer_.size() > 0;
  return is_ahead || socket_->bytesAvailable() > 0 || HasUnread();
}

void ServerConnection::LeavePlace(bool may_answer) {
  // Nothing is lost with one that has its last answer.
  if (closed_) return socket_->abort();
  if (memory_timer_.isActive() && may_answer) {
    context_->CountCut(ConnectionCut::kGaveWay);
    return RejectInput(kServiceUnavailable);
  }
  Abort(ConnectionCut::kGaveWay);
}

}  // namespace firmoor::details
