#ifndef FIRMOOR_SERVING_MODEL_REQUEST_H_
#define FIRMOOR_SERVING_MODEL_REQUEST_H_

#include <QJsonObject>
#include <cstddef>
#include <string>
#include <string_view>

#include "base/error.h"

namespace firmoor {

/// A checked body of `/v1/completions` or `/v1/chat/completions`.
struct ModelRequest {
  std::string service;  ///< The field `model`.
  std::string prompt;   ///< The prompt, or the messages joined.
  bool chat = false;
  bool stream = false;
  std::size_t max_tokens = 256;
  QJsonObject body;  ///< As sent.

  /// Fails with `kMalformedRequest` and names the field.
  static Result<ModelRequest> Parse(std::string_view path,
                                    std::string_view body);
};

/// What was generated so far, as far as it was passed on.
struct GeneratedOutput {
  std::string text;
  std::size_t tokens = 0;

  bool operator==(const GeneratedOutput&) const = default;
};

/// Body for an upstream. The upstream always streams; with tokens generated
/// before, it is asked to go on behind them.
std::string MakeUpstreamBody(const ModelRequest& request,
                             const GeneratedOutput& generated,
                             std::string_view request_id, int priority,
                             std::string_view kv_source);

/// Text of the token in an event of an upstream; an error when the event
/// reports one or is malformed.
Result<std::string> ParseTokenText(const std::string& event);

/// Event for a streaming caller.
std::string MakeTokenEvent(const ModelRequest& request,
                           std::string_view request_id, std::string_view text);

/// Body of a whole answer.
std::string MakeCompletion(const ModelRequest& request,
                           std::string_view request_id,
                           const GeneratedOutput& generated);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_MODEL_REQUEST_H_
