#include "http/http_call.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/invariant.h"

namespace firmoor {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr qint64 kReadBytes = 64 * 1024;
constexpr std::size_t kIdlePerEndpoint = 16;
constexpr Duration kGrace{20};
constexpr std::uint32_t kAnswerHeaderBytes = 64 * 1024;
// Idle connections are used up to this age, or up to a part of the time that
// the server announces, which it may count from earlier.
constexpr Duration kIdleTime{4'000};
constexpr double kIdleTimePart = 0.6;
// A peer without power answers nothing: probes after a second of silence and
// the bound on unacknowledged bytes find it within two seconds.
constexpr int kProbeAfterS = 1;
constexpr int kProbeEveryS = 1;
constexpr int kProbes = 2;
constexpr unsigned kUnacknowledgedMs = 2'000;

void DetectDeadPeers(qintptr descriptor) {
  const auto handle = static_cast<int>(descriptor);
  const int on = 1;
  const auto set = [handle](int level, int option, const auto& value) {
    setsockopt(handle, level, option, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, on);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeEveryS);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

std::string Serialize(const std::string& host, const HttpRequest& request,
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
  text += request.body;
  return text;
}

struct SocketDeleter {
  void operator()(QTcpSocket* socket) const {
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
  }
};
using SocketPtr = std::unique_ptr<QTcpSocket, SocketDeleter>;

/// Tells how a connection ended after the socket object has closed it: Qt
/// reports a reset and a close in good order as the same error.
class EndProbe {
 public:
  EndProbe() = default;
  explicit EndProbe(qintptr descriptor)
      : descriptor_(dup(static_cast<int>(descriptor))) {}
  EndProbe(EndProbe&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  EndProbe& operator=(EndProbe&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~EndProbe() {
    if (descriptor_ >= 0) close(descriptor_);
  }

  /// After a reset the system does not know the peer any more.
  [[nodiscard]] bool WasReset() const {
    if (descriptor_ < 0) return false;
    sockaddr_storage peer{};
    socklen_t length = sizeof(peer);
    return getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer),
                       &length) != 0;
  }

 private:
  int descriptor_ = -1;
};

/// How long the server lets a connection idle, from its Keep-Alive header.
Duration IdleTimeOf(std::string_view keep_alive) {
  constexpr std::string_view kName = "timeout=";
  const auto at = keep_alive.find(kName);
  if (at == std::string_view::npos) return kIdleTime;
  const auto digits = keep_alive.substr(at + kName.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) return kIdleTime;
  const Duration announced = std::chrono::seconds(seconds);
  const auto usable = static_cast<double>(announced.count()) * kIdleTimePart;
  return std::min(kIdleTime, Duration(static_cast<std::int64_t>(usable)));
}

/// A connection that waits for its next call.
struct IdleConnection {
  SocketPtr socket;
  TimePoint usable_until;
};

}  // namespace

struct HttpConnectionPool::Impl {
  std::map<Endpoint, std::vector<IdleConnection>> idle;

  SocketPtr Take(const Endpoint& endpoint) {
    auto& sockets = idle[endpoint];
    while (!sockets.empty()) {
      IdleConnection connection = std::move(sockets.back());
      sockets.pop_back();
      const bool usable =
          connection.socket->state() == QAbstractSocket::ConnectedState &&
          connection.socket->bytesAvailable() == 0 &&
          MonotonicNow() < connection.usable_until;
      if (usable) return std::move(connection.socket);
    }
    idle.erase(endpoint);
    return nullptr;
  }

  void Keep(const Endpoint& endpoint, SocketPtr socket, Duration idle_timeout) {
    auto& sockets = idle[endpoint];
    const auto now = MonotonicNow();
    std::erase_if(sockets, [now](const IdleConnection& connection) {
      return now >= connection.usable_until;
    });
    if (sockets.size() >= kIdlePerEndpoint || idle_timeout <= Duration(0))
      return;
    socket->disconnect();
    sockets.push_back({std::move(socket), now + idle_timeout});
  }
};

std::string_view NameOf(HttpCallEnd end) {
  constexpr std::string_view kNames[] = {
      "complete",  "not-connected", "no-answer", "truncated",
      "malformed", "silent",        "cancelled"};
  return kNames[static_cast<int>(end)];
}

HttpConnectionPool::HttpConnectionPool() : impl_(std::make_unique<Impl>()) {}
HttpConnectionPool::~HttpConnectionPool() = default;

void HttpConnectionPool::Forget(const Endpoint& endpoint) {
  impl_->idle.erase(endpoint);
}

struct HttpCall::Builder::Impl
    : std::enable_shared_from_this<HttpCall::Builder::Impl> {
  Endpoint endpoint;
  HttpRequest request;
  std::string host;
  HttpCallTimeouts times;
  HttpConnectionPool* pool = nullptr;
  std::function<bool()> send_if;
  std::function<void(int, const HttpHeaders&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(HttpCallEnd)> on_end;

  SocketPtr socket;
  QTimer timer;
  QTimer whole_timer;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  bool may_have_been_sent = false;
  bool head_passed = false;
  bool paused = false;
  bool ended = false;
  bool in_grace = false;
  EndProbe end_probe;  ///< Of an answer whose end is the connection's.

  void Start();
  void ResetParser();
  void Connect();
  void SendRequest();
  void OnTimeout();
  void Read();
  void Parse();
  void PassHead();
  void PassBody();
  void OnClosed();
  void End(HttpCallEnd end);
};

void HttpCall::Builder::Impl::ResetParser() {
  parser.emplace();
  parser->eager(true);
  parser->header_limit(kAnswerHeaderBytes);
  parser->body_limit(boost::none);
  if (request.method == "HEAD") parser->skip(true);
}

void HttpCall::Builder::Impl::Start() {
  ResetParser();
  timer.setSingleShot(true);
  QObject::connect(&timer, &QTimer::timeout, &timer, [this] { OnTimeout(); });
  whole_timer.setSingleShot(true);
  QObject::connect(&whole_timer, &QTimer::timeout, &whole_timer,
                   [this] { End(HttpCallEnd::kTimedOut); });
  if (pool != nullptr) socket = pool->impl_->Take(endpoint);
  if (socket) {
    SendRequest();
  } else {
    Connect();
  }
}

void HttpCall::Builder::Impl::Connect() {
  socket.reset(new QTcpSocket());
  QObject::connect(socket.get(), &QTcpSocket::connected, &timer,
                   [this] { SendRequest(); });
  QObject::connect(socket.get(), &QTcpSocket::errorOccurred, &timer, [this] {
    if (!may_have_been_sent) End(HttpCallEnd::kNotConnected);
  });
  timer.start(times.connect);
  socket->connectToHost(QHostAddress(QString::fromStdString(endpoint.address)),
                        endpoint.port);
}

void HttpCall::Builder::Impl::SendRequest() {
  if (send_if && !send_if()) return End(HttpCallEnd::kNotConnected);
  QObject::connect(socket.get(), &QTcpSocket::readyRead, &timer,
                   [this] { Read(); });
  QObject::connect(socket.get(), &QTcpSocket::disconnected, &timer,
                   [this] { OnClosed(); });
  DetectDeadPeers(socket->socketDescriptor());
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket->setReadBufferSize(kReadBytes);
  const std::string text = Serialize(host.empty() ? endpoint.ToString() : host,
                                     request, pool != nullptr);
  may_have_been_sent = true;
  timer.start(times.first_byte);
  if (times.whole) whole_timer.start(*times.whole);
  socket->write(text.data(), static_cast<qint64>(text.size()));
}

void HttpCall::Builder::Impl::OnTimeout() {
  // A process that was frozen finds all timers due before it has read what
  // arrived meanwhile, so the network gets one more turn.
  if (!in_grace) {
    in_grace = true;
    timer.start(kGrace);
    return;
  }
  End(may_have_been_sent ? HttpCallEnd::kTimedOut : HttpCallEnd::kNotConnected);
}

void HttpCall::Builder::Impl::Read() {
  in_grace = false;
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

void HttpCall::Builder::Impl::Parse() {
  beast::error_code error;
  while (!ended && buffer.size() > 0 && !parser->is_done()) {
    const auto used = parser->put(buffer.data(), error);
    buffer.consume(used);
    if (error && error != http::error::need_more) {
      return End(HttpCallEnd::kMalformed);
    }
    if (parser->is_done() && parser->get().result_int() / 100 == 1) {
      ResetParser();  // An interim answer precedes the real one.
      continue;
    }
    PassHead();
    PassBody();
    if (error == http::error::need_more) break;
  }
  if (ended) return;
  if (parser->is_done()) return End(HttpCallEnd::kComplete);
  timer.start(head_passed ? times.idle : times.first_byte);
}

void HttpCall::Builder::Impl::PassHead() {
  if (ended || head_passed || !parser->is_header_done()) return;
  head_passed = true;
  if (parser->need_eof()) end_probe = EndProbe(socket->socketDescriptor());
  HttpHeaders headers;
  for (const auto& field : parser->get()) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  if (on_head) on_head(parser->get().result_int(), headers);
}

void HttpCall::Builder::Impl::PassBody() {
  if (ended || !head_passed) return;
  std::string bytes;
  bytes.swap(parser->get().body());
  if (!bytes.empty() && on_body) on_body(bytes);
}

void HttpCall::Builder::Impl::OnClosed() {
  if (ended) return;
  const auto self = shared_from_this();
  paused = false;
  Read();
  if (ended) return;
  if (!head_passed) return End(HttpCallEnd::kNoResponse);
  if (end_probe.WasReset()) return End(HttpCallEnd::kTruncated);
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
  whole_timer.stop();
  whole_timer.disconnect();
  const bool keep = end == HttpCallEnd::kComplete && pool != nullptr &&
                    parser->get().keep_alive() && !parser->need_eof() &&
                    socket && buffer.size() == 0 &&
                    socket->bytesAvailable() == 0 &&
                    socket->bytesToWrite() == 0 &&
                    socket->state() == QAbstractSocket::ConnectedState;
  if (keep) {
    const std::string_view keep_alive = parser->get()[http::field::keep_alive];
    pool->impl_->Keep(endpoint, std::move(socket), IdleTimeOf(keep_alive));
  } else {
    socket.reset();
    end_probe = {};
  }
  if (on_end) std::exchange(on_end, nullptr)(end);
}

HttpCall::Builder::Builder(Endpoint endpoint, HttpRequest request)
    : impl_(std::make_shared<Impl>()) {
  impl_->endpoint = std::move(endpoint);
  impl_->request = std::move(request);
}

HttpCall::Builder::~Builder() = default;

HttpCall::Builder& HttpCall::Builder::Timeouts(HttpCallTimeouts times) {
  impl_->times = times;
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

HttpCall::Builder& HttpCall::Builder::Pool(HttpConnectionPool* pool) {
  impl_->pool = pool;
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

HttpCall::Builder& HttpCall::Builder::OnEnd(
    std::function<void(HttpCallEnd)> handler) {
  impl_->on_end = std::move(handler);
  return *this;
}

std::unique_ptr<HttpCall> HttpCall::Builder::Start() {
  FIRMOOR_PRECONDITION(impl_->on_end, "a call has an end handler");
  auto* state = impl_.get();
  // Queued, so that no handler runs before the caller holds the call.
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

void HttpCall::DisableReuse() { impl_->pool = nullptr; }

void HttpCall::SetPaused(bool paused) {
  if (impl_->paused == paused || impl_->ended) return;
  impl_->paused = paused;
  if (paused) {
    impl_->timer.stop();
    return;
  }
  impl_->timer.start(impl_->times.idle);
  QMetaObject::invokeMethod(
      &impl_->timer,
      [state = impl_] {
        if (!state->ended) state->Read();
      },
      Qt::QueuedConnection);
}

bool HttpCall::MayHaveBeenSent() const { return impl_->may_have_been_sent; }

std::unique_ptr<HttpCall> HttpFetch(const Endpoint& endpoint,
                                    HttpRequest request, HttpCallTimeouts times,
                                    HttpConnectionPool* pool,
                                    std::function<void(HttpFetchResult)> done) {
  const auto answer = std::make_shared<HttpResponse>();
  return HttpCall::Builder(endpoint, std::move(request))
      .Timeouts(times)
      .Pool(pool)
      .OnHead([answer](int status, const HttpHeaders& headers) {
        answer->status = status;
        answer->headers = headers;
      })
      .OnBody([answer](std::string_view bytes) { answer->body += bytes; })
      .OnEnd([answer, done = std::move(done)](HttpCallEnd end) {
        done({end, end != HttpCallEnd::kNotConnected, std::move(*answer)});
      })
      .Start();
}

}  // namespace firmoor
