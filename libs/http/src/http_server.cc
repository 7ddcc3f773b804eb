#include "http/http_server.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/invariant.h"
#include "base/log.h"
#include "details/server_connection.h"
#include "http/accept_recovery.h"

namespace firmoor {
namespace {

constexpr Logger kLog("http");
constexpr int kListenBacklog = 1'024;
// For which a connection keeps its place that waits for its caller.
constexpr Duration kMinPlaceTime{200};
// Connections that are answered as they give way go beyond the limit by a part
// of it at most.
constexpr std::size_t kAnsweredPart = 16;

}  // namespace

std::string_view NameOf(ConnectionCut reason) {
  constexpr std::string_view kNames[] = {"idle",    "connections", "stop",
                                         "aborted", "pipelined",   "failed",
                                         "stalled", "upload",      "gave-way"};
  return kNames[static_cast<int>(reason)];
}

HttpResponder::HttpResponder(
    std::weak_ptr<details::ServerConnection> connection,
    std::shared_ptr<BodyBudget::Share> request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

void HttpResponder::HoldUntilTaken(std::shared_ptr<BodyBudget::Share> share) {
  if (const auto connection = connection_.lock()) {
    connection->HoldUntilTaken(std::move(share));
  }
}

void HttpResponder::Send(const HttpResponse& response) {
  if (const auto connection = connection_.lock()) connection->Send(response);
}

void HttpResponder::StartStream(int status, const HttpHeaders& headers) {
  if (const auto connection = connection_.lock()) {
    connection->StartStream(status, headers);
  }
}

void HttpResponder::StartStreamUntilClose(int status,
                                          const HttpHeaders& headers) {
  if (const auto connection = connection_.lock()) {
    connection->StartStreamUntilClose(status, headers);
  }
}

void HttpResponder::Write(std::string_view bytes) {
  if (const auto connection = connection_.lock()) connection->Write(bytes);
}

void HttpResponder::FinishStream() {
  if (const auto connection = connection_.lock()) connection->FinishStream();
}

void HttpResponder::Abort() {
  if (const auto connection = connection_.lock()) {
    connection->Abort(ConnectionCut::kAborted);
  }
}

bool HttpResponder::IsOpen() const {
  const auto connection = connection_.lock();
  return connection && connection->IsResponding();
}

void HttpResponder::Discard() {
  if (const auto connection = connection_.lock()) {
    connection->Abort(ConnectionCut::kStalled);
  }
}

void HttpResponder::OnSent(std::function<void()> handler) {
  if (const auto connection = connection_.lock()) {
    connection->SetSentHandler(std::move(handler));
  }
}

std::size_t HttpResponder::UnsentBytes() const {
  const auto connection = connection_.lock();
  return connection ? connection->UnsentBytes() : 0;
}

void HttpResponder::OnCallerDisconnected(std::function<void()> handler) {
  if (const auto connection = connection_.lock()) {
    connection->SetCallerDisconnectedHandler(std::move(handler));
  }
}

std::string HttpResponder::CallerAddress() const {
  const auto connection = connection_.lock();
  return connection ? connection->CallerAddress() : std::string();
}

struct HttpServer::Builder::Impl {
  Endpoint endpoint;
  std::shared_ptr<details::ServerConnectionContext> context =
      std::make_shared<details::ServerConnectionContext>();
  QTcpServer listener;
  AcceptRecovery accept_recovery{&listener};
  std::uint64_t accepted = 0;  ///< Connections since the start.
  std::unordered_map<details::ServerConnection*,
                     std::shared_ptr<details::ServerConnection>>
      connections;

  void Accept();
  /// Closes a connection for a new one. Returns false if none gives way.
  bool MakePlace();
  void RemoveConnection(details::ServerConnection* connection);
};

void HttpServer::Builder::Impl::Accept() {
  while (QTcpSocket* socket = listener.nextPendingConnection()) {
    socket->setParent(nullptr);
    ++accepted;
    if (connections.size() >= context->limits.connections && !MakePlace()) {
      context->CountCut(ConnectionCut::kConnections);
      socket->abort();
      socket->deleteLater();
      continue;
    }
    const auto connection = std::make_shared<details::ServerConnection>(
        socket, context, [this](details::ServerConnection* closed) {
          RemoveConnection(closed);
        });
    connections.emplace(connection.get(), connection);
    connection->Start();
  }
}

bool HttpServer::Builder::Impl::MakePlace() {
  // What has just begun is most likely an ordinary caller's.
  const auto latest = MonotonicNow() - kMinPlaceTime;
  std::optional<details::PlaceClaim> least;
  std::shared_ptr<details::ServerConnection> leaving;
  for (const auto& [key, connection] : connections) {
    const auto claim = connection->Claim();
    if (!claim || claim->since > latest || (least && *least <= *claim)) {
      continue;
    }
    if (connection->HasUnnoticedInput()) continue;
    least = claim;
    leaving = connection;
  }
  const auto& limit = context->limits.connections;
  if (leaving) {
    leaving->LeavePlace(connections.size() <= limit + limit / kAnsweredPart);
  }
  return leaving != nullptr;
}

void HttpServer::Builder::Impl::RemoveConnection(
    details::ServerConnection* connection) {
  const auto found = connections.find(connection);
  if (found == connections.end()) return;
  // Destroyed from the event loop, since the connection may be on the call
  // stack.
  QMetaObject::invokeMethod(
      &listener, [keep = found->second] {}, Qt::QueuedConnection);
  connections.erase(found);
}

HttpServer::Builder::Builder() : impl_(std::make_unique<Impl>()) {}
HttpServer::Builder::Builder(Builder&&) noexcept = default;
HttpServer::Builder::~Builder() = default;

HttpServer::Builder& HttpServer::Builder::Listen(Endpoint endpoint) {
  impl_->endpoint = std::move(endpoint);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::Limits(HttpServerLimits limits) {
  impl_->context->limits = limits;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::Handler(HttpServer::Handler handler) {
  impl_->context->handler = std::move(handler);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::HeadCheck(
    HttpServer::HeadCheck check) {
  impl_->context->head_check = std::move(check);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::Uploads(
    std::shared_ptr<BodyBudget> budget) {
  impl_->context->uploads = std::move(budget);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::OnGaveWay(
    HttpServer::GaveWay handler) {
  impl_->context->on_gave_way = std::move(handler);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::ErrorResponse(
    HttpServer::ErrorResponse make) {
  impl_->context->error_response = std::move(make);
  return *this;
}

std::unique_ptr<HttpServer> HttpServer::Builder::Build() {
  FIRMOOR_PRECONDITION(impl_->context->handler,
                       "an HTTP server needs a request handler");
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl_)));
}

HttpServer::HttpServer(std::unique_ptr<Builder::Impl> impl)
    : impl_(std::move(impl)) {
  auto* state = impl_.get();
  QObject::connect(&state->listener, &QTcpServer::newConnection,
                   &state->listener, [state] { state->Accept(); });
}

HttpServer::~HttpServer() {
  impl_->listener.close();
  auto connections = std::move(impl_->connections);
  impl_->connections.clear();
  connections.clear();
}

bool HttpServer::Start() {
  impl_->listener.setListenBacklogSize(kListenBacklog);
  const QHostAddress address(QString::fromStdString(impl_->endpoint.address));
  const bool listening = impl_->listener.listen(address, impl_->endpoint.port);
  if (!listening) {
    kLog.Error("Cannot listen on {}: {}.", impl_->endpoint.ToString(),
               impl_->listener.errorString().toStdString());
  }
  return listening;
}

bool HttpServer::IsAddressInUse() const {
  return impl_->listener.serverError() == QAbstractSocket::AddressInUseError;
}

void HttpServer::SetLimits(HttpServerLimits limits) {
  impl_->context->limits = limits;
  for (const auto& [key, connection] : impl_->connections) {
    connection->ExtendTimeout();
  }
}

void HttpServer::CloseAfterResponses() { impl_->context->closing = true; }

void HttpServer::StopAccepting() {
  // Connections that wait when the listener closes are reset. A wait that was
  // followed by no connection would be followed by none again.
  auto before = impl_->accepted;
  do {
    before = impl_->accepted;
    if (impl_->listener.waitForNewConnection(0)) impl_->Accept();
  } while (impl_->accepted > before);
  impl_->listener.close();
  CloseAfterResponses();
}

void HttpServer::StopListening() {
  StopAccepting();
  impl_->context->stopped = true;
  std::vector<std::shared_ptr<details::ServerConnection>> open;
  for (const auto& [key, connection] : impl_->connections) {
    open.push_back(connection);
  }
  for (const auto& connection : open) connection->CloseIfIdle();
}

std::uint64_t HttpServer::CutCount(ConnectionCut reason) const {
  return impl_->context->cuts.at(static_cast<std::size_t>(reason));
}

std::uint64_t HttpServer::AcceptFailures() const {
  return impl_->accept_recovery.failures();
}

std::size_t HttpServer::ConnectionCount() const {
  return impl_->connections.size();
}

std::uint16_t HttpServer::Port() const { return impl_->listener.serverPort(); }

}  // namespace firmoor
