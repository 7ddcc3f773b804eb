// Stand-in for a plain service.
//
// Every POST runs a piece of work; runs are counted by the header `Work-Id`.
// The header `Act` of a request, or POST /control {"act": ..., "count": N},
// makes it misbehave:
//   die        does the work and closes the connection without an answer
//   silent     does the work and never answers
//   refuse     does not run: 503 with the header `Not-Run: true`
//   crash      does the work and ends the process
//   late:MS    does the work and answers after MS milliseconds
//   cut        does the work and sends half of the answer
// With --journal FILE each run is also appended to a file, which outlives
// the process. GET /runs shows the counts as a JSON object.

#include <CLI/CLI.hpp>
#include <QFile>
#include <QTimer>
#include <cstdlib>
#include <map>
#include <memory>

#include "base/log.h"
#include "command_line.h"

namespace firmoor {
namespace {

constexpr Logger kLog("plain-standin");

class PlainService {
 public:
  PlainService(const Endpoint& endpoint, const std::string& journal)
      : journal_(QString::fromStdString(journal)) {
    if (!journal.empty()) {
      journal_.open(QIODevice::Append | QIODevice::Unbuffered);
    }
    server_ = ServeFor(this, endpoint);
  }
  bool Start() { return server_->Start(); }

  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder) {
    if (request.Path() == "/control") return Control(request, *responder);
    if (request.Path() == "/runs") return Runs(*responder);
    if (request.Path() == "/load") {
      return responder->Send(
          JsonAnswer(200, {{"running", running_}, {"leaving", leaving_}}));
    }
    std::string act(HeaderValue(request.headers, "Act"));
    if (act.empty() && act_count_ > 0) {
      --act_count_;
      act = act_;
    }
    if (act == "refuse") {
      return responder->Send({503, {{"Not-Run", "true"}}, "not run"});
    }
    const std::string id(HeaderValue(request.headers, "Work-Id"));
    const int run = ++runs_[id];
    if (journal_.isOpen() && !id.empty()) {
      journal_.write(QByteArray::fromStdString(id + "\n"));
    }
    Misbehave(act, responder,
              {200,
               {{"Content-Type", "text/plain"}},
               fmt::format("{} {} run {} of {}", request.method, request.target,
                           run, id)});
  }

 private:
  void Misbehave(const std::string& act, const Responder& responder,
                 const HttpResponse& answer) {
    if (act == "die") return responder->Abort();
    if (act == "silent") return silent_.push_back(responder);
    if (act == "crash") std::_Exit(1);
    if (act == "cut") {
      responder->StartStream(200, {});
      responder->Write("half");
      QTimer::singleShot(20, &context_, [responder] { responder->Abort(); });
      return;
    }
    const bool late = act.starts_with("late:");
    const int ms = late ? std::atoi(act.c_str() + 5) : work_ms_;
    if (ms == 0) return responder->Send(answer);
    ++running_;
    QTimer::singleShot(ms, &context_, [this, responder, answer] {
      --running_;
      responder->Send(answer);
    });
  }

  void Control(const HttpRequest& request, HttpResponder& responder) {
    const auto body = JsonBody(request);
    act_ = body.value(QLatin1String("act")).toString().toStdString();
    act_count_ = body.value(QLatin1String("count")).toInt(0);
    work_ms_ = body.value(QLatin1String("work_ms")).toInt(work_ms_);
    leaving_ = body.value(QLatin1String("leaving")).toBool(leaving_);
    responder.Send({200, {}, "ok"});
  }

  void Runs(HttpResponder& responder) {
    QJsonObject counts;
    for (const auto& [id, count] : runs_) {
      counts[QString::fromStdString(id)] = count;
    }
    responder.Send(JsonAnswer(200, counts));
  }

  std::unique_ptr<HttpServer> server_;
  QObject context_;
  QFile journal_;
  std::map<std::string, int> runs_;
  std::vector<Responder> silent_;
  std::string act_;
  int act_count_ = 0;
  int work_ms_ = 0;
  int running_ = 0;
  bool leaving_ = false;
};

}  // namespace
}  // namespace firmoor

/// Runs the stand-in until SIGTERM.
int main(int argc, char** argv) {
  CLI::App app("plain service stand-in");
  std::string listen;
  app.add_option("--listen", listen, "IP number:port")->required();
  std::string journal;
  app.add_option("--journal", journal, "File that lists the runs");
  CLI11_PARSE(app, argc, argv);
  const QCoreApplication application(argc, argv);
  firmoor::QuitOnSignals();
  firmoor::PlainService service(firmoor::Endpoint::Parse(listen), journal);
  if (!service.Start()) return 1;
  firmoor::kLog.Info("Listening on {}.", listen);
  return QCoreApplication::exec();
}
