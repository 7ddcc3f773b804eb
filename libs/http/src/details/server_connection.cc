#include "details/server_connection.h"

#include <fmt/format.h>

#include <QHostAddress>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "base/exception_barrier.h"
#include "details/request_head.h"
#include "details/reset_on_close.h"
#include "details/unsent_limit.h"

namespace firmoor::details {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Also what the socket reads ahead of this connection.
constexpr qint64 kReadBytes = 16 * 1024;
// The next request of a connection waits while more of the last response has
// not been taken.
constexpr qint64 kMaxUnsentBytes = 16 * 1024;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;

int StatusOf(const beast::error_code& error) {
  const bool too_large =
      error == http::error::body_limit || error == http::error::header_limit;
  return too_large ? kPayloadTooLarge : kBadRequest;
}

HttpRequest ToRequest(http::request<GrowingStringBody> message) {
  HttpRequest request = HeadOf(message);
  request.body = std::move(message.body());
  return request;
}

}  // namespace

ServerConnection::ServerConnection(
    QTcpSocket* socket, std::shared_ptr<ServerConnectionContext> context,
    std::function<void(ServerConnection*)> on_closed)
    : socket_(socket),
      context_(std::move(context)),
      on_closed_(std::move(on_closed)) {
  timer_.setSingleShot(true);
  memory_timer_.setSingleShot(true);
}

ServerConnection::~ServerConnection() {
  socket_->disconnect();
  socket_->deleteLater();
}

void ServerConnection::Start() {
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket_->setReadBufferSize(kReadBytes);
  LimitUnsentBytes(socket_->socketDescriptor());
  QObject::connect(socket_, &QTcpSocket::readyRead, socket_,
                   [this] { Run(&ServerConnection::ReadMore); });
  QObject::connect(socket_, &QTcpSocket::disconnected, socket_,
                   [this] { Run(&ServerConnection::OnDisconnected); });
  QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_,
                   [this] { Run(&ServerConnection::OnBytesWritten); });
  QObject::connect(&timer_, &QTimer::timeout, socket_,
                   [this] { Run(&ServerConnection::OnTimeout); });
  QObject::connect(&memory_timer_, &QTimer::timeout, socket_,
                   [this] { Run(&ServerConnection::ReadMore); });
  ResetParser();
  Run(&ServerConnection::ReadMore);
}

void ServerConnection::Run(Handler handler) {
  const auto self = shared_from_this();
  RunWithBarrier(
      "a caller's connection", [this, handler] { (this->*handler)(); },
      [this] { Abort(ConnectionCut::kFailed); });
}

void ServerConnection::ResetParser() {
  head_scanner_.emplace(HeadScanner::Message::kRequest);
  parser_.emplace();
  parser_->eager(true);
  expect_handled_ = false;
  is_head_checked_ = false;
  is_head_waiting_ = false;
  is_reading_request_ = false;
  upload_.reset();
  if (buffer_.size() == 0) buffer_ = {};
  phase_ = Phase::kReading;
  StartTimeout(context_->limits.idle_timeout);
}

void ServerConnection::StartTimeout(Duration timeout) {
  waiting_since_ = MonotonicNow();
  timeout_ = timeout;
  timer_.start(timeout);
}

void ServerConnection::ExtendTimeout() {
  if (phase_ != Phase::kReading || closed_) return;
  const auto& limits = context_->limits;
  const auto newest = HasInput() ? limits.request_timeout : limits.idle_timeout;
  if (newest <= timeout_) return;
  timeout_ = newest;
  const auto due = waiting_since_ + newest;
  timer_.start(std::max(due - MonotonicNow(), Duration(0)));
}

void ServerConnection::OnTimeout() {
  const auto left = waiting_since_ + timeout_ - MonotonicNow();
  if (left > Duration(0)) return timer_.start(left);
  const auto self = shared_from_this();
  const bool had_input = HasInput();
  // Reads what has arrived since the event loop last looked at the socket.
  socket_->waitForReadyRead(0);
  if (IsIdle()) return Abort(ConnectionCut::kIdle);
  // After a standstill the caller may have taken bytes unnoticed.
  if (IsHeldBack()) {
    return socket_->flush() ? StartTimeout(timeout_) : CutStalled();
  }
  if (phase_ != Phase::kReading || closed_) return;
  if (memory_timer_.isActive()) return RejectInput(kServiceUnavailable);
  if (had_input) RejectInput(kRequestTimeout);
}

void ServerConnection::OnBytesWritten() {
  if (phase_ == Phase::kStreaming && on_sent_) {
    // Copied, since the handler may replace it.
    const auto handler = on_sent_;
    handler();
  }
  UpdateHeldShare();
  const bool has_next = buffer_.size() > 0 || socket_->bytesAvailable() > 0;
  if (phase_ == Phase::kReading && !closed_ && !is_reading_request_ &&
      has_next) {
    waiting_since_ = MonotonicNow();
    return QueueRead();
  }
  if (!IsIdle()) return;
  // The caller is still reading the last response.
  waiting_since_ = MonotonicNow();
  if (context_->stopped) CloseIfIdle();
}

bool ServerConnection::IsIdle() const {
  return phase_ == Phase::kReading && !closed_ && !HasInput() &&
         socket_->bytesAvailable() == 0;
}

bool ServerConnection::IsHeldBack() const {
  return phase_ == Phase::kReading && !closed_ && !is_reading_request_ &&
         socket_->bytesToWrite() > kMaxUnsentBytes;
}

void ServerConnection::ReadMore() {
  if (phase_ != Phase::kReading || closed_ || IsHeldBack()) return;
  // What was read behind the last request comes first.
  const bool is_ahead = !is_reading_request_ && buffer_.size() > 0;
  const auto more =
      is_head_waiting_ ? 0 : std::min(kReadBytes, socket_->bytesAvailable());
  if (!TakeMemory(is_ahead ? buffer_.size() : more)) return;
  if (!is_ahead) {
    const QByteArray bytes = socket_->read(more);
    const auto space = buffer_.prepare(bytes.size());
    boost::asio::buffer_copy(space,
                             boost::asio::buffer(bytes.data(), bytes.size()));
    buffer_.commit(bytes.size());
  }
  if (!is_reading_request_ && buffer_.size() > 0) {
    is_reading_request_ = true;
    header_bytes_ = context_->limits.header_bytes;
    parser_->header_limit(header_bytes_);
    parser_->body_limit(context_->limits.body_bytes);
    StartTimeout(context_->limits.request_timeout);
  }
  ParseBuffered();
  ReturnMemory();
}

void ServerConnection::ParseBuffered() {
  if (!parser_->got_some() && !AcceptHead()) return;
  beast::error_code error;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const auto used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) break;
    if (error) return RejectInput(StatusOf(error));
  }
  if (parser_->is_done()) return DispatchRequest();
  // What is left is a part of the line that frames a chunk, or of the trailer.
  if (buffer_.size() > header_bytes_) return RejectInput(kPayloadTooLarge);
  if (parser_->is_header_done()) {
    if (RejectByHead()) return;
    HandleExpect();
  }
  if (socket_->bytesAvailable() > 0) QueueRead();
}

bool ServerConnection::AcceptHead() {
  const auto bytes = buffer_.cdata();
  const auto result = head_scanner_->Scan(
      {static_cast<const char*>(bytes.data()), bytes.size()});
  if (result == HeadScanner::Result::kInvalid) {
    RejectInput(kBadRequest);
  } else if (head_scanner_->fields() > context_->limits.header_fields ||
             head_scanner_->size() > header_bytes_ ||
             (result == HeadScanner::Result::kIncomplete &&
              buffer_.size() > header_bytes_)) {
    RejectInput(kPayloadTooLarge);
  } else if (result == HeadScanner::Result::kIncomplete) {
    if (socket_->bytesAvailable() > 0) QueueRead();
  } else {
    return TakeFieldMemory();
  }
  return false;
}

void ServerConnection::QueueRead() {
  // Bound to the timer: the socket outlives this connection.
  QMetaObject::invokeMethod(
      &timer_, [this] { Run(&ServerConnection::ReadMore); },
      Qt::QueuedConnection);
}

void ServerConnection::HandleExpect() {
  if (expect_handled_) return;
  expect_handled_ = true;
  const auto expect = parser_->get()[http::field::expect];
  if (!beast::iequals(expect, "100-continue")) return;
  socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::DispatchRequest() {
  timer_.stop();
  phase_ = Phase::kHandling;
  was_served_ = true;
  if (upload_) upload_->EndUpload();
  if (buffer_.size() == 0) buffer_ = {};
  auto message = parser_->release();
  keep_alive_ = message.keep_alive();
  is_chunked_ = message.version() >= 11;
  is_head_request_ = message.method() == http::verb::head;
  const auto self = shared_from_this();
  context_->handler(ToRequest(std::move(message)),
                    std::make_shared<HttpResponder>(self, std::move(upload_)));
}

void ServerConnection::RejectInput(int status) {
  is_head_request_ = false;
  Reject(context_->error_response ? context_->error_response(status)
                                  : HttpResponse{status, {}, {}});
}

void ServerConnection::Reject(const HttpResponse& response) {
  timer_.stop();
  memory_timer_.stop();
  phase_ = Phase::kHandling;
  keep_alive_ = false;
  buffer_ = {};
  // The parser may be on the call stack.
  QMetaObject::invokeMethod(
      &timer_, [this] { DropInput(); }, Qt::QueuedConnection);
  upload_.reset();
  Send(response);
}

void ServerConnection::DropInput() {
  if (closed_) parser_.emplace();
}

void ServerConnection::WriteHead(int status, const HttpHeaders& headers,
                                 std::string_view framing) {
  if (context_->closing) keep_alive_ = false;
  std::string head = fmt::format(
      "HTTP/1.1 {} {}\r\n", status,
      std::string(http::obsolete_reason(static_cast<http::status>(status))));
  for (const auto& header : headers) {
    if (IsHopByHopHeader(header.name)) continue;
    head += fmt::format("{}: {}\r\n", header.name, header.value);
  }
  head += framing;
  head += keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
  socket_->write(head.data(), static_cast<qint64>(head.size()));
}

void ServerConnection::HoldUntilTaken(
    std::shared_ptr<BodyBudget::Share> share) {
  if (phase_ == Phase::kReading || closed_) return;
  held_share_ = std::move(share);
  held_share_->StartDelivery(
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->GiveWay();
      },
      MonotonicNow());
}

bool ServerConnection::GiveWay() {
  const auto self = shared_from_this();
  if (socket_->flush()) return false;
  CutStalled();
  return true;
}

void ServerConnection::UpdateHeldShare() {
  if (!held_share_) return;
  if (socket_->bytesToWrite() == 0) return held_share_.reset();
  held_share_->OnTaken(MonotonicNow());
}

void ServerConnection::Send(const HttpResponse& response) {
  if (phase_ != Phase::kHandling || closed_) return;
  WriteHead(response.status, response.headers,
            fmt::format("Content-Length: {}\r\n", response.body.size()));
  if (!is_head_request_) {
    socket_->write(response.body.data(),
                   static_cast<qint64>(response.body.size()));
  }
  FinishResponse();
}

void ServerConnection::StartStream(int status, const HttpHeaders& headers) {
  if (phase_ != Phase::kHandling || closed_) return;
  phase_ = Phase::kStreaming;
  if (!is_chunked_) keep_alive_ = false;
  WriteHead(status, headers,
            is_chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void ServerConnection::StartStreamUntilClose(int status,
                                             const HttpHeaders& headers) {
  is_chunked_ = false;
  StartStream(status, headers);
}

void ServerConnection::Write(std::string_view bytes) {
  if (phase_ != Phase::kStreaming || closed_ || bytes.empty()) return;
  if (is_head_request_) return;
  const std::string chunk =
      is_chunked_ ? fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes)
                  : std::string(bytes);
  socket_->write(chunk.data(), static_cast<qint64>(chunk.size()));
}

void ServerConnection::FinishStream() {
  if (phase_ != Phase::kStreaming || closed_) return;
  if (is_chunked_ && !is_head_request_) socket_->write("0\r\n\r\n");
  FinishResponse();
}

void ServerConnection::FinishResponse() {
  on_caller_disconnected_ = nullptr;
  on_sent_ = nullptr;
  if (socket_->bytesToWrite() == 0) held_share_.reset();
  if (!keep_alive_) {
    if (buffer_.size() > 0 || socket_->bytesAvailable() > 0) {
      context_->CountCut(ConnectionCut::kPipelined);
    }
    // No response may follow one that carried `Connection: close`.
    phase_ = Phase::kReading;
    closed_ = true;
    waiting_since_ = MonotonicNow();
    buffer_ = {};
    upload_.reset();
    lingering_close_.emplace(socket_, [this] { CutStalled(); });
    lingering_close_->Start();
    if (socket_->state() == QAbstractSocket::UnconnectedState) {
      on_closed_(this);
    }
    return;
  }
  ResetParser();
  // Queued, so that pipelined requests do not recurse through the handler.
  QueueRead();
}

void ServerConnection::Abort(ConnectionCut reason) {
  if (closed_) return;
  context_->CountCut(reason);
  const bool would_end = phase_ == Phase::kStreaming && !is_chunked_;
  if (would_end || reason == ConnectionCut::kStalled) {
    ResetOnClose(socket_->socketDescriptor());
  }
  socket_->abort();
}

void ServerConnection::CutStalled() {
  const auto self = shared_from_this();
  context_->CountCut(ConnectionCut::kStalled);
  ResetOnClose(socket_->socketDescriptor());
  socket_->abort();
}

void ServerConnection::CloseIfIdle() {
  // Reads a request that has arrived since the event loop last ran.
  if (IsIdle()) socket_->waitForReadyRead(0);
  if (IsIdle() && socket_->bytesToWrite() == 0) Abort(ConnectionCut::kStop);
}

std::size_t ServerConnection::UnsentBytes() const {
  return closed_ ? 0 : static_cast<std::size_t>(socket_->bytesToWrite());
}

void ServerConnection::SetSentHandler(std::function<void()> handler) {
  if (!closed_) on_sent_ = std::move(handler);
}

void ServerConnection::SetCallerDisconnectedHandler(
    std::function<void()> handler) {
  on_caller_disconnected_ = std::move(handler);
}

std::string ServerConnection::CallerAddress() const {
  return Endpoint{socket_->peerAddress().toString().toStdString(),
                  socket_->peerPort()}
      .ToString();
}

void ServerConnection::OnDisconnected() {
  timer_.stop();
  closed_ = true;
  const auto self = shared_from_this();
  on_sent_ = nullptr;
  held_share_.reset();
  const auto handler = std::exchange(on_caller_disconnected_, nullptr);
  if (handler) handler();
  phase_ = Phase::kReading;
  on_closed_(this);
}

}  // namespace firmoor::details
