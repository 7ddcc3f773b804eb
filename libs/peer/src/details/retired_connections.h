#ifndef FIRMOOR_PEER_DETAILS_RETIRED_CONNECTIONS_H_
#define FIRMOOR_PEER_DETAILS_RETIRED_CONNECTIONS_H_

#include <memory>
#include <vector>

#include "details/http2_connection.h"
#include "http/message.h"

namespace firmoor::details {

/// Client connections that get no new calls as earlier ones had no answer, and
/// that are kept for the streams that are open on them.
class RetiredConnections {
 public:
  using Connection = std::shared_ptr<Http2Connection>;

  void Add(const Endpoint& peer, Connection connection);
  /// Null unless it is one of them.
  Connection Remove(const Http2Connection* connection);
  /// The oldest to `peer`, beyond those that may be kept.
  [[nodiscard]] std::vector<Connection> Excess(const Endpoint& peer) const;
  [[nodiscard]] std::vector<Connection> All() const;

 private:
  struct Retired {
    Endpoint peer;
    Connection connection;
  };

  std::vector<Retired> retired_;  ///< From the oldest to the newest.
};

}  // namespace firmoor::details

#endif  // FIRMOOR_PEER_DETAILS_RETIRED_CONNECTIONS_H_
