#ifndef FIRMOOR_SERVING_REQUEST_RECORD_H_
#define FIRMOOR_SERVING_REQUEST_RECORD_H_

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Phase of an accepted request in a hand-over.
enum class RequestPhase {
  kNotSent,  ///< The daemon that holds it may send it.
  kDone,     ///< `answer` is its final answer.
};

/// An accepted request and its state, as a draining daemon hands it over to
/// another daemon.
struct RequestRecord {
  std::string id;
  std::string workspace;
  HttpRequest request;
  bool async = false;
  RequestPhase phase = RequestPhase::kNotSent;
  std::vector<std::string> tokens;  ///< Generated so far.
  Duration time_left{0};            ///< Until its deadline.
  bool claim_held = false;       ///< This request holds the claim on its key.
  bool earlier_unknown = false;  ///< An earlier attempt may have run.
  HttpResponse answer;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RequestRecord> Decode(const QByteArray& bytes);

  bool operator==(const RequestRecord&) const = default;
};

/// State of a request, as the daemon that holds it reports it to another one.
struct RequestProgress {
  bool found = false;
  std::string workspace;
  std::vector<std::string> tokens;  ///< From the requested index on.
  bool done = false;
  HttpResponse answer;  ///< When done.
  /// Until the request's deadline; unset if done or told by an earlier build.
  std::optional<Duration> time_left;
  /// When not found: a daemon that may hold the request gave no answer. Not
  /// part of the message.
  bool unanswered = false;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RequestProgress> Decode(const QByteArray& bytes);

  bool operator==(const RequestProgress&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_REQUEST_RECORD_H_
