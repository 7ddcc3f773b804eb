#ifndef FIRMOOR_HTTP_DETAILS_RESET_DETECTOR_H_
#define FIRMOOR_HTTP_DETAILS_RESET_DETECTOR_H_

#include <sys/socket.h>
#include <unistd.h>

#include <QtGlobal>
#include <utility>

namespace firmoor::details {

/// Distinguishes a reset from an orderly close after the socket object has
/// closed the connection, since Qt reports both as the same error. Holds a
/// duplicate of the descriptor for this.
class ResetDetector {
 public:
  ResetDetector() = default;
  explicit ResetDetector(qintptr descriptor)
      : descriptor_(dup(static_cast<int>(descriptor))) {}
  ResetDetector(ResetDetector&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  ResetDetector& operator=(ResetDetector&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~ResetDetector() {
    if (descriptor_ >= 0) close(descriptor_);
  }

  /// After a reset the kernel no longer has a peer address for the socket.
  [[nodiscard]] bool WasReset() const {
    if (descriptor_ < 0) return false;
    sockaddr_storage peer{};
    socklen_t length = sizeof(peer);
    return getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer),
                       &length) != 0;
  }

 private:
  int descriptor_ = -1;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_RESET_DETECTOR_H_
