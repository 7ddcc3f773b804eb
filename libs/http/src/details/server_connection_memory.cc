#include <sys/socket.h>

#include <utility>

#include "details/request_head.h"
#include "details/server_connection.h"

namespace firmoor::details {
namespace {

constexpr int kServiceUnavailable = 503;
// Of requests that wait for memory.
constexpr Duration kMemoryRetryInterval{50};
// Of a parsed field, beside its characters.
constexpr std::size_t kFieldBytes = 100;
// Not counted, so that ordinary requests need nothing of what all share.
constexpr std::size_t kOrdinaryFields = 32;

}  // namespace

bool ServerConnection::TakeMemory(std::size_t bytes) {
  if (!context_->uploads || bytes == 0) return true;
  const auto now = MonotonicNow();
  if (!upload_) {
    upload_ = std::make_shared<BodyBudget::Share>(context_->uploads);
    upload_->StartUpload(
        [weak = weak_from_this()] {
          const auto self = weak.lock();
          return !self || self->GiveUpUpload();
        },
        now);
  }
  const bool has_memory = upload_->Grow(bytes, now);
  if (!has_memory && !memory_timer_.isActive()) {
    memory_timer_.start(kMemoryRetryInterval);
  }
  return has_memory;
}

bool ServerConnection::TakeFieldMemory() {
  is_head_waiting_ = !TakeMemory(FieldBytes());
  return !is_head_waiting_;
}

std::size_t ServerConnection::FieldBytes() const {
  const auto fields = head_scanner_->fields();
  return fields > kOrdinaryFields ? (fields - kOrdinaryFields) * kFieldBytes
                                  : 0;
}

void ServerConnection::ReturnMemory() {
  if (!upload_ || phase_ != Phase::kReading || closed_) return;
  if (buffer_.size() == 0) buffer_ = {};
  const auto parsed = parser_->is_header_done()
                          ? head_scanner_->size() + FieldBytes() +
                                parser_->get().body().capacity()
                          : 0;
  upload_->ShrinkTo(buffer_.capacity() + parsed);
}

bool ServerConnection::HasUnread() const {
  char byte = 0;
  return ::recv(static_cast<int>(socket_->socketDescriptor()), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool ServerConnection::GiveUpUpload() {
  if (phase_ != Phase::kReading || closed_) return true;
  // After a standstill of the process, bytes may have arrived unnoticed.
  if (socket_->bytesAvailable() > 0 || HasUnread()) return false;
  const auto self = shared_from_this();
  context_->CountCut(ConnectionCut::kUpload);
  RejectInput(kServiceUnavailable);
  return true;
}

bool ServerConnection::RejectByHead() {
  if (std::exchange(is_head_checked_, true) || !context_->head_check) {
    return false;
  }
  const auto& head = parser_->get();
  is_head_request_ = head.method() == boost::beast::http::verb::head;
  const auto response = context_->head_check(HeadOf(head));
  if (response) Reject(*response);
  return response.has_value();
}

}  // namespace firmoor::details
