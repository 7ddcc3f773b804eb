#ifndef FIRMOOR_SERVING_DETAILS_CALLER_LIST_H_
#define FIRMOOR_SERVING_DETAILS_CALLER_LIST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "serving/model_request.h"

namespace firmoor::details {

/// The final answer of a request.
struct FinalAnswer {
  HttpResponse http_answer;
  std::string failure_event;  ///< For streams; empty on success.
};

/// The callers connected to one request, each with its own position in the
/// token stream.
class CallerList {
 public:
  /// `model` is null for plain services and must outlive the list.
  CallerList(std::string request_id, const ModelRequest* model);

  /// A streaming caller gets the tokens from index `from` on.
  void Add(std::shared_ptr<HttpResponder> responder, bool stream,
           std::size_t from);

  /// Sends each streaming caller the tokens that it has not been sent yet.
  void SendTokens(const std::vector<std::string>& tokens);

  /// Sends the final answer to all callers and removes them.
  void Finish(const std::vector<std::string>& tokens,
              const FinalAnswer& answer);

  /// Sends all callers the location where the request continues and removes
  /// them.
  void RedirectAll();

  /// Sends all callers an unknown outcome, since another daemon may have
  /// adopted the request, and removes them.
  void EndUnconfirmed();

  /// Removes callers whose connection is closed.
  void RemoveDisconnected();

  /// Whether the unsent bytes of any caller exceed the limit.
  [[nodiscard]] bool IsSlow() const;
  [[nodiscard]] bool empty() const { return callers_.empty(); }

 private:
  struct Caller {
    std::shared_ptr<HttpResponder> responder;
    bool stream = false;
    bool started = false;
    std::size_t next = 0;  ///< Index of the next token to send.
  };

  void StartStream(Caller* caller) const;
  void SendTokensTo(Caller* caller,
                    const std::vector<std::string>& tokens) const;
  void FinishCaller(Caller* caller, const std::vector<std::string>& tokens,
                    const FinalAnswer& answer) const;

  std::string request_id_;
  const ModelRequest* model_;
  std::vector<Caller> callers_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_CALLER_LIST_H_
