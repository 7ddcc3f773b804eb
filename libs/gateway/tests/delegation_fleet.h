#ifndef FIRMOOR_GATEWAY_TESTS_DELEGATION_FLEET_H_
#define FIRMOOR_GATEWAY_TESTS_DELEGATION_FLEET_H_

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "details/delegation_messages.h"
#include "gateway_fixture.h"
#include "peer/peer_node.h"
#include "support/log_pipe.h"

namespace firmoor {

// Daemons that share the limits, at most.
constexpr std::size_t kDaemons = 3;

/// A port whose connections are never established: its queue of connections is
/// full.
class HangingPort {
 public:
  HangingPort() {
    REQUIRE(listener_.listen(QHostAddress(QHostAddress::LocalHost), 0));
    listener_.pauseAccepting();
    REQUIRE(::listen(static_cast<int>(listener_.socketDescriptor()), 0) == 0);
    for (auto& socket : queued_) {
      socket.connectToHost(QHostAddress(QHostAddress::LocalHost),
                           listener_.serverPort());
    }
    RunFor(20);
  }
  [[nodiscard]] Endpoint Address() const {
    return {"127.0.0.1", listener_.serverPort()};
  }

 private:
  QTcpServer listener_;
  std::array<QTcpSocket, 2> queued_;
};

/// A gateway that other gateways reach at its peer node.
struct Daemon {
  std::string name;
  LogPipe log;
  GatewayFixture fixture;
  std::unique_ptr<PeerNode> node;

  explicit Daemon(const std::string& daemon)
      : name(daemon), fixture(true, log.input(), SettingsOf(daemon)) {
    node =
        PeerNode::Builder()
            .Listen({"127.0.0.1", 0})
            .Token("secret")
            .Handler([this](const std::string& kind, const QByteArray& message,
                            const PeerNode::Reply& reply) {
              reply(fixture.gateway.ServePeer(kind, message)
                        .value_or(QByteArray()));
            })
            .StreamHandler([this](const std::string& kind,
                                  const QByteArray& message,
                                  const auto& responder) {
              fixture.gateway.ServePeerStream(kind, message, responder);
            })
            .Build();
    REQUIRE(node->Start());
    fixture.gateway.SeedSharedLimits(kDaemons, {});
    fixture.gateway.SetPeerCall([this](const Endpoint& peer,
                                       const std::string& kind,
                                       const QByteArray& message,
                                       Duration timeout, PeerNode::Done done) {
      node->Call(peer, kind, message, timeout, std::move(done));
    });
    fixture.gateway.SetPeerStreamCall(
        [this](const Endpoint& peer, const std::string& kind,
               const QByteArray& message, PeerStream::Handlers handlers) {
          return node->OpenStream(peer, kind, message, std::move(handlers));
        });
  }
  static GatewaySettings SettingsOf(const std::string& daemon) {
    GatewaySettings settings;
    settings.daemon = daemon;
    settings.location.availability_zone = "a";
    return settings;
  }
  [[nodiscard]] PeerAddress Address() const {
    return {name, "a", {"127.0.0.1", node->Port()}};
  }
  /// Other daemons do not reach this one any more, nor does it reach them.
  void Die() { node->Stop(); }
  /// Applies the current configuration again as the next version.
  void RenewConfiguration() {
    fixture.Reconfigure([](auto*) {});
  }
  [[nodiscard]] double QuotaUsed() {
    double sum = 0;
    for (const auto& [workspace, usage] : fixture.gateway.ReportQuotas()) {
      sum += usage.admitted;
    }
    return sum;
  }
};

/// A daemon whose replies to delegated requests the test chooses.
class ScriptedDaemon {
 public:
  using Responders = std::vector<std::shared_ptr<PeerStreamResponder>>;
  using Script = std::function<void(PeerStreamResponder&)>;

  /// Without a script it is of a build that does not serve streams.
  explicit ScriptedDaemon(Script script = nullptr)
      : script_(std::move(script)) {
    PeerNode::Builder builder;
    builder.Listen({"127.0.0.1", 0})
        .Token("secret")
        .Handler(
            [](const auto&, const auto&, const auto& reply) { reply({}); });
    if (script_) {
      builder.StreamHandler(
          [this](const auto&, const QByteArray& message, auto responder) {
            messages.push_back(message);
            responders.push_back(std::move(responder));
            script_(*responders.back());
          });
    }
    node_ = builder.Build();
    REQUIRE(node_->Start());
  }
  [[nodiscard]] PeerAddress Address() const {
    return {"scripted", "a", {"127.0.0.1", node_->Port()}};
  }

  std::vector<QByteArray> messages;
  Responders responders;

 private:
  Script script_;
  std::unique_ptr<PeerNode> node_;
};

/// A message of a daemon that got a request of another; streams are of version
/// "v1".
inline QByteArray EncodedReply(details::DelegationReply::Kind kind,
                               int status = 0, const std::string& body = "") {
  details::DelegationReply reply;
  reply.kind = kind;
  reply.response.status = status;
  reply.response.body = body;
  if (kind == details::DelegationReply::Kind::kStreamStart) {
    reply.version = "v1";
  }
  return reply.Encode();
}

/// Tells `daemon` that these are the other daemons.
inline void Introduce(Daemon& daemon, const std::vector<PeerAddress>& others) {
  DirectoryUpdate update;
  update.position = {1, 1};
  update.is_full = true;
  update.added = others;
  update.added.push_back(daemon.Address());
  daemon.fixture.gateway.ApplyDaemonDirectory(update);
}

/// Tells all of `daemons` of each other.
inline void Introduce(const std::vector<Daemon*>& daemons) {
  std::vector<PeerAddress> all;
  all.reserve(daemons.size());
  for (const auto* daemon : daemons) all.push_back(daemon->Address());
  for (auto* daemon : daemons) Introduce(*daemon, all);
}

/// The status line and headers of what a caller received.
inline std::string HeadOf(const std::string& received) {
  return received.substr(0, received.find("\r\n\r\n"));
}

/// Whether the caller has got `status` within `timeout_ms`.
inline bool WaitStatus(RawClient& caller, int status, int timeout_ms = 5'000) {
  caller.WaitFor("\r\n\r\n", timeout_ms);
  return caller.Received().starts_with("HTTP/1.1 " + std::to_string(status));
}

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_TESTS_DELEGATION_FLEET_H_
