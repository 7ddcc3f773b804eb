#ifndef FIRMOOR_HTTP_TESTS_STUBBORN_PEER_H_
#define FIRMOOR_HTTP_TESTS_STUBBORN_PEER_H_

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace firmoor {

/// A peer that reads, sends and closes only when it is told to.
class StubbornPeer {
 public:
  explicit StubbornPeer(std::uint16_t port)
      : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0);
  }
  ~StubbornPeer() { ::close(descriptor_); }
  StubbornPeer(const StubbornPeer&) = delete;
  StubbornPeer& operator=(const StubbornPeer&) = delete;

  /// Bytes that the connection took without waiting.
  std::size_t Send(std::size_t bytes) {
    const std::vector<char> data(bytes, 'x');
    const auto sent = ::send(descriptor_, data.data(), data.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  void Send(std::string_view bytes) {
    REQUIRE(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  /// What has arrived, a megabyte at most.
  std::string Receive() {
    std::vector<char> data(1'024 * 1'024);
    const auto got =
        ::recv(descriptor_, data.data(), data.size(), MSG_DONTWAIT);
    return got > 0 ? std::string(data.data(), static_cast<std::size_t>(got))
                   : std::string();
  }
  /// Whether the other end has closed in order, and all it sent was received.
  bool HasEnded() {
    char next = 0;
    return ::recv(descriptor_, &next, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }
  /// Whether the other end has reset the connection.
  bool WasReset() {
    char next = 0;
    return ::recv(descriptor_, &next, 1, MSG_DONTWAIT | MSG_PEEK) < 0 &&
           errno == ECONNRESET;
  }

 private:
  int descriptor_;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_TESTS_STUBBORN_PEER_H_
