#ifndef FIRMOOR_GATEWAY_DETAILS_UPSTREAM_WATCH_H_
#define FIRMOOR_GATEWAY_DETAILS_UPSTREAM_WATCH_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/http_fetch.h"
#include "http/reserved_connection.h"
#include "routing/upstream_catalog.h"
#include "serving/process_liveness.h"

namespace firmoor::details {

struct GatewayContext;

/// The streams without a marked end that this daemon reads from one instance of
/// an upstream, and what they tell about its process.
///
/// An instance that leaves closes its listener, so that it cannot be asked
/// whether it runs behind the end of a stream. While it has such streams, a
/// connection to it is held in reserve: one of its places for each daemon that
/// reads them.
class UpstreamWatch : public std::enable_shared_from_this<UpstreamWatch> {
 public:
  /// One of the streams; it is forgotten when this is deleted.
  class Stream {
   public:
    explicit Stream(std::shared_ptr<UpstreamWatch> watch);
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    ~Stream();

    void OnEvent(PreciseTimePoint now);
    /// What arrives from now on may have been sent before.
    void OnPaused();
    /// See `ProcessLiveness::OnClosed`.
    void OnClosed(bool is_behind_event, PreciseTimePoint now);
    /// The instance answered a request that was sent at `asked_at`.
    void OnAnswer(PreciseTimePoint asked_at);
    /// Calls `done` once it is known who closed the stream, from the event
    /// loop, unless the stream is deleted before.
    void Decide(std::function<void(CloseOrigin)> done);
    [[nodiscard]] UpstreamWatch& watch() { return *watch_; }

   private:
    std::shared_ptr<UpstreamWatch> watch_;
    ProcessLiveness::ConnectionId connection_;
  };

  /// `sent_at`: of the first request. `context` must outlive this.
  UpstreamWatch(GatewayContext* context, UpstreamEntry upstream,
                TimePoint sent_at);

  /// Holds a connection in reserve if there is none.
  void Reserve(TimePoint now);
  /// Streams that are open.
  [[nodiscard]] std::size_t open_streams() const { return liveness_.open(); }

 private:
  /// Decides on what can be decided; asks the instance if nothing else is left.
  void Update();
  void AskOnReserve();
  /// Tells of the connection that is held in reserve.
  void LogReserve(std::string_view change) const;
  void OnAnswerOnReserve(const HttpFetchResult& result,
                         PreciseTimePoint asked_at, bool is_reserve);

  GatewayContext* context_;
  UpstreamEntry upstream_;
  TimePoint sent_at_;
  ProcessLiveness liveness_;
  std::map<ProcessLiveness::ConnectionId, std::function<void(CloseOrigin)>>
      undecided_;
  std::unique_ptr<ReservedConnection> reserve_;
  std::optional<TimePoint> reserved_at_;
  HttpConnectionPool pool_;
  std::unique_ptr<HttpCall> call_;
  bool is_asking_ = false;
  QTimer timer_;  ///< Runs while something is undecided.
};

/// The watched instances of upstreams.
class UpstreamWatches {
 public:
  /// Starts to watch a stream of `upstream`, which was requested at `sent_at`.
  std::unique_ptr<UpstreamWatch::Stream> Add(GatewayContext* context,
                                             const UpstreamEntry& upstream,
                                             TimePoint sent_at);

 private:
  using Instance = std::pair<std::string, std::int64_t>;  ///< Id and birth.

  std::map<Instance, std::weak_ptr<UpstreamWatch>> watches_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_UPSTREAM_WATCH_H_
