#ifndef FIRMOOR_SUPPORT_SLOW_CLIENT_H_
#define FIRMOOR_SUPPORT_SLOW_CLIENT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <string>
#include <string_view>

#include "http/message.h"

namespace firmoor {

/// A client that reads only when it is told to; the kernel keeps what arrives
/// meanwhile, up to the socket's buffer.
class SlowClient {
 public:
  /// `buffer_bytes`: of the socket; 0 for the system's default.
  explicit SlowClient(const Endpoint& to, int buffer_bytes = 0)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (buffer_bytes > 0) {
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                   sizeof(buffer_bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) != 0) {
      throw std::runtime_error("a slow client cannot connect");
    }
    ::fcntl(socket_, F_SETFL, O_NONBLOCK);
  }
  ~SlowClient() { ::close(socket_); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  void Send(std::string_view bytes) const {
    ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Sends what the kernel takes at once. Returns how many bytes, or -1.
  [[nodiscard]] ssize_t SendSome(std::string_view bytes) const {
    return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads what has arrived, up to `most` bytes.
  std::string Read(std::size_t most) {
    std::string received;
    std::array<char, 64 * 1024> bytes{};
    while (received.size() < most) {
      const auto size =
          ::recv(socket_, bytes.data(),
                 std::min(bytes.size(), most - received.size()), 0);
      was_reset_ = was_reset_ || (size < 0 && errno == ECONNRESET);
      has_ended_ = has_ended_ || size == 0;
      if (size <= 0) break;
      received.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return received;
  }
  [[nodiscard]] bool was_reset() const { return was_reset_; }
  /// Whether the other end has closed in order, behind all that was read.
  [[nodiscard]] bool has_ended() const { return has_ended_; }

 private:
  int socket_;
  bool was_reset_ = false;
  bool has_ended_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_SLOW_CLIENT_H_
