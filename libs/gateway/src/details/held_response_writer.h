#ifndef FIRMOOR_GATEWAY_DETAILS_HELD_RESPONSE_WRITER_H_
#define FIRMOOR_GATEWAY_DETAILS_HELD_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/response_writer.h"

namespace firmoor::details {

/// Passes a response on to another writer, and can keep a stream back until it
/// is known whether it may begin.
class HeldResponseWriter final : public ResponseWriter {
 public:
  explicit HeldResponseWriter(std::shared_ptr<ResponseWriter> writer);

  /// Keeps all parts of the stream back from now on. Call before it starts.
  void Hold();
  /// Sends what was kept back.
  void Release();
  /// Sends `response` instead of the stream, and ignores the rest of that.
  void Replace(const HttpResponse& response);

  void HoldUntilTaken(std::shared_ptr<BodyBudget::Share> share) override;
  void Send(const HttpResponse& response) override;
  void StartStream(int status, const HttpHeaders& headers) override;
  void Write(std::string_view bytes) override;
  void FinishStream() override;
  void Abort() override;
  void Discard() override;
  [[nodiscard]] std::size_t UnsentBytes() const override;
  void OnSent(std::function<void()> handler) override;
  [[nodiscard]] bool IsOpen() const override;
  void OnCallerDisconnected(std::function<void()> handler) override;

 private:
  enum class State {
    kPassing,
    kHolding,
    kOver  ///< Something else was sent, or the stream was broken off.
  };

  std::shared_ptr<ResponseWriter> writer_;
  State state_ = State::kPassing;
  bool is_started_ = false;   ///< While the stream is kept back.
  bool is_finished_ = false;  ///< The same.
  int status_ = 0;
  HttpHeaders headers_;
  std::string bytes_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_HELD_RESPONSE_WRITER_H_
