#ifndef FIRMOOR_STANDINS_COMMAND_LINE_H_
#define FIRMOOR_STANDINS_COMMAND_LINE_H_

#include <sys/signalfd.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <QSocketNotifier>
#include <csignal>
#include <memory>
#include <string>

#include "http/http_server.h"

namespace firmoor {

/// Ends the event loop on SIGTERM or SIGINT.
inline void QuitOnSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const int descriptor = signalfd(-1, &signals, SFD_CLOEXEC);
  auto* notifier = new QSocketNotifier(descriptor, QSocketNotifier::Read,
                                       QCoreApplication::instance());
  QObject::connect(notifier, &QSocketNotifier::activated,
                   QCoreApplication::instance(),
                   [] { QCoreApplication::quit(); });
}

/// A server at `endpoint` whose requests go to `standin->Handle`.
template <typename Standin>
std::unique_ptr<HttpServer> ServeFor(Standin* standin,
                                     const Endpoint& endpoint) {
  return HttpServer::Builder()
      .Listen(endpoint)
      .Handler([standin](const HttpRequest& request, const auto& responder) {
        standin->Handle(request, responder);
      })
      .Build();
}

/// An answer with a JSON body.
inline HttpResponse JsonAnswer(int status, const QJsonObject& object) {
  return {status,
          {{"Content-Type", "application/json"}},
          QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
}

/// The JSON object of a body; empty when it is none.
inline QJsonObject JsonBody(const HttpRequest& request) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(request.body))
      .object();
}

}  // namespace firmoor

#endif  // FIRMOOR_STANDINS_COMMAND_LINE_H_
