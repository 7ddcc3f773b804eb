#ifndef FIRMOOR_GATEWAY_PEER_DIRECTORY_MESSAGES_H_
#define FIRMOOR_GATEWAY_PEER_DIRECTORY_MESSAGES_H_

#include <QByteArray>
#include <QCborMap>
#include <QCborValue>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "peer/peer_node.h"
#include "peer/peer_stream.h"
#include "resumption/peer_directory.h"

namespace firmoor {

/// Calls another daemon, as `PeerNode::Call`.
using PeerCall =
    std::function<void(const Endpoint&, const std::string& kind,
                       const QByteArray&, Duration timeout, PeerNode::Done)>;

/// Opens a stream to another daemon, as `PeerNode::OpenStream`.
using PeerStreamCall = std::function<std::unique_ptr<PeerStream>(
    const Endpoint&, const std::string& kind, const QByteArray&,
    PeerStream::Handlers)>;

/// How much of a coordinator's directory of daemons a daemon has.
struct DirectoryPosition {
  std::int64_t term = 0;      ///< Fencing token of the coordinator.
  std::int64_t revision = 0;  ///< All changes up to this one.

  bool operator==(const DirectoryPosition&) const = default;
};

/// Changes of the directory of daemons.
struct DirectoryUpdate {
  DirectoryPosition position;  ///< After the changes.
  bool is_full = false;        ///< Replaces what the daemon has.
  std::vector<PeerAddress> added;
  std::vector<std::string> removed;

  bool operator==(const DirectoryUpdate&) const = default;
};

QCborValue EncodeDirectoryPosition(const DirectoryPosition& position);
DirectoryPosition DecodeDirectoryPosition(const QCborValue& value);

QCborValue EncodeDirectoryUpdate(const DirectoryUpdate& update);
/// Ignores entries without a valid endpoint.
DirectoryUpdate DecodeDirectoryUpdate(const QCborValue& value);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_PEER_DIRECTORY_MESSAGES_H_
