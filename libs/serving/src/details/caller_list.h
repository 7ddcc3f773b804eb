#ifndef FIRMOOR_SERVING_DETAILS_CALLER_LIST_H_
#define FIRMOOR_SERVING_DETAILS_CALLER_LIST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/http_server.h"
#include "serving/caller_flow.h"
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
  /// `model` is null for plain services and must outlive the list, as must
  /// `flows`.
  CallerList(std::string request_id, const ModelRequest* model,
             CallerFlowTotals* flows);

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

  /// Whether the request is not to be read on, since a caller takes the tokens
  /// more slowly than they arrive.
  bool IsPaused(TimePoint now);
  /// Cuts off the callers that have taken nothing for too long.
  void CutStalled(TimePoint now);
  [[nodiscard]] bool empty() const { return callers_.empty(); }

 private:
  struct Caller {
    std::shared_ptr<HttpResponder> responder;
    bool stream = false;
    bool started = false;
    std::size_t next = 0;  ///< Index of the next token to send.
    std::unique_ptr<CallerFlow> flow;
  };

  void StartStream(Caller* caller) const;
  void SendTokensTo(Caller* caller,
                    const std::vector<std::string>& tokens) const;
  void FinishCaller(Caller* caller, const std::vector<std::string>& tokens,
                    const FinalAnswer& answer) const;

  std::string request_id_;
  const ModelRequest* model_;
  CallerFlowTotals* flows_;
  std::vector<Caller> callers_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_CALLER_LIST_H_
