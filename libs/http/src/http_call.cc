#include "http/http_call.h"

#include <fmt/format.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "base/exception_barrier.h"
#include "base/invariant.h"
#include "details/dead_peer_detection.h"
#include "details/growing_string_body.h"
#include "details/head_scanner.h"
#include "details/idle_connections.h"
#include "details/reset_detector.h"
#include "details/unsent_limit.h"

namespace firmoor {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr qint64 kReadBytes = 64 * 1024;
constexpr Duration kReadGrace{20};
// Bounds the head, and each line that frames a chunk, with its extensions or
// the trailer.
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
// Idle connections are reused for up to this time, or for a fraction of the
// time-out that the server announces, since the server may start counting
// earlier.
constexpr Duration kIdleTimeout{4'000};
constexpr double kAnnouncedTimeoutFraction = 0.6;

// Larger bodies are handed over without a copy beside the head.
constexpr std::size_t kMaxInlineBodyBytes = 16 * 1024;

/// The request up to its body.
std::string SerializeHead(const std::string& host, const HttpRequest& request,
                          bool keep) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n",
                                 request.method, request.target, host);
  for (const auto& header : request.headers) {
    if (IsHopByHopHeader(header.name)) continue;
    text += fmt::format("{}: {}\r\n", header.name, header.value);
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    text += fmt::format("Content-Length: {}\r\n", request.body.size());
  }
  text += keep ? "\r\n" : "Connection: close\r\n\r\n";
  return text;
}

/// How long a connection may be reused, given the server's Keep-Alive header.
Duration IdleTimeoutFrom(std::string_view keep_alive) {
  constexpr std::string_view kName = "timeout=";
  const auto at = keep_alive.find(kName);
  if (at == std::string_view::npos) return kIdleTimeout;
  const auto digits = keep_alive.substr(at + kName.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) return kIdleTimeout;
  const Duration announced = std::chrono::seconds(seconds);
  const auto usable =
      static_cast<double>(announced.count()) * kAnnouncedTimeoutFraction;
  return std::min(kIdleTimeout, Duration(static_cast<std::int64_t>(usable)));
}

}  // namespace

std::string_view NameOf(HttpCallEnd end) {
  constexpr std::string_view kNames[] = {
      "complete",  "not-connected", "no-answer", "truncated",
      "malformed", "silent",        "cancelled", "too-large"};
  return kNames[static_cast<int>(end)];
}

struct HttpCall::Builder::Impl
    : std::enable_shared_from_this<HttpCall::Builder::Impl> {
  Endpoint endpoint;
  HttpRequest request;
  std::string host;
  HttpCallTimeouts timeouts;
  HttpConnectionPool* pool = nullptr;
  std::function<bool()> send_if;
  std::function<bool()> end_if_silent;
  std::function<void(int, const HttpHeaders&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_reset;
  std::function<void(HttpCallEnd)> on_end;

  details::SocketPtr socket;
  QTimer timer;
  QTimer total_timer;
  beast::flat_buffer buffer;
  std::optional<details::HeadScanner> head_scanner;
  std::optional<http::response_parser<details::GrowingStringBody>> parser;
  std::optional<std::uint64_t> max_body_bytes;
  std::uint64_t body_bytes = 0;
  qint64 unsent_bytes = 0;  ///< Of the request, not passed to the kernel yet.
  bool reused = false;
  bool may_have_been_sent = false;
  bool head_delivered = false;
  bool delimited_by_close = false;
  bool paused = false;
  bool ended = false;
  bool in_grace = false;
  /// Of a response delimited by the close, and of one without a head if that is
  /// asked for.
  details::ResetDetector reset_detector;

  /// Runs a handler of an event; an exception that leaves it ends the call.
  void Run(void (Impl::*handler)());
  void Start();
  void ResetParser();
  void Connect();
  void SendRequest();
  void OnTimeout();
  void OnTotalTimeout() { End(HttpCallEnd::kTimedOut); }
  void RestartTimer();
  void Read();
  /// Whether the parser may have the buffered bytes: they hold a whole head
  /// whose framing is accepted. Ends the call if it is not.
  bool AcceptHead();
  void Parse();
  void DeliverHead();
  void DeliverBody();
  /// Whether the response ended before its upstream could have the request.
  [[nodiscard]] bool IsCutUpload() const;
  void OnClosed();
  void End(HttpCallEnd end);
};

void HttpCall::Builder::Impl::Run(void (Impl::*handler)()) {
  const auto self = shared_from_this();
  RunWithBarrier(
      "a call's connection", [this, handler] { (this->*handler)(); },
      [this] { End(HttpCallEnd::kMalformed); });
}

void HttpCall::Builder::Impl::ResetParser() {
  head_scanner.emplace(details::HeadScanner::Message::kResponse);
  parser.emplace();
  parser->eager(true);
  parser->header_limit(kMaxResponseHeaderBytes);
  parser->body_limit(boost::none);
  if (request.method == "HEAD") parser->skip(true);
}

void HttpCall::Builder::Impl::Start() {
  ResetParser();
  timer.setSingleShot(true);
  QObject::connect(&timer, &QTimer::timeout, &timer,
                   [this] { Run(&Impl::OnTimeout); });
  total_timer.setSingleShot(true);
  QObject::connect(&total_timer, &QTimer::timeout, &total_timer,
                   [this] { Run(&Impl::OnTotalTimeout); });
  if (pool != nullptr) socket = pool->impl_->Take(endpoint);
  if (socket) {
    reused = true;
    SendRequest();
  } else {
    Connect();
  }
}

void HttpCall::Builder::Impl::Connect() {
  socket.reset(new QTcpSocket());
  QObject::connect(socket.get(), &QTcpSocket::connected, &timer,
                   [this] { Run(&Impl::SendRequest); });
  QObject::connect(socket.get(), &QTcpSocket::errorOccurred, &timer, [this] {
    if (!may_have_been_sent) End(HttpCallEnd::kNotConnected);
  });
  timer.start(timeouts.connect);
  socket->connectToHost(QHostAddress(QString::fromStdString(endpoint.address)),
                        endpoint.port);
}

void HttpCall::Builder::Impl::SendRequest() {
  if (send_if && !send_if()) return End(HttpCallEnd::kNotConnected);
  QObject::connect(socket.get(), &QTcpSocket::readyRead, &timer,
                   [this] { Run(&Impl::Read); });
  QObject::connect(socket.get(), &QTcpSocket::disconnected, &timer,
                   [this] { Run(&Impl::OnClosed); });
  QObject::connect(socket.get(), &QTcpSocket::bytesWritten, &timer,
                   [this](qint64 bytes) { unsent_bytes -= bytes; });
  if (on_reset) {
    reset_detector = details::ResetDetector(socket->socketDescriptor());
  }
  details::EnableDeadPeerDetection(socket->socketDescriptor(),
                                   timeouts.host_silent);
  // So that what the upstream leaves unread stays here, where it counts.
  details::LimitUnsentBytes(socket->socketDescriptor());
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket->setReadBufferSize(kReadBytes);
  std::string text = SerializeHead(host.empty() ? endpoint.ToString() : host,
                                   request, pool != nullptr);
  const auto body = std::exchange(request.body, {});
  const bool is_inline = body.size() <= kMaxInlineBodyBytes;
  if (is_inline) text += body;
  may_have_been_sent = true;
  timer.start(timeouts.first_byte);
  if (timeouts.total) total_timer.start(*timeouts.total);
  unsent_bytes = static_cast<qint64>(text.size());
  if (!is_inline) unsent_bytes += static_cast<qint64>(body.size());
  socket->write(text.data(), static_cast<qint64>(text.size()));
  // The socket shares the bytes and does not copy them.
  if (!is_inline) socket->write(QByteArray::fromStdString(body));
}

void HttpCall::Builder::Impl::OnTimeout() {
  // After a suspension of the process all timers are due before the data that
  // arrived meanwhile is read, so the event loop gets one more turn to read it.
  if (!in_grace) {
    in_grace = true;
    timer.start(kReadGrace);
    return;
  }
  if (!may_have_been_sent) return End(HttpCallEnd::kNotConnected);
  if (!end_if_silent || end_if_silent()) return End(HttpCallEnd::kTimedOut);
  in_grace = false;
  RestartTimer();
}

void HttpCall::Builder::Impl::RestartTimer() {
  // Also called by the read in which the receiver of the bytes paused the call.
  if (paused) return;
  timer.start(head_delivered ? timeouts.idle : timeouts.first_byte);
}

void HttpCall::Builder::Impl::Read() {
  if (ended || paused) return;
  const auto self = shared_from_this();
  while (!ended && !paused && socket->bytesAvailable() > 0) {
    const QByteArray bytes = socket->read(kReadBytes);
    const auto space = buffer.prepare(bytes.size());
    boost::asio::buffer_copy(space,
                             boost::asio::buffer(bytes.data(), bytes.size()));
    buffer.commit(bytes.size());
    Parse();
  }
}

bool HttpCall::Builder::Impl::AcceptHead() {
  using Result = details::HeadScanner::Result;
  const auto bytes = buffer.cdata();
  const auto result = head_scanner->Scan(
      {static_cast<const char*>(bytes.data()), bytes.size()});
  if (result == Result::kInvalid) End(HttpCallEnd::kMalformed);
  return result == Result::kComplete;
}

void HttpCall::Builder::Impl::Parse() {
  beast::error_code error;
  while (!ended && buffer.size() > 0 && !parser->is_done()) {
    if (!parser->got_some() && !AcceptHead()) break;
    const auto used = parser->put(buffer.data(), error);
    buffer.consume(used);
    if (error && error != http::error::need_more) {
      return End(HttpCallEnd::kMalformed);
    }
    if (parser->is_done() && parser->get().result_int() / 100 == 1) {
      ResetParser();  // An interim response precedes the final one.
      continue;
    }
    DeliverHead();
    DeliverBody();
    if (error == http::error::need_more) break;
  }
  if (ended) return;
  if (buffer.size() > kMaxResponseHeaderBytes && !parser->is_done()) {
    return End(HttpCallEnd::kMalformed);
  }
  if (parser->is_done()) return End(HttpCallEnd::kComplete);
  // Interim responses and parts of a head are no beginning of a response.
  if (!head_delivered) return;
  in_grace = false;
  RestartTimer();
}

void HttpCall::Builder::Impl::DeliverHead() {
  if (ended || head_delivered || !parser->is_header_done()) return;
  head_delivered = true;
  if (parser->need_eof()) {
    delimited_by_close = true;
    reset_detector = details::ResetDetector(socket->socketDescriptor());
  }
  HttpHeaders headers;
  for (const auto& field : parser->get()) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  if (on_head) on_head(parser->get().result_int(), headers);
  const auto announced = parser->content_length();
  const bool has_body = request.method != "HEAD";
  if (has_body && max_body_bytes && announced && *announced > *max_body_bytes) {
    End(HttpCallEnd::kTooLarge);
  }
}

void HttpCall::Builder::Impl::DeliverBody() {
  if (ended || !head_delivered) return;
  std::string bytes;
  bytes.swap(parser->get().body());
  body_bytes += bytes.size();
  if (!bytes.empty() && on_body) on_body(bytes);
  if (!ended && max_body_bytes && body_bytes > *max_body_bytes) {
    End(HttpCallEnd::kTooLarge);
  }
}

bool HttpCall::Builder::Impl::IsCutUpload() const {
  constexpr int kSuccessClass = 2;
  // An upstream that succeeds has read the request. One that rejects it may do
  // so by its head.
  return delimited_by_close && unsent_bytes > 0 &&
         parser->get().result_int() / 100 == kSuccessClass;
}

void HttpCall::Builder::Impl::OnClosed() {
  if (ended) return;
  const auto self = shared_from_this();
  paused = false;
  Read();
  if (ended) return;
  if (!head_delivered) {
    if (on_reset && reset_detector.WasReset()) on_reset();
    return End(HttpCallEnd::kNoResponse);
  }
  if (reset_detector.WasReset() || IsCutUpload()) {
    return End(HttpCallEnd::kTruncated);
  }
  beast::error_code error;
  parser->put_eof(error);
  End(error ? HttpCallEnd::kTruncated : HttpCallEnd::kComplete);
}

void HttpCall::Builder::Impl::End(HttpCallEnd end) {
  if (ended) return;
  ended = true;
  const auto self = shared_from_this();
  timer.stop();
  timer.disconnect();
  total_timer.stop();
  total_timer.disconnect();
  const bool keep = end == HttpCallEnd::kComplete && pool != nullptr &&
                    parser->get().keep_alive() && !parser->need_eof() &&
                    socket && buffer.size() == 0 &&
                    socket->bytesAvailable() == 0 &&
                    socket->bytesToWrite() == 0 &&
                    socket->state() == QAbstractSocket::ConnectedState;
  if (keep) {
    const std::string_view keep_alive = parser->get()[http::field::keep_alive];
    pool->impl_->Keep(endpoint, std::move(socket), IdleTimeoutFrom(keep_alive));
  } else {
    socket.reset();
    reset_detector = {};
  }
  if (on_end) std::exchange(on_end, nullptr)(end);
}

HttpCall::Builder::Builder(Endpoint endpoint, HttpRequest request)
    : impl_(std::make_shared<Impl>()) {
  impl_->endpoint = std::move(endpoint);
  impl_->request = std::move(request);
}

HttpCall::Builder::~Builder() = default;

HttpCall::Builder& HttpCall::Builder::Timeouts(HttpCallTimeouts timeouts) {
  impl_->timeouts = timeouts;
  return *this;
}

HttpCall::Builder& HttpCall::Builder::Host(std::string host) {
  impl_->host = std::move(host);
  return *this;
}

HttpCall::Builder& HttpCall::Builder::SendIf(std::function<bool()> condition) {
  impl_->send_if = std::move(condition);
  return *this;
}

HttpCall::Builder& HttpCall::Builder::EndIfSilent(
    std::function<bool()> condition) {
  impl_->end_if_silent = std::move(condition);
  return *this;
}

HttpCall::Builder& HttpCall::Builder::Pool(HttpConnectionPool* pool) {
  impl_->pool = pool;
  return *this;
}

HttpCall::Builder& HttpCall::Builder::LimitBody(std::uint64_t max_bytes) {
  impl_->max_body_bytes = max_bytes;
  return *this;
}

HttpCall::Builder& HttpCall::Builder::OnHead(
    std::function<void(int, const HttpHeaders&)> handler) {
  impl_->on_head = std::move(handler);
  return *this;
}

HttpCall::Builder& HttpCall::Builder::OnBody(
    std::function<void(std::string_view)> handler) {
  impl_->on_body = std::move(handler);
  return *this;
}

HttpCall::Builder& HttpCall::Builder::OnReset(std::function<void()> handler) {
  impl_->on_reset = std::move(handler);
  return *this;
}

HttpCall::Builder& HttpCall::Builder::OnEnd(
    std::function<void(HttpCallEnd)> handler) {
  impl_->on_end = std::move(handler);
  return *this;
}

std::unique_ptr<HttpCall> HttpCall::Builder::Start() {
  FIRMOOR_PRECONDITION(impl_->on_end, "an HTTP call needs an OnEnd handler");
  auto* state = impl_.get();
  // Queued, so that no handler runs before the caller has received the call.
  QMetaObject::invokeMethod(
      &state->timer,
      [state] {
        if (!state->ended) state->Start();
      },
      Qt::QueuedConnection);
  return std::unique_ptr<HttpCall>(new HttpCall(std::move(impl_)));
}

HttpCall::HttpCall(std::shared_ptr<Builder::Impl> impl)
    : impl_(std::move(impl)) {}

HttpCall::~HttpCall() {
  impl_->on_end = nullptr;
  impl_->on_head = nullptr;
  impl_->on_body = nullptr;
  impl_->End(HttpCallEnd::kCancelled);
}

void HttpCall::Cancel() { impl_->End(HttpCallEnd::kCancelled); }

void HttpCall::LimitBody(std::uint64_t max_bytes) {
  impl_->max_body_bytes = max_bytes;
}

void HttpCall::DisableReuse() { impl_->pool = nullptr; }

void HttpCall::SetPaused(bool paused) {
  if (impl_->paused == paused || impl_->ended) return;
  impl_->paused = paused;
  if (paused) {
    impl_->timer.stop();
    return;
  }
  impl_->in_grace = false;
  impl_->RestartTimer();
  QMetaObject::invokeMethod(
      &impl_->timer,
      [state = impl_] {
        if (!state->ended) state->Run(&Builder::Impl::Read);
      },
      Qt::QueuedConnection);
}

bool HttpCall::IsDelimitedByClose() const { return impl_->delimited_by_close; }

bool HttpCall::IsOnReusedConnection() const { return impl_->reused; }

bool HttpCall::MayHaveBeenSent() const { return impl_->may_have_been_sent; }

}  // namespace firmoor
