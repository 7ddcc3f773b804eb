#ifndef FIRMOOR_SUPPORT_RESERVED_PORT_H_
#define FIRMOOR_SUPPORT_RESERVED_PORT_H_

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>

namespace firmoor {

/// Lets one process at a time have a port for a program that listens on it
/// later. A probe that listens alone does not: until the program has started,
/// another test may find the port free as well.
///
/// Returns whether the port is this process's from now on, until it ends.
inline bool TryReservePort(std::uint16_t port) {
  // A name in the abstract namespace, which the kernel frees with its process.
  const auto name = fmt::format("firmoor-test-port-{}", port);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path + 1, name.data(), name.size());
  const auto size =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  const int socket = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return false;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0) {
    return true;
  }
  ::close(socket);
  return false;
}

/// Reserves a port that is free at `address`; 0 if there is none. It refuses
/// connections until a program listens on it: it lies below the range from
/// which the system takes ports for outgoing connections and for listeners.
inline std::uint16_t ReservePort(const std::string& address = "127.0.0.1") {
  constexpr int kFirstPort = 10'000;
  constexpr int kPorts = 20'000;
  // Ports of one test differ from those of the next one, so that a client of an
  // ended program does not reach another one.
  constexpr int kPortsPerProcess = 97;
  static int next = static_cast<int>(QCoreApplication::applicationPid() %
                                     kPorts * kPortsPerProcess);
  for (int tries = 0; tries < kPorts; ++tries) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    QTcpServer probe;
    if (!probe.listen(QHostAddress(QString::fromStdString(address)), port)) {
      continue;
    }
    if (TryReservePort(port)) return port;
  }
  return 0;
}

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_RESERVED_PORT_H_
