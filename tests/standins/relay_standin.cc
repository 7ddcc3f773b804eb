// Relay that cuts connections on demand, to stand for a network partition.
//
// Each --route NAME,LISTEN,TARGET passes connections on. POST /control
// {"cut": [{"source": "127.0.1.", "route": "NAME"}]} replaces the cuts: a
// connection from an address with that prefix through that route goes silent
// (no byte, no close), and new ones are taken and stay silent. When a cut
// heals, the silent connections are closed.

#include <CLI/CLI.hpp>
#include <QHostAddress>
#include <QJsonArray>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "command_line.h"

namespace firmoor {
namespace {

constexpr Logger kLog("relay-standin");

struct Route {
  std::string name;
  Endpoint listen;
  Endpoint target;
};

struct Cut {
  std::string source;
  std::string route;
};

class Relay {
 public:
  Relay(const Endpoint& control, const std::vector<Route>& routes) {
    for (const auto& route : routes) AddRoute(route);
    server_ = HttpServer::Builder()
                  .Listen(control)
                  .Handler([this](const HttpRequest& request,
                                  const std::shared_ptr<HttpResponder>& to) {
                    Control(request);
                    to->Send({200, {}, "ok"});
                  })
                  .Build();
  }
  bool Start() { return good_ && server_->Start(); }

 private:
  struct Pair {
    std::string source;
    std::string route;
    QTcpSocket* near = nullptr;
    QTcpSocket* far = nullptr;
    bool silent = false;
    bool closed = false;
  };

  void AddRoute(const Route& route) {
    auto* listener = new QTcpServer(&context_);
    good_ =
        good_ && listener->listen(
                     QHostAddress(QString::fromStdString(route.listen.address)),
                     route.listen.port);
    QObject::connect(listener, &QTcpServer::newConnection, listener,
                     [this, listener, route] { Accept(listener, route); });
  }

  void Accept(QTcpServer* listener, const Route& route) {
    while (auto* near = listener->nextPendingConnection()) {
      const auto pair = std::make_shared<Pair>();
      pair->source = near->peerAddress().toString().toStdString();
      pair->route = route.name;
      pair->near = near;
      pair->far = new QTcpSocket(&context_);
      pair->far->connectToHost(
          QHostAddress(QString::fromStdString(route.target.address)),
          route.target.port);
      pair->silent = IsCut(*pair);
      for (auto* socket : {near, pair->far}) {
        QObject::connect(socket, &QTcpSocket::readyRead, &context_,
                         [pair] { Move(*pair); });
        QObject::connect(socket, &QTcpSocket::disconnected, &context_,
                         [pair] { Close(*pair); });
        QObject::connect(socket, &QTcpSocket::errorOccurred, &context_,
                         [pair] { Close(*pair); });
      }
      QObject::connect(pair->far, &QTcpSocket::connected, &context_,
                       [pair] { Move(*pair); });
      pairs_.push_back(pair);
    }
    std::erase_if(pairs_, [](const auto& pair) { return pair->closed; });
  }

  static void Move(Pair& pair) {
    if (pair.silent || pair.closed) return;
    if (pair.far->state() != QAbstractSocket::ConnectedState) return;
    pair.far->write(pair.near->readAll());
    pair.near->write(pair.far->readAll());
  }

  static void Close(Pair& pair) {
    if (pair.closed || pair.silent) return;
    pair.near->write(pair.far->readAll());
    pair.closed = true;
    pair.near->disconnectFromHost();
    pair.far->disconnectFromHost();
    pair.near->deleteLater();
    pair.far->deleteLater();
  }

  [[nodiscard]] bool IsCut(const Pair& pair) const {
    for (const auto& cut : cuts_) {
      if (pair.route == cut.route && pair.source.starts_with(cut.source)) {
        return true;
      }
    }
    return false;
  }

  void Control(const HttpRequest& request) {
    cuts_.clear();
    const auto list = JsonBody(request).value(QLatin1String("cut")).toArray();
    for (const auto& value : list) {
      const auto cut = value.toObject();
      cuts_.push_back({cut.value("source").toString().toStdString(),
                       cut.value("route").toString().toStdString()});
    }
    for (const auto& pair : std::vector(pairs_)) {
      const bool was_silent = pair->silent;
      pair->silent = IsCut(*pair);
      if (was_silent && !pair->silent) Abort(*pair);
    }
  }

  static void Abort(Pair& pair) {
    if (pair.closed) return;
    pair.closed = true;
    pair.near->abort();
    pair.far->abort();
    pair.near->deleteLater();
    pair.far->deleteLater();
  }

  QObject context_;
  std::unique_ptr<HttpServer> server_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::vector<Cut> cuts_;
  bool good_ = true;
};

Route ParseRoute(const std::string& text) {
  const auto first = text.find(',');
  const auto second = text.find(',', first + 1);
  return {text.substr(0, first),
          Endpoint::Parse(text.substr(first + 1, second - first - 1)),
          Endpoint::Parse(text.substr(second + 1))};
}

}  // namespace
}  // namespace firmoor

/// Runs the relay until SIGTERM.
int main(int argc, char** argv) {
  CLI::App app("relay stand-in");
  std::string control;
  std::vector<std::string> texts;
  app.add_option("--control", control, "IP number:port")->required();
  app.add_option("--route", texts, "NAME,LISTEN,TARGET");
  CLI11_PARSE(app, argc, argv);
  const QCoreApplication application(argc, argv);
  firmoor::QuitOnSignals();
  std::vector<firmoor::Route> routes;
  routes.reserve(texts.size());
  for (const auto& text : texts) routes.push_back(firmoor::ParseRoute(text));
  firmoor::Relay relay(firmoor::Endpoint::Parse(control), routes);
  if (!relay.Start()) return 1;
  firmoor::kLog.Info("{} routes.", routes.size());
  return QCoreApplication::exec();
}
