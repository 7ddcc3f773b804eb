// Relay that cuts connections on demand, to stand for a network partition.
//
// Each --route NAME,LISTEN,TARGET passes connections on. POST /control
// {"cut": [{"source": "127.0.1.", "route": "NAME"}]} replaces the cuts: a
// connection from an address with that prefix through that route goes silent
// (no byte, no close), and new ones are taken and stay silent. When a cut
// heals, the silent connections are closed.

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "command_line.h"
#include "support/relay.h"

namespace firmoor {
namespace {

constexpr Logger kLog("relay-standin");

struct Route {
  std::string name;
  Endpoint listen;
  Endpoint target;
};

/// The rules that the body of a control request asks for.
std::vector<Relay::Rule> ReadCuts(const HttpRequest& request) {
  std::vector<Relay::Rule> rules;
  const auto list = JsonBody(request).value(QLatin1String("cut")).toArray();
  for (const auto& value : list) {
    const auto cut = value.toObject();
    rules.push_back({cut.value("route").toString().toStdString(),
                     cut.value("source").toString().toStdString(),
                     RelayHarm::kSilent});
  }
  return rules;
}

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
  firmoor::Relay relay;
  for (const auto& route : routes) {
    if (relay.AddRoute(route.name, route.listen, route.target) == 0) return 1;
  }
  const auto server = firmoor::HttpServer::Builder()
                          .Listen(firmoor::Endpoint::Parse(control))
                          .Handler([&relay](const firmoor::HttpRequest& request,
                                            const auto& responder) {
                            relay.SetRules(firmoor::ReadCuts(request));
                            responder->Send({200, {}, "ok"});
                          })
                          .Build();
  if (!server->Start()) return 1;
  firmoor::kLog.Info("{} routes.", routes.size());
  return QCoreApplication::exec();
}
