#include "peer/peer_node.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "base/invariant.h"
#include "base/log.h"
#include "details/http2_connection.h"
#include "details/peer_stream_impl.h"
#include "details/retired_connections.h"
#include "http/accept_recovery.h"

namespace firmoor {
namespace {

constexpr Logger kLog("peer");
constexpr Duration kIdleTimeout{30'000};
// A connection is considered broken after this many consecutive calls without a
// response: the next call opens a new one. What is open on it goes on, since
// the peer may only have paused.
constexpr int kMaxUnansweredCalls = 2;
// Calls with a shorter time-out say nothing about the connection: daemons stand
// still for longer on a busy machine.
constexpr Duration kMinJudgedTimeout{500};
// Streams released without a message after less than this say nothing either:
// their owner may have left.
constexpr Duration kMinStreamWait{250};
// Neither do calls while messages of others come at least this often.
constexpr Duration kMinSilence{250};

using details::Http2Connection;
using ConnectionPtr = std::shared_ptr<Http2Connection>;

struct Client {
  ConnectionPtr connection;
  TimePoint last_used;
};

bool IsSilent(const Http2Connection& connection) {
  return MonotonicNow() - connection.heard_at() >= kMinSilence;
}

}  // namespace

struct PeerNode::Builder::Impl {
  Endpoint endpoint;
  std::string token;
  PeerNode::Handler handler;
  PeerNode::StreamHandler stream_handler;
  QTcpServer listener;
  AcceptRecovery accept_recovery{&listener};
  QTimer idle_timer;
  Traffic traffic;
  std::map<Endpoint, Client> clients;
  details::RetiredConnections retired;
  std::unordered_map<Http2Connection*, ConnectionPtr> servers;
  bool stopped = true;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Http2Connection::Hooks Hooks();
  void Accept();
  void OnClosed(Http2Connection* connection);
  ConnectionPtr Connect(const Endpoint& peer);
  void CloseIdle();
  void OnStreamReleased(const Endpoint& peer, const PeerStream::Impl& stream);
  /// Uses the connection to `peer` for no new calls if it has not answered
  /// repeatedly.
  void RetireIfUnanswered(const Endpoint& peer,
                          const ConnectionPtr& connection);
  void DeferDestruction(ConnectionPtr connection);
};

Http2Connection::Hooks PeerNode::Builder::Impl::Hooks() {
  return {handler, stream_handler, token, &traffic,
          [this](Http2Connection* closed) { OnClosed(closed); }};
}

void PeerNode::Builder::Impl::Accept() {
  while (auto* socket = listener.nextPendingConnection()) {
    socket->setParent(nullptr);
    const auto connection = std::make_shared<Http2Connection>(
        Http2Connection::Role::kServer, socket, Hooks());
    servers.emplace(connection.get(), connection);
    connection->Start();
  }
}

void PeerNode::Builder::Impl::DeferDestruction(ConnectionPtr connection) {
  // The connection may be on the call stack, within a callback of nghttp2.
  QMetaObject::invokeMethod(
      &idle_timer, [connection = std::move(connection)] {},
      Qt::QueuedConnection);
}

void PeerNode::Builder::Impl::OnClosed(Http2Connection* connection) {
  if (const auto found = servers.find(connection); found != servers.end()) {
    DeferDestruction(std::move(found->second));
    servers.erase(found);
  }
  if (auto found = retired.Remove(connection)) {
    DeferDestruction(std::move(found));
  }
  std::erase_if(clients, [&](auto& entry) {
    if (entry.second.connection.get() != connection) return false;
    DeferDestruction(std::move(entry.second.connection));
    return true;
  });
}

ConnectionPtr PeerNode::Builder::Impl::Connect(const Endpoint& peer) {
  auto& client = clients[peer];
  client.last_used = MonotonicNow();
  if (client.connection) return client.connection;
  auto* socket = new QTcpSocket();
  socket->bind(QHostAddress(QString::fromStdString(endpoint.address)));
  socket->connectToHost(QHostAddress(QString::fromStdString(peer.address)),
                        peer.port);
  auto connection = std::make_shared<Http2Connection>(
      Http2Connection::Role::kClient, socket, Hooks());
  client.connection = connection;
  connection->Start();
  return connection;
}

void PeerNode::Builder::Impl::CloseIdle() {
  const auto now = MonotonicNow();
  std::vector<ConnectionPtr> idle;
  for (const auto& [peer, client] : clients) {
    if (client.connection && client.connection->IsIdle() &&
        now - client.last_used > kIdleTimeout) {
      idle.push_back(client.connection);
    }
  }
  for (const auto& connection : idle) connection->Close();
}

void PeerNode::Builder::Impl::OnStreamReleased(const Endpoint& peer,
                                               const PeerStream::Impl& stream) {
  const auto connection = stream.connection.lock();
  if (!connection || stream.call->has_reply) return;
  const bool is_judged = MonotonicNow() - stream.opened_at >= kMinStreamWait;
  if (!is_judged || !IsSilent(*connection)) return;
  connection->CountUnanswered();
  RetireIfUnanswered(peer, connection);
}

void PeerNode::Builder::Impl::RetireIfUnanswered(
    const Endpoint& peer, const ConnectionPtr& connection) {
  if (connection->unanswered() < kMaxUnansweredCalls) return;
  const auto found = clients.find(peer);
  if (found == clients.end() || found->second.connection != connection) return;
  clients.erase(found);
  retired.Add(peer, connection);
  // Queued, since this may happen within a callback of a connection.
  QMetaObject::invokeMethod(
      &idle_timer,
      [this, peer, weak = std::weak_ptr(connection)] {
        if (const auto locked = weak.lock()) locked->Retire();
        for (const auto& excess : retired.Excess(peer)) excess->Close();
      },
      Qt::QueuedConnection);
}

PeerNode::Builder::Builder() : impl_(std::make_unique<Impl>()) {}
PeerNode::Builder::~Builder() = default;

PeerNode::Builder& PeerNode::Builder::Listen(Endpoint endpoint) {
  impl_->endpoint = std::move(endpoint);
  return *this;
}

PeerNode::Builder& PeerNode::Builder::Token(std::string token) {
  impl_->token = std::move(token);
  return *this;
}

PeerNode::Builder& PeerNode::Builder::Handler(PeerNode::Handler handler) {
  impl_->handler = std::move(handler);
  return *this;
}

PeerNode::Builder& PeerNode::Builder::StreamHandler(
    PeerNode::StreamHandler handler) {
  impl_->stream_handler = std::move(handler);
  return *this;
}

std::unique_ptr<PeerNode> PeerNode::Builder::Build() {
  FIRMOOR_PRECONDITION(impl_->handler, "a peer node must have a handler");
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(impl_)));
}

PeerNode::PeerNode(std::unique_ptr<Builder::Impl> impl)
    : impl_(std::move(impl)) {
  auto* state = impl_.get();
  QObject::connect(&state->listener, &QTcpServer::newConnection,
                   &state->listener, [state] { state->Accept(); });
  QObject::connect(&state->idle_timer, &QTimer::timeout, &state->idle_timer,
                   [state] { state->CloseIdle(); });
}

PeerNode::~PeerNode() { Stop(); }

bool PeerNode::IsAddressInUse() const {
  return impl_->listener.serverError() == QAbstractSocket::AddressInUseError;
}

bool PeerNode::Start() {
  const QHostAddress address(QString::fromStdString(impl_->endpoint.address));
  if (!impl_->listener.listen(address, impl_->endpoint.port)) {
    kLog.Error("Cannot listen on {}: {}.", impl_->endpoint.ToString(),
               impl_->listener.errorString().toStdString());
    return false;
  }
  impl_->stopped = false;
  impl_->idle_timer.start(kIdleTimeout / 3);
  return true;
}

void PeerNode::Stop() {
  if (std::exchange(impl_->stopped, true)) return;
  impl_->listener.close();
  impl_->idle_timer.stop();
  std::vector<ConnectionPtr> connections;
  for (const auto& [key, connection] : impl_->servers) {
    connections.push_back(connection);
  }
  for (const auto& [peer, client] : impl_->clients) {
    if (client.connection) connections.push_back(client.connection);
  }
  for (const auto& connection : impl_->retired.All()) {
    connections.push_back(connection);
  }
  for (const auto& connection : connections) connection->Close();
}

void PeerNode::Call(const Endpoint& peer, const std::string& kind,
                    const QByteArray& message, Duration timeout, Done done) {
  if (impl_->stopped) return done(PeerStatus::kNotSent, {});
  ++impl_->traffic.calls;
  const auto connection = impl_->Connect(peer);
  auto* impl = impl_.get();
  const auto timer = std::make_shared<QTimer>();
  timer->setSingleShot(true);
  const auto call = connection->Call(
      kind, message,
      [timer, judged = timeout >= kMinJudgedTimeout,
       weak = std::weak_ptr(connection),
       done = std::move(done)](PeerStatus status, const QByteArray& body) {
        timer->stop();
        timer->disconnect();
        if (const auto locked = weak.lock()) {
          if (status != PeerStatus::kNoResponse) {
            locked->OnAnswered();
          } else if (judged && IsSilent(*locked)) {
            locked->CountUnanswered();
          }
        }
        done(status, body);
      });
  QObject::connect(timer.get(), &QTimer::timeout, timer.get(),
                   [impl, peer, call, weak = std::weak_ptr(connection)] {
                     const auto locked = weak.lock();
                     if (!locked) return;
                     locked->Cancel(call);
                     impl->RetireIfUnanswered(peer, locked);
                   });
  timer->start(timeout);
}

std::unique_ptr<PeerStream> PeerNode::OpenStream(
    const Endpoint& peer, const std::string& kind, const QByteArray& message,
    PeerStream::Handlers handlers) {
  if (impl_->stopped) return nullptr;
  ++impl_->traffic.calls;
  const auto connection = impl_->Connect(peer);
  const auto stream = std::make_shared<PeerStream::Impl>();
  stream->connection = connection;
  stream->call = std::make_shared<details::SeriesCall>();
  stream->call->handlers = std::move(handlers);
  stream->opened_at = MonotonicNow();
  stream->on_released = [impl = impl_.get(),
                         alive = std::weak_ptr(impl_->alive),
                         peer](const PeerStream::Impl& released) {
    if (!alive.expired()) impl->OnStreamReleased(peer, released);
  };
  stream->id = connection->OpenSeries(kind, message, stream->call);
  return std::unique_ptr<PeerStream>(new PeerStream(stream));
}

bool PeerNode::HasUnsentSeries() const {
  const auto& servers = impl_->servers;
  return std::any_of(servers.begin(), servers.end(), [](const auto& entry) {
    return entry.second->HasUnsentSeries();
  });
}

PeerNode::Traffic PeerNode::traffic() const { return impl_->traffic; }

std::uint16_t PeerNode::Port() const { return impl_->listener.serverPort(); }

}  // namespace firmoor
