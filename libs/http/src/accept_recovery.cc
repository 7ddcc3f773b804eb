#include "http/accept_recovery.h"

#include "base/log.h"
#include "base/time.h"

namespace firmoor {
namespace {

constexpr Logger kLog("listener");
// Short compared with the time after which callers give up connecting.
constexpr Duration kRetryDelay{100};
constexpr std::uint64_t kFailuresPerLogLine = 100;

}  // namespace

AcceptRecovery::AcceptRecovery(QTcpServer* listener) : listener_(listener) {
  timer_.setSingleShot(true);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Resume(); });
  QObject::connect(listener_, &QTcpServer::acceptError, &timer_,
                   [this] { OnError(); });
}

void AcceptRecovery::OnError() {
  const bool is_logged =
      failures_ == 0 || failures_ - logged_failures_ >= kFailuresPerLogLine;
  ++failures_;
  if (is_logged) {
    logged_failures_ = failures_;
    kLog.Error("Cannot accept connections on port {}: {} ({} failures).",
               listener_->serverPort(), listener_->errorString().toStdString(),
               failures_);
  }
  timer_.start(kRetryDelay);
}

void AcceptRecovery::Resume() {
  if (listener_->isListening()) listener_->resumeAccepting();
}

}  // namespace firmoor
