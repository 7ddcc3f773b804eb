#ifndef FIRMOOR_HTTP_DETAILS_UNSENT_LIMIT_H_
#define FIRMOOR_HTTP_DETAILS_UNSENT_LIMIT_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <QtGlobal>

namespace firmoor::details {

/// Limits what the kernel keeps of a connection beyond what the peer's window
/// takes; otherwise it keeps up to 4 MB for each peer that does not read.
inline void LimitUnsentBytes(qintptr descriptor) {
  constexpr int kMaxUnsentBytes = 128 * 1024;
  setsockopt(static_cast<int>(descriptor), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
             &kMaxUnsentBytes, sizeof(kMaxUnsentBytes));
}

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_UNSENT_LIMIT_H_
