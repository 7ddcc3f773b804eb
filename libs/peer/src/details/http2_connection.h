#ifndef FIRMOOR_PEER_DETAILS_HTTP2_CONNECTION_H_
#define FIRMOOR_PEER_DETAILS_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <QByteArray>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "peer/peer_node.h"
#include "peer/peer_stream.h"

namespace firmoor::details {

/// Client end of a call that is answered by a series of messages.
struct SeriesCall {
  PeerStream::Handlers handlers;
  bool may_have_been_sent = false;
  bool has_reply = false;
  bool is_paused = false;
};

/// Client or server end of an HTTP/2 connection between two daemons. Each call
/// is one stream: a POST request and its response. The response is one CBOR
/// message or, if the path says so, a series of them, each after its length.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  enum class Role { kClient, kServer };

  /// Settings and callbacks of the owner.
  struct Hooks {
    PeerNode::Handler handler;  ///< Server: handles calls.
    PeerNode::StreamHandler stream_handler;
    std::string token;  ///< Shared secret.
    PeerNode::Traffic* traffic = nullptr;
    std::function<void(Http2Connection*)> on_closed;
  };

  Http2Connection(Role role, QTcpSocket* socket, Hooks hooks);
  ~Http2Connection();

  /// Starts the session on the socket, which is connected or connecting.
  void Start();

  /// Client: starts a call. Returns its id for `Cancel`.
  std::uint64_t Call(const std::string& kind, const QByteArray& message,
                     PeerNode::Done done);

  /// Client: ends a call that has timed out, if it is still open.
  void Cancel(std::uint64_t call);

  /// Client: starts a call that is answered by a series of messages.
  std::uint64_t OpenSeries(const std::string& kind, const QByteArray& message,
                           std::shared_ptr<SeriesCall> call);
  /// Client: ends such a call without further callbacks.
  void CancelSeries(std::uint64_t call);
  /// Client: stops or resumes the delivery of messages.
  void SetSeriesPaused(std::uint64_t call, bool paused);

  /// Server: operations on the response to such a call.
  void KeepForSeries(std::int32_t stream_id,
                     std::shared_ptr<const void> resource);
  void SendMessage(std::int32_t stream_id, const QByteArray& message);
  void FinishSeries(std::int32_t stream_id);
  void AbortSeries(std::int32_t stream_id);
  void OnSeriesCancelled(std::int32_t stream_id, std::function<void()> handler);
  void OnSeriesSent(std::int32_t stream_id, std::function<void()> handler);
  [[nodiscard]] bool IsSeriesOpen(std::int32_t stream_id) const;
  [[nodiscard]] std::size_t UnsentBytes(std::int32_t stream_id) const;

  /// Server: whether a completed series was not wholly handed to the kernel.
  [[nodiscard]] bool HasUnsentSeries() const;

  [[nodiscard]] bool IsIdle() const { return streams_.empty(); }
  void Close();
  /// Client: closes the connection once its last stream has ended. No calls may
  /// be started after it.
  void Retire();

  /// Client: consecutive calls without an answer, as the owner counts them. A
  /// part of any answer sets it back.
  void CountUnanswered() { ++unanswered_; }
  void OnAnswered() { unanswered_ = 0; }
  [[nodiscard]] int unanswered() const { return unanswered_; }
  /// When the last part of an answer came; the epoch before the first.
  [[nodiscard]] TimePoint heard_at() const { return heard_at_; }

 private:
  struct Stream {
    std::uint64_t call = 0;
    std::string kind;
    std::string token;
    int status = 0;
    QByteArray received;
    QByteArray to_send;
    qsizetype sent = 0;
    bool refused = false;
    PeerNode::Done done;
    std::shared_ptr<SeriesCall> series;  ///< Client, of a series.
    std::size_t unconsumed = 0;  ///< Bytes that arrived while it was paused.
    bool is_series = false;      ///< Server, of a series.
    bool is_finished = false;    ///< Server: no more messages will follow.
    std::function<void()> on_cancelled;  ///< Server, of a series.
    std::function<void()> on_sent;       ///< Server, of a series.
    std::shared_ptr<const void> kept;    ///< Server, until the stream ends.
  };
  /// A call that was made before the connection was established.
  struct QueuedCall {
    std::uint64_t call;
    std::string kind;
    QByteArray message;
    PeerNode::Done done;
    std::shared_ptr<SeriesCall> series;
  };

  static nghttp2_session_callbacks* Callbacks();
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t flags, void* user);
  static int OnData(nghttp2_session* session, std::uint8_t flags,
                    std::int32_t stream_id, const std::uint8_t* data,
                    std::size_t length, void* user);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                     void* user);
  static int OnStreamClose(nghttp2_session* session, std::int32_t stream_id,
                           std::uint32_t error, void* user);
  static ssize_t ReadBody(nghttp2_session* session, std::int32_t stream_id,
                          std::uint8_t* buffer, std::size_t length,
                          std::uint32_t* flags, nghttp2_data_source* source,
                          void* user);

  void OnConnected();
  void Submit(QueuedCall queued);
  /// Receives; an exception that leaves a handler closes the connection.
  void RunReceive();
  /// Runs a handler within a callback of nghttp2, through which no exception
  /// may pass.
  void RunInCallback(const std::function<void()>& handler);
  void Receive();
  void Flush();
  void HandleRequest(std::int32_t stream_id);
  void HandleSeriesRequest(std::int32_t stream_id);
  void ConsumeData(std::int32_t stream_id, Stream* stream, std::size_t length);
  void DeliverMessages(std::uint64_t call);
  /// Delivers the messages in `received` and removes them from it.
  static void Deliver(const std::shared_ptr<SeriesCall>& series,
                      QByteArray* received);
  void CloseSeries(Stream stream, std::uint32_t error);
  void EndSeries(const std::shared_ptr<SeriesCall>& series, PeerStatus status);
  Stream* FindCall(std::uint64_t call, std::int32_t* stream_id = nullptr);
  /// Runs `action` once nghttp2 has processed what was received, since a
  /// session must not be used from its own callbacks.
  void Defer(std::function<void()> action);
  void RunDeferred();
  /// Calls the handlers of `awaiting_sent_` once the call stack has unwound.
  void NotifySent();
  void SendResponse(std::int32_t stream_id, int status,
                    const QByteArray& message);
  void OnDisconnected();

  Role role_;
  QTcpSocket* socket_;
  Hooks hooks_;
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, Stream> streams_;
  std::map<std::uint64_t, QueuedCall> queued_calls_;  ///< By call id.
  std::set<std::int32_t> awaiting_sent_;  ///< Streams with an `on_sent`.
  bool notifies_sent_ = false;            ///< A notification is queued.
  std::uint64_t next_call_ = 1;
  std::uint64_t written_ = 0;     ///< Bytes passed to the socket.
  std::uint64_t series_end_ = 0;  ///< Of them, up to the last completed series.
  std::vector<std::function<void()>> deferred_;
  int unanswered_ = 0;
  TimePoint heard_at_;
  bool in_session_ = false;  ///< nghttp2 is processing what was received.
  bool connected_ = false;
  bool retired_ = false;
  bool closed_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_PEER_DETAILS_HTTP2_CONNECTION_H_
