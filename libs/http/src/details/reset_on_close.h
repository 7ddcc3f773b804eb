#ifndef FIRMOOR_HTTP_DETAILS_RESET_ON_CLOSE_H_
#define FIRMOOR_HTTP_DETAILS_RESET_ON_CLOSE_H_

#include <sys/socket.h>

#include <QtGlobal>

namespace firmoor::details {

/// Makes the close of a socket reset its connection, which tells the peer of a
/// response delimited by the close that it is incomplete.
inline void ResetOnClose(qintptr descriptor) {
  const linger reset{1, 0};
  setsockopt(static_cast<int>(descriptor), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
}

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_RESET_ON_CLOSE_H_
