#ifndef FIRMOOR_GATEWAY_DETAILS_DELEGATION_MESSAGES_H_
#define FIRMOOR_GATEWAY_DETAILS_DELEGATION_MESSAGES_H_

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/error.h"
#include "gateway/dialect.h"
#include "http/message.h"
#include "reachability/peer_selector.h"

namespace firmoor::details {

/// Kind of the calls between daemons that carry delegated requests.
constexpr const char* kDelegationKind = "request";

/// A caller's request that a daemon delegates to another one, since it does not
/// reach the upstreams of the request's service itself. Its quota is charged
/// and counted by the sender.
struct DelegatedRequest {
  std::string sender;                ///< Daemon that took it from the caller.
  std::int64_t config_version = -1;  ///< Under which the sender admitted it.
  /// `caller_timeout` is the time left, `last_event_id` the last event that the
  /// caller was sent.
  ForwardRequest request;
  std::string service;
  /// Software version that wrote the stream so far.
  std::optional<std::string> version;
  std::set<std::string> tried_upstreams;
  int attempts = 0;            ///< That count towards the route's limit.
  bool usage_counted = false;  ///< Its usage was already counted.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<DelegatedRequest> Decode(const QByteArray& bytes);

  bool operator==(const DelegatedRequest&) const = default;
};

/// One message of the response to a delegated request.
struct DelegationReply {
  enum class Kind {
    kAccepted,     ///< The peer serves the request.
    kRefused,      ///< It does not, and nobody got it.
    kResponse,     ///< A complete response.
    kStreamStart,  ///< Head of a stream.
    kEvents,       ///< A part of the stream.
    kStreamEnd,    ///< The stream is complete.
  };
  Kind kind = Kind::kRefused;
  PeerRefusal reason = PeerRefusal::kStopping;  ///< Of `kRefused`.
  /// `kResponse`: all of it; `kStreamStart`: its head; `kEvents`: its body.
  HttpResponse response;
  /// Software version that writes the stream; `kStreamStart` only.
  std::string version;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<DelegationReply> Decode(const QByteArray& bytes);

  bool operator==(const DelegationReply&) const = default;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_DELEGATION_MESSAGES_H_
