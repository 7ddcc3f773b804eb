#ifndef FIRMOOR_SERVING_DETAILS_REMOTE_FOLLOWER_H_
#define FIRMOOR_SERVING_DETAILS_REMOTE_FOLLOWER_H_

#include <QTimer>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "http/http_server.h"
#include "serving/dispatcher.h"

namespace firmoor::details {

/// Answers a query for a request that another daemon holds: with a single
/// answer for its state, or with a stream until the request ends.
class RemoteFollower : public std::enable_shared_from_this<RemoteFollower> {
 public:
  struct Query {
    std::string id;
    std::string workspace;  ///< Of the caller that sends the query.
    bool stream = false;
    std::size_t from = 0;
  };

  RemoteFollower(Query query, std::shared_ptr<HttpResponder> responder,
                 const DispatcherEnvironment* environment);

  void Poll();

 private:
  void OnProgress(const RequestProgress& progress);
  void SendProgress(const RequestProgress& progress);
  /// `unanswered`: a daemon that may hold the request gave no answer.
  void NotFound(bool unanswered);
  [[nodiscard]] bool MayFindLater(bool unanswered);

  Query query_;
  std::shared_ptr<HttpResponder> responder_;
  const DispatcherEnvironment* environment_;
  bool started_ = false;
  int misses_ = 0;  ///< Consecutive polls that did not find the request.
  /// The request's deadline; unset if its daemon is of an earlier build.
  std::optional<TimePoint> answer_due_;
  std::optional<TimePoint> first_unanswered_;
};

/// Answer to a query for a request that has not ended.
HttpResponse MakeRunningAnswer(const std::string& id, int status);

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_REMOTE_FOLLOWER_H_
