#include "details/http2_connection.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

#include "base/exception_barrier.h"
#include "base/log.h"

namespace firmoor::details {
namespace {

constexpr Logger kLog("peer");
constexpr std::uint32_t kMaxStreams = 1'000;
// Of a connection, and of one stream: what is kept of it while it is paused.
constexpr std::uint32_t kConnectionWindowBytes = 4 * 1024 * 1024;
constexpr std::uint32_t kStreamWindowBytes = 256 * 1024;
// Sent bytes of a series are removed once they are as many.
constexpr qsizetype kMaxSentBytes = 64 * 1024;
constexpr qsizetype kMaxMessageBytes = 16 * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr std::string_view kPathPrefix = "/peer/";
constexpr std::string_view kSeriesPathPrefix = "/series/";

nghttp2_nv Header(std::string_view name, std::string_view value) {
  // nghttp2 copies both; the fields of its struct are not const.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

Http2Connection* Self(void* user) {
  return static_cast<Http2Connection*>(user);
}

}  // namespace

nghttp2_session_callbacks* Http2Connection::Callbacks() {
  static nghttp2_session_callbacks* callbacks = [] {
    nghttp2_session_callbacks* created = nullptr;
    nghttp2_session_callbacks_new(&created);
    nghttp2_session_callbacks_set_on_header_callback(created, OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(created, OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(created, OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(created,
                                                           OnStreamClose);
    return created;
  }();
  return callbacks;
}

Http2Connection::Http2Connection(Role role, QTcpSocket* socket, Hooks hooks)
    : role_(role), socket_(socket), hooks_(std::move(hooks)) {
  // Windows are updated as messages are consumed, which limits what a peer can
  // send to a paused stream.
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_auto_window_update(options, 1);
  if (role == Role::kClient) {
    nghttp2_session_client_new2(&session_, Callbacks(), this, options);
  } else {
    nghttp2_session_server_new2(&session_, Callbacks(), this, options);
  }
  nghttp2_option_del(options);
}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
  socket_->disconnect();
  socket_->abort();
  socket_->deleteLater();
}

void Http2Connection::Start() {
  QObject::connect(socket_, &QTcpSocket::readyRead, socket_,
                   [this] { RunReceive(); });
  QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_,
                   [this] { NotifySent(); });
  QObject::connect(socket_, &QTcpSocket::disconnected, socket_,
                   [this] { OnDisconnected(); });
  QObject::connect(socket_, &QTcpSocket::errorOccurred, socket_, [this] {
    if (!connected_) OnDisconnected();
  });
  if (socket_->state() == QAbstractSocket::ConnectedState) {
    OnConnected();
  } else {
    QObject::connect(socket_, &QTcpSocket::connected, socket_,
                     [this] { OnConnected(); });
  }
}

void Http2Connection::OnConnected() {
  connected_ = true;
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const std::array<nghttp2_settings_entry, 2> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  auto queued_calls = std::exchange(queued_calls_, {});
  for (auto& [call, queued] : queued_calls) Submit(std::move(queued));
  Flush();
  Receive();
}

std::uint64_t Http2Connection::Call(const std::string& kind,
                                    const QByteArray& message,
                                    PeerNode::Done done) {
  const auto call = next_call_++;
  QueuedCall queued{call, kind, message, std::move(done), nullptr};
  if (connected_) {
    Submit(std::move(queued));
    Flush();
  } else {
    queued_calls_.emplace(call, std::move(queued));
  }
  return call;
}

void Http2Connection::Submit(QueuedCall queued) {
  const std::string path =
      std::string(queued.series ? kSeriesPathPrefix : kPathPrefix) +
      queued.kind;
  const std::array<nghttp2_nv, 5> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "peer"), Header(":path", path),
      Header("authorization", hooks_.token)};
  nghttp2_data_provider body{};
  body.read_callback = ReadBody;
  const auto id = nghttp2_submit_request(session_, nullptr, headers.data(),
                                         headers.size(), &body, nullptr);
  if (id < 0) {
    if (queued.series) return EndSeries(queued.series, PeerStatus::kNotSent);
    return queued.done(PeerStatus::kNotSent, {});
  }
  if (queued.series) queued.series->may_have_been_sent = true;
  auto& stream = streams_[id];
  stream.series = std::move(queued.series);
  stream.call = queued.call;
  stream.to_send = std::move(queued.message);
  stream.done = std::move(queued.done);
}

void Http2Connection::Cancel(std::uint64_t call) {
  if (const auto found = queued_calls_.find(call);
      found != queued_calls_.end()) {
    const auto queued = std::move(found->second);
    queued_calls_.erase(found);
    return queued.done(PeerStatus::kNotSent, {});
  }
  for (auto& [id, stream] : streams_) {
    if (stream.call != call || !stream.done) continue;
    const auto done = std::exchange(stream.done, nullptr);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    Flush();
    return done(PeerStatus::kNoResponse, {});
  }
}

void Http2Connection::RunReceive() {
  const auto self = shared_from_this();
  RunWithBarrier(
      "a daemon's connection", [this] { Receive(); }, [this] { Close(); });
}

void Http2Connection::RunInCallback(const std::function<void()>& handler) {
  RunWithBarrier("a message of a daemon", handler, [this] {
    Defer([self = shared_from_this()] { self->Close(); });
  });
}

void Http2Connection::Receive() {
  const auto self = shared_from_this();
  const QByteArray bytes = socket_->readAll();
  if (bytes.isEmpty()) return;
  hooks_.traffic->received += static_cast<std::uint64_t>(bytes.size());
  in_session_ = true;
  const auto consumed = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const std::uint8_t*>(bytes.constData()),
      static_cast<std::size_t>(bytes.size()));
  in_session_ = false;
  if (consumed < 0) {
    kLog.Warn("Closing peer connection after HTTP/2 error: {}.",
              nghttp2_strerror(static_cast<int>(consumed)));
    return Close();
  }
  Flush();
}

void Http2Connection::Flush() {
  if (closed_ || in_session_) return;
  const std::uint8_t* data = nullptr;
  while (true) {
    const auto length = nghttp2_session_mem_send(session_, &data);
    if (length <= 0) break;
    hooks_.traffic->sent += static_cast<std::uint64_t>(length);
    written_ += static_cast<std::uint64_t>(length);
    socket_->write(reinterpret_cast<const char*>(data), length);
  }
  const bool ended = nghttp2_session_want_read(session_) == 0 &&
                     nghttp2_session_want_write(session_) == 0;
  RunDeferred();
  if (ended || (retired_ && IsIdle())) Close();
}

int Http2Connection::OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                              const std::uint8_t* name, std::size_t name_length,
                              const std::uint8_t* value,
                              std::size_t value_length, std::uint8_t,
                              void* user) {
  const std::string_view key(reinterpret_cast<const char*>(name), name_length);
  const std::string text(reinterpret_cast<const char*>(value), value_length);
  auto& stream = Self(user)->streams_[frame->hd.stream_id];
  if (key == ":path" && text.starts_with(kPathPrefix)) {
    stream.kind = text.substr(kPathPrefix.size());
  } else if (key == ":path" && text.starts_with(kSeriesPathPrefix)) {
    stream.kind = text.substr(kSeriesPathPrefix.size());
    stream.is_series = true;
  } else if (key == ":status") {
    stream.status = std::atoi(text.c_str());
  } else if (key == "authorization") {
    stream.token = text;
  }
  return 0;
}

int Http2Connection::OnData(nghttp2_session*, std::uint8_t,
                            std::int32_t stream_id, const std::uint8_t* data,
                            std::size_t length, void* user) {
  auto* self = Self(user);
  self->heard_at_ = MonotonicNow();
  self->OnAnswered();
  const auto found = self->streams_.find(stream_id);
  self->ConsumeData(stream_id,
                    found == self->streams_.end() ? nullptr : &found->second,
                    length);
  if (found == self->streams_.end()) return 0;
  auto& received = found->second.received;
  if (received.size() + static_cast<qsizetype>(length) > kMaxMessageBytes) {
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  received.append(reinterpret_cast<const char*>(data),
                  static_cast<qsizetype>(length));
  if (found->second.series) {
    self->Defer(
        [self, call = found->second.call] { self->DeliverMessages(call); });
  }
  return 0;
}

int Http2Connection::OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                             void* user) {
  auto* self = Self(user);
  if (frame->hd.type == NGHTTP2_RST_STREAM &&
      frame->rst_stream.error_code == NGHTTP2_REFUSED_STREAM) {
    const auto found = self->streams_.find(frame->hd.stream_id);
    if (found != self->streams_.end()) found->second.refused = true;
  }
  const bool ends_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  const bool carries_message =
      frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
  if (self->role_ == Role::kServer && ends_stream && carries_message) {
    self->RunInCallback(
        [self, id = frame->hd.stream_id] { self->HandleRequest(id); });
  }
  return 0;
}

int Http2Connection::OnStreamClose(nghttp2_session*, std::int32_t stream_id,
                                   std::uint32_t error, void* user) {
  auto* self = Self(user);
  const auto found = self->streams_.find(stream_id);
  if (found == self->streams_.end()) return 0;
  auto stream = std::move(found->second);
  self->streams_.erase(found);
  if (stream.is_series) {
    if (error == NGHTTP2_NO_ERROR) self->series_end_ = self->written_;
    const bool is_cancelled = error != NGHTTP2_NO_ERROR || !stream.is_finished;
    if (is_cancelled && stream.on_cancelled) {
      self->Defer(std::move(stream.on_cancelled));
    }
    return 0;
  }
  if (stream.series) {
    self->CloseSeries(std::move(stream), error);
    return 0;
  }
  if (!stream.done) return 0;
  const bool is_complete = error == NGHTTP2_NO_ERROR && stream.status == kOk;
  const auto failure = stream.refused || error == NGHTTP2_REFUSED_STREAM
                           ? PeerStatus::kNotSent
                           : PeerStatus::kNoResponse;
  self->RunInCallback([&] {
    stream.done(is_complete ? PeerStatus::kOk : failure, stream.received);
  });
  return 0;
}

ssize_t Http2Connection::ReadBody(nghttp2_session*, std::int32_t stream_id,
                                  std::uint8_t* buffer, std::size_t length,
                                  std::uint32_t* flags, nghttp2_data_source*,
                                  void* user) {
  const auto found = Self(user)->streams_.find(stream_id);
  if (found == Self(user)->streams_.end()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    return 0;
  }
  auto& stream = found->second;
  const auto left =
      static_cast<std::size_t>(stream.to_send.size() - stream.sent);
  const auto count = std::min(left, length);
  std::memcpy(buffer, stream.to_send.constData() + stream.sent, count);
  stream.sent += static_cast<qsizetype>(count);
  if (count == left && stream.is_series && !stream.is_finished) {
    if (count == 0) return NGHTTP2_ERR_DEFERRED;
    stream.to_send.clear();
    stream.sent = 0;
    return static_cast<ssize_t>(count);
  }
  if (stream.is_series && stream.sent >= kMaxSentBytes) {
    stream.to_send.remove(0, std::exchange(stream.sent, 0));
  }
  if (count == left) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

void Http2Connection::HandleRequest(std::int32_t stream_id) {
  auto& stream = streams_[stream_id];
  if (stream.token != hooks_.token) {
    return SendResponse(stream_id, kUnauthorized, {});
  }
  ++hooks_.traffic->served;
  if (stream.is_series) return HandleSeriesRequest(stream_id);
  const auto kind = stream.kind;
  const auto message = std::exchange(stream.received, {});
  hooks_.handler(kind, message,
                 [weak = weak_from_this(), stream_id](const QByteArray& body) {
                   const auto self = weak.lock();
                   if (!self || self->closed_) return;
                   self->SendResponse(stream_id, kOk, body);
                   self->Flush();
                 });
}

void Http2Connection::SendResponse(std::int32_t stream_id, int status,
                                   const QByteArray& message) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end()) return;
  found->second.to_send = message;
  found->second.is_finished = true;
  const std::string text = std::to_string(status);
  const std::array<nghttp2_nv, 1> headers = {Header(":status", text)};
  nghttp2_data_provider body{};
  body.read_callback = ReadBody;
  nghttp2_submit_response(session_, stream_id, headers.data(), headers.size(),
                          &body);
}

void Http2Connection::Close() {
  if (closed_) return;
  socket_->abort();
  OnDisconnected();
}

void Http2Connection::Retire() {
  retired_ = true;
  // What waits for a connection was not sent, which its owners hear at once.
  if (!connected_ || IsIdle()) Close();
}

void Http2Connection::OnDisconnected() {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  auto queued_calls = std::exchange(queued_calls_, {});
  auto streams = std::exchange(streams_, {});
  for (auto& [call, queued] : queued_calls) {
    if (queued.series) {
      EndSeries(queued.series, PeerStatus::kNotSent);
    } else {
      queued.done(PeerStatus::kNotSent, {});
    }
  }
  for (auto& [id, stream] : streams) {
    if (stream.done) stream.done(PeerStatus::kNoResponse, {});
    if (stream.series) EndSeries(stream.series, PeerStatus::kNoResponse);
    if (stream.on_cancelled) stream.on_cancelled();
  }
  hooks_.on_closed(this);
}

}  // namespace firmoor::details
