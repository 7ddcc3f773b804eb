#include "peer/peer_stream.h"

#include <utility>

#include "details/http2_connection.h"
#include "details/peer_stream_impl.h"

namespace firmoor {

PeerStream::PeerStream(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerStream::~PeerStream() {
  impl_->call->handlers = {};
  if (const auto connection = impl_->connection.lock()) {
    connection->CancelSeries(impl_->id);
  }
  if (impl_->on_released) impl_->on_released(*impl_);
}

bool PeerStream::MayHaveBeenSent() const {
  return impl_->call->may_have_been_sent;
}

void PeerStream::SetPaused(bool paused) {
  if (const auto connection = impl_->connection.lock()) {
    connection->SetSeriesPaused(impl_->id, paused);
  }
}

PeerStreamResponder::PeerStreamResponder(
    std::weak_ptr<details::Http2Connection> connection, std::int32_t stream_id)
    : connection_(std::move(connection)), stream_id_(stream_id) {}

PeerStreamResponder::~PeerStreamResponder() { Abort(); }

void PeerStreamResponder::Keep(std::shared_ptr<const void> resource) {
  if (const auto connection = connection_.lock()) {
    connection->KeepForSeries(stream_id_, std::move(resource));
  }
}

void PeerStreamResponder::Send(const QByteArray& message) {
  if (const auto connection = connection_.lock()) {
    connection->SendMessage(stream_id_, message);
  }
}

void PeerStreamResponder::Finish() {
  if (const auto connection = connection_.lock()) {
    connection->FinishSeries(stream_id_);
  }
}

void PeerStreamResponder::Abort() {
  if (const auto connection = connection_.lock()) {
    connection->AbortSeries(stream_id_);
  }
}

bool PeerStreamResponder::IsOpen() const {
  const auto connection = connection_.lock();
  return connection && connection->IsSeriesOpen(stream_id_);
}

std::size_t PeerStreamResponder::UnsentBytes() const {
  const auto connection = connection_.lock();
  return connection ? connection->UnsentBytes(stream_id_) : 0;
}

void PeerStreamResponder::OnSent(std::function<void()> handler) {
  if (const auto connection = connection_.lock()) {
    connection->OnSeriesSent(stream_id_, std::move(handler));
  }
}

void PeerStreamResponder::OnCancelled(std::function<void()> handler) {
  if (const auto connection = connection_.lock()) {
    connection->OnSeriesCancelled(stream_id_, std::move(handler));
  }
}

}  // namespace firmoor
