#ifndef FIRMOOR_HTTP_RESPONSE_WRITER_H_
#define FIRMOOR_HTTP_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "http/body_budget.h"
#include "http/message.h"

namespace firmoor {

/// Sends the response to one request, to a caller or to another daemon. After
/// the receiver has left, all operations are safe and have no effect.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  /// Keeps `share`, which the body of the next complete response takes of a
  /// budget, until the receiver has taken the response or left.
  virtual void HoldUntilTaken(std::shared_ptr<BodyBudget::Share> share) = 0;

  /// Sends a complete response.
  virtual void Send(const HttpResponse& response) = 0;

  /// Starts a response of unknown length.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;

  /// Sends a part of a started response.
  virtual void Write(std::string_view bytes) = 0;

  /// Completes a started response.
  virtual void FinishStream() = 0;

  /// Breaks the response off, so that the receiver sees that it is incomplete.
  virtual void Abort() = 0;

  /// Breaks the response off and discards what the receiver has not taken.
  virtual void Discard() = 0;

  /// Bytes of the response that the kernel has not taken, to limit buffering
  /// for slow receivers.
  [[nodiscard]] virtual std::size_t UnsentBytes() const = 0;

  /// Sets a handler that is called from the event loop after the kernel has
  /// taken bytes, until the response is complete or broken off.
  virtual void OnSent(std::function<void()> handler) = 0;

  /// Whether the receiver is connected and the response is incomplete.
  [[nodiscard]] virtual bool IsOpen() const = 0;

  /// Sets a handler that is called once if the receiver leaves before the
  /// response is complete.
  virtual void OnCallerDisconnected(std::function<void()> handler) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_RESPONSE_WRITER_H_
