#ifndef FIRMOOR_GATEWAY_DETAILS_DELEGATED_RESPONSE_WRITER_H_
#define FIRMOOR_GATEWAY_DETAILS_DELEGATED_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/response_writer.h"
#include "peer/peer_stream.h"
#include "reachability/peer_selector.h"

namespace firmoor::details {

/// Sends the response to a delegated request to the daemon that delegated it.
class DelegatedResponseWriter final : public ResponseWriter {
 public:
  explicit DelegatedResponseWriter(
      std::shared_ptr<PeerStreamResponder> responder);

  /// Tells the sender that this daemon serves the request.
  void Accept();
  /// Tells the sender that this daemon does not serve the request, and that
  /// nobody got it.
  void Refuse(PeerRefusal reason);
  /// Software version that writes the stream; set before `StartStream`.
  void SetVersion(std::string version) { version_ = std::move(version); }

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
  std::shared_ptr<PeerStreamResponder> responder_;
  std::string version_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_DELEGATED_RESPONSE_WRITER_H_
