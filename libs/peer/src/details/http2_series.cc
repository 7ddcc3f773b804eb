#include <QtEndian>
#include <algorithm>
#include <array>
#include <utility>

#include "details/http2_connection.h"

namespace firmoor::details {
namespace {

constexpr qsizetype kLengthBytes = sizeof(quint32);
constexpr int kOk = 200;

}  // namespace

std::uint64_t Http2Connection::OpenSeries(const std::string& kind,
                                          const QByteArray& message,
                                          std::shared_ptr<SeriesCall> call) {
  const auto id = next_call_++;
  QueuedCall queued{id, kind, message, nullptr, std::move(call)};
  if (connected_) {
    Submit(std::move(queued));
    Flush();
  } else {
    queued_calls_.emplace(id, std::move(queued));
  }
  return id;
}

Http2Connection::Stream* Http2Connection::FindCall(std::uint64_t call,
                                                   std::int32_t* stream_id) {
  const auto found = std::find_if(
      streams_.begin(), streams_.end(),
      [call](const auto& item) { return item.second.call == call; });
  if (found == streams_.end()) return nullptr;
  if (stream_id != nullptr) *stream_id = found->first;
  return &found->second;
}

void Http2Connection::CancelSeries(std::uint64_t call) {
  queued_calls_.erase(call);
  std::int32_t id = 0;
  auto* stream = FindCall(call, &id);
  if (stream == nullptr || closed_) return;
  stream->series.reset();
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  Flush();
}

void Http2Connection::SetSeriesPaused(std::uint64_t call, bool paused) {
  if (const auto queued = queued_calls_.find(call);
      queued != queued_calls_.end() && queued->second.series) {
    queued->second.series->is_paused = paused;
    return;
  }
  std::int32_t id = 0;
  auto* stream = FindCall(call, &id);
  if (stream == nullptr || closed_ || !stream->series) return;
  if (std::exchange(stream->series->is_paused, paused) == paused || paused) {
    return;
  }
  nghttp2_session_consume_stream(session_, id,
                                 std::exchange(stream->unconsumed, 0));
  // Queued, since the owner may not expect messages within this call.
  QMetaObject::invokeMethod(
      socket_,
      [weak = weak_from_this(), call] {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        self->DeliverMessages(call);
        self->Flush();
      },
      Qt::QueuedConnection);
}

void Http2Connection::ConsumeData(std::int32_t stream_id, Stream* stream,
                                  std::size_t length) {
  nghttp2_session_consume_connection(session_, length);
  const bool is_paused =
      stream != nullptr && stream->series && stream->series->is_paused;
  if (is_paused) {
    stream->unconsumed += length;
  } else {
    nghttp2_session_consume_stream(session_, stream_id, length);
  }
}

void Http2Connection::Deliver(const std::shared_ptr<SeriesCall>& series,
                              QByteArray* received) {
  while (received->size() >= kLengthBytes && !series->is_paused) {
    const auto length =
        static_cast<qsizetype>(qFromBigEndian<quint32>(received->constData()));
    if (received->size() - kLengthBytes < length) return;
    const QByteArray message = received->mid(kLengthBytes, length);
    received->remove(0, kLengthBytes + length);
    series->has_reply = true;
    // Copied, since the handler may delete the stream with its handlers.
    const auto handler = series->handlers.on_message;
    if (!handler) return;
    handler(message);
  }
}

void Http2Connection::DeliverMessages(std::uint64_t call) {
  auto* stream = FindCall(call);
  if (stream == nullptr || !stream->series) return;
  const auto series = stream->series;
  QByteArray received = std::exchange(stream->received, {});
  Deliver(series, &received);
  // The handlers may have ended this call or others.
  stream = FindCall(call);
  if (stream == nullptr) return;
  if (stream->received.isEmpty()) {
    stream->received = std::move(received);
  } else {
    stream->received.prepend(received);
  }
}

void Http2Connection::CloseSeries(Stream stream, std::uint32_t error) {
  const bool is_complete = error == NGHTTP2_NO_ERROR && stream.status == kOk;
  const auto failure = stream.refused || error == NGHTTP2_REFUSED_STREAM
                           ? PeerStatus::kNotSent
                           : PeerStatus::kNoResponse;
  Defer([this, series = std::move(stream.series),
         received = std::move(stream.received),
         status = is_complete ? PeerStatus::kOk : failure]() mutable {
    // What has arrived is delivered, also to a paused stream that ended.
    series->is_paused = false;
    Deliver(series, &received);
    EndSeries(series, received.isEmpty() || status != PeerStatus::kOk
                          ? status
                          : PeerStatus::kNoResponse);
  });
}

void Http2Connection::EndSeries(const std::shared_ptr<SeriesCall>& series,
                                PeerStatus status) {
  // Queued, since the owner may not expect it within the call that opens the
  // stream.
  QMetaObject::invokeMethod(
      socket_,
      [series, status] {
        const auto handler = std::exchange(series->handlers.on_end, nullptr);
        if (handler) handler(status);
      },
      Qt::QueuedConnection);
}

void Http2Connection::HandleSeriesRequest(std::int32_t stream_id) {
  auto& stream = streams_[stream_id];
  const std::string status = std::to_string(kOk);
  std::array<nghttp2_nv, 1> headers{};
  std::string name = ":status";
  std::string value = status;
  headers[0] = {reinterpret_cast<std::uint8_t*>(name.data()),
                reinterpret_cast<std::uint8_t*>(value.data()), name.size(),
                value.size(), NGHTTP2_NV_FLAG_NONE};
  nghttp2_data_provider body{};
  body.read_callback = ReadBody;
  nghttp2_submit_response(session_, stream_id, headers.data(), headers.size(),
                          &body);
  Defer([this, stream_id, kind = stream.kind,
         message = std::exchange(stream.received, {})] {
    // The client may have cancelled the call in the same read.
    if (!streams_.contains(stream_id)) return;
    const auto responder =
        std::make_shared<PeerStreamResponder>(weak_from_this(), stream_id);
    if (hooks_.stream_handler) {
      hooks_.stream_handler(kind, message, responder);
    } else {
      responder->Finish();
    }
  });
}

void Http2Connection::KeepForSeries(std::int32_t stream_id,
                                    std::shared_ptr<const void> resource) {
  const auto found = streams_.find(stream_id);
  if (found != streams_.end()) found->second.kept = std::move(resource);
}

void Http2Connection::SendMessage(std::int32_t stream_id,
                                  const QByteArray& message) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end() || closed_ || found->second.is_finished) return;
  QByteArray length(kLengthBytes, Qt::Uninitialized);
  qToBigEndian(static_cast<quint32>(message.size()), length.data());
  found->second.to_send.append(length).append(message);
  nghttp2_session_resume_data(session_, stream_id);
  Flush();
}

void Http2Connection::FinishSeries(std::int32_t stream_id) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end() || closed_) return;
  found->second.is_finished = true;
  found->second.on_cancelled = nullptr;
  nghttp2_session_resume_data(session_, stream_id);
  Flush();
}

void Http2Connection::AbortSeries(std::int32_t stream_id) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end() || closed_ || found->second.is_finished) return;
  found->second.is_finished = true;
  found->second.on_cancelled = nullptr;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id,
                            NGHTTP2_INTERNAL_ERROR);
  Flush();
}

void Http2Connection::OnSeriesCancelled(std::int32_t stream_id,
                                        std::function<void()> handler) {
  const auto found = streams_.find(stream_id);
  if (found != streams_.end()) found->second.on_cancelled = std::move(handler);
}

void Http2Connection::OnSeriesSent(std::int32_t stream_id,
                                   std::function<void()> handler) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end()) return;
  found->second.on_sent = std::move(handler);
  if (found->second.on_sent) {
    awaiting_sent_.insert(stream_id);
  } else {
    awaiting_sent_.erase(stream_id);
  }
}

void Http2Connection::NotifySent() {
  if (awaiting_sent_.empty() || std::exchange(notifies_sent_, true)) return;
  QMetaObject::invokeMethod(
      socket_,
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) return;
        self->notifies_sent_ = false;
        for (const auto id : std::set(self->awaiting_sent_)) {
          const auto found = self->streams_.find(id);
          if (found == self->streams_.end()) {
            self->awaiting_sent_.erase(id);
            continue;
          }
          // Copied, since the handler may replace it.
          const auto handler = found->second.on_sent;
          if (handler && !found->second.is_finished) handler();
        }
      },
      Qt::QueuedConnection);
}

bool Http2Connection::IsSeriesOpen(std::int32_t stream_id) const {
  const auto found = streams_.find(stream_id);
  return !closed_ && found != streams_.end() && !found->second.is_finished;
}

std::size_t Http2Connection::UnsentBytes(std::int32_t stream_id) const {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end() || closed_) return 0;
  return static_cast<std::size_t>(found->second.to_send.size() -
                                  found->second.sent + socket_->bytesToWrite());
}

bool Http2Connection::HasUnsentSeries() const {
  if (closed_) return false;
  const auto waiting = static_cast<std::uint64_t>(socket_->bytesToWrite());
  return written_ < series_end_ + waiting ||
         std::any_of(streams_.begin(), streams_.end(), [](const auto& item) {
           return item.second.is_series && item.second.is_finished;
         });
}

void Http2Connection::Defer(std::function<void()> action) {
  deferred_.push_back(std::move(action));
}

void Http2Connection::RunDeferred() {
  while (!deferred_.empty()) {
    for (const auto& action : std::exchange(deferred_, {})) action();
  }
}

}  // namespace firmoor::details
