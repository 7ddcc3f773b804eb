#ifndef FIRMOOR_SERVING_REQUEST_RECORD_H_
#define FIRMOOR_SERVING_REQUEST_RECORD_H_

#include <QByteArray>
#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// How far an accepted request has come.
enum class RequestPhase {
  kNotSent,  ///< It may be sent by whoever holds it.
  kDone,     ///< `answer` is its final answer.
};

/// An accepted request with what is known of it, as one daemon hands it to
/// another one when it leaves.
struct RequestRecord {
  std::string id;
  std::string workspace;
  HttpRequest request;
  bool async = false;
  RequestPhase phase = RequestPhase::kNotSent;
  std::vector<std::string> tokens;  ///< Generated and passed on so far.
  Duration time_left{0};            ///< Until its deadline.
  bool claim_held = false;          ///< Its key is claimed by this request.
  bool earlier_unknown = false;     ///< An earlier attempt may have run.
  HttpResponse answer;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RequestRecord> Decode(const QByteArray& bytes);

  bool operator==(const RequestRecord&) const = default;
};

/// What a daemon that does not hold a request is told by the one that does.
struct RequestProgress {
  bool found = false;
  std::string workspace;
  std::vector<std::string> tokens;  ///< From the asked index on.
  bool done = false;
  HttpResponse answer;  ///< When done.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<RequestProgress> Decode(const QByteArray& bytes);

  bool operator==(const RequestProgress&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_REQUEST_RECORD_H_
