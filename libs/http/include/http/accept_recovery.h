#ifndef FIRMOOR_HTTP_ACCEPT_RECOVERY_H_
#define FIRMOOR_HTTP_ACCEPT_RECOVERY_H_

#include <QTcpServer>
#include <QTimer>
#include <cstdint>

namespace firmoor {

/// Lets a `QTcpServer` accept again after accept(2) failed, e.g. because the
/// process had no free descriptor: the server pauses for good at such an error.
class AcceptRecovery {
 public:
  /// `listener` must outlive this object.
  explicit AcceptRecovery(QTcpServer* listener);

  /// Failed calls of accept(2) since the start.
  [[nodiscard]] std::uint64_t failures() const { return failures_; }

 private:
  void OnError();
  void Resume();

  QTcpServer* listener_;
  QTimer timer_;
  std::uint64_t failures_ = 0;
  std::uint64_t logged_failures_ = 0;  ///< Failures as of the last log line.
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_ACCEPT_RECOVERY_H_
