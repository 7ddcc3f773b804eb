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
  HttpAnswer http_answer;
  std::string failure_event;  ///< For streams; empty when it succeeded.
};

/// The callers that wait at one request, each with its own place in the
/// tokens.
class CallerList {
 public:
  /// `model` is null for plain services and must outlive the list.
  CallerList(std::string request_id, const ModelRequest* model);

  /// Streaming callers get the tokens from `from` on.
  void Add(std::shared_ptr<HttpResponder> responder, bool stream,
           std::size_t from);

  /// Passes on what each streaming caller has not got yet.
  void SendTokens(const std::vector<std::string>& tokens);

  /// Ends all callers with the final answer.
  void Finish(const std::vector<std::string>& tokens,
              const FinalAnswer& answer);

  /// Ends all callers with the place where the request goes on.
  void RedirectAll();

  /// Ends all callers: another daemon may have taken the request.
  void EndUnconfirmed();

  /// Forgets callers that left.
  void RemoveDisconnected();

  /// Whether a caller takes its bytes more slowly than they come.
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
