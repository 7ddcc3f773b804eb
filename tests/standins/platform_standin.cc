// Stand-in for the platform: object API, VM list and cloud API.
//
// Faults are switched by POST /control with a JSON object:
//   outage_ms      nothing is answered for this long
//   slow_ms        every answer is this much late
//   lose_answers   the next N writes take effect and are not answered
//   stale_reads    the next N reads show the version before the last write
//   watch_lag_ms   watches end this much after the write that ends them
//   vms            replaces the VM list
//   list_lag_ms    the VM list shows changes this much late
//   refuse_starts  the cloud API refuses starts in this zone
//   check_fencing  the cloud API refuses orders with an old fencing number
// GET /cloud/offers lists prices; POST /cloud/desired takes the counts wanted
// of a service; GET /cloud shows what was ordered.
// GET /stats counts calls and the writes of each second.

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QTimer>
#include <QUrl>
#include <map>
#include <memory>
#include <vector>

#include "base/log.h"
#include "base/time.h"
#include "command_line.h"

namespace firmoor {
namespace {

constexpr Logger kLog("platform-standin");
constexpr int kWatchWaitMs = 5'000;
constexpr std::int64_t kMsPerSecond = 1'000;

struct Object {
  std::int64_t version = 0;
  std::string value;
  std::string previous;
};

struct Watcher {
  std::string name;
  std::int64_t after;
  std::shared_ptr<HttpResponder> responder;
};

class Platform {
 public:
  explicit Platform(const Endpoint& endpoint) {
    server_ = ServeFor(this, endpoint);
  }
  bool Start() { return server_->Start(); }

  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder) {
    if (request.Path() == "/control") return Control(request, *responder);
    if (request.Path() == "/stats") return Stats(*responder);
    if (MonotonicNow() < outage_until_) return held_.push_back(responder);
    if (slow_ms_ == 0) return Serve(request, responder);
    QTimer::singleShot(slow_ms_, &context_, [this, request, responder] {
      Serve(request, responder);
    });
  }

 private:
  void Serve(const HttpRequest& request, const Responder& responder) {
    const std::string path(request.Path());
    if (path == "/vms") return VmList(*responder);
    if (path == "/cloud") return CloudState(*responder);
    if (path == "/cloud/offers") return Offers(*responder);
    if (path == "/cloud/desired") return Desired(request, *responder);
    if (path.starts_with("/objects/")) {
      const auto name = path.substr(std::string("/objects/").size());
      if (request.method == "GET") return Read(name, *responder);
      if (request.method == "PUT") return Write(name, request, *responder);
    }
    if (path.starts_with("/watch/")) {
      return Watch(path.substr(std::string("/watch/").size()), request,
                   responder);
    }
    responder->Send({404, {}, {}});
  }

  static HttpResponse ObjectAnswer(const Object& object,
                                   const std::string& value) {
    return {200, {{"Object-Version", std::to_string(object.version)}}, value};
  }

  void Read(const std::string& name, HttpResponder& responder) {
    ++reads_;
    const auto found = objects_.find(name);
    const bool stale = stale_reads_ > 0 && found != objects_.end();
    if (stale) --stale_reads_;
    const bool absent = found == objects_.end() || found->second.version == 0;
    if (absent || (stale && found->second.version == 1)) {
      return responder.Send({404, {}, {}});
    }
    if (!stale) {
      return responder.Send(ObjectAnswer(found->second, found->second.value));
    }
    Object older = found->second;
    --older.version;
    responder.Send(ObjectAnswer(older, older.previous));
  }

  void Write(const std::string& name, const HttpRequest& request,
             HttpResponder& responder) {
    ++writes_;
    ++writes_by_second_[WallClockMs() / kMsPerSecond];
    auto& object = objects_[name];
    const auto expected = std::stoll(request.QueryValue("if-version"));
    if (expected != object.version) {
      ++conflicts_;
      return responder.Send(
          {409, {{"Object-Version", std::to_string(object.version)}}, {}});
    }
    object.previous = std::move(object.value);
    object.value = request.body;
    ++object.version;
    Notify(name);
    if (lose_answers_ > 0) {
      --lose_answers_;
      return responder.Abort();
    }
    responder.Send(
        {200, {{"Object-Version", std::to_string(object.version)}}, {}});
  }

  void Watch(const std::string& name, const HttpRequest& request,
             const Responder& responder) {
    ++reads_;
    const auto after = std::stoll(request.QueryValue("after"));
    const auto& object = objects_[name];
    if (object.version > after) {
      QTimer::singleShot(watch_lag_ms_, &context_, [this, name, responder] {
        const auto& written = objects_[name];
        responder->Send(ObjectAnswer(written, written.value));
      });
      return;
    }
    watchers_.push_back({name, after, responder});
    QTimer::singleShot(kWatchWaitMs, &context_, [responder] {
      responder->Send({404, {}, {}});
    });
  }

  void Notify(const std::string& name) {
    std::vector<Watcher> rest;
    for (auto& watcher : watchers_) {
      const auto& object = objects_[watcher.name];
      if (watcher.name == name && object.version > watcher.after) {
        if (MonotonicNow() >= outage_until_) {
          watcher.responder->Send(ObjectAnswer(object, object.value));
        }
      } else if (watcher.responder->IsOpen()) {
        rest.push_back(watcher);
      }
    }
    watchers_ = std::move(rest);
  }

  void VmList(HttpResponder& responder) {
    ++reads_;
    responder.Send({200,
                    {{"Content-Type", "application/json"}},
                    QJsonDocument(vms_).toJson().toStdString()});
  }

  void Offers(HttpResponder& responder) {
    QJsonArray offers;
    for (const char* zone : {"east", "west", "north"}) {
      offers.append(QJsonObject{{"availability_zone", zone},
                                {"market", "reclaimable"},
                                {"price_per_hour", 1.0},
                                {"reclaims_per_hour", 0.5}});
      offers.append(QJsonObject{{"availability_zone", zone},
                                {"market", "on-demand"},
                                {"price_per_hour", 3.0}});
    }
    responder.Send({200, {}, QJsonDocument(offers).toJson().toStdString()});
  }

  void Desired(const HttpRequest& request, HttpResponder& responder) {
    const auto order = JsonBody(request);
    const auto fencing = order.value("fencing").toInteger();
    const bool old = fencing < cloud_fencing_;
    if (old) ++old_orders_;
    if (old && check_fencing_) {
      return responder.Send(JsonAnswer(409, {{"fencing", cloud_fencing_}}));
    }
    cloud_fencing_ = fencing;
    ++orders_;
    QJsonArray refused;
    for (const auto& value : order.value("counts").toArray()) {
      const auto count = value.toObject();
      if (count.value("availability_zone").toString() == refuse_starts_ &&
          count.value("count").toInt() > 0) {
        refused.append(count);
      }
    }
    desired_[order.value("service").toString()] = order.value("counts");
    responder.Send(JsonAnswer(200, {{"refused", refused}}));
  }

  void CloudState(HttpResponder& responder) {
    responder.Send(JsonAnswer(200, {{"orders", orders_},
                                    {"old_orders", old_orders_},
                                    {"fencing", cloud_fencing_},
                                    {"desired", desired_}}));
  }

  void Control(const HttpRequest& request, HttpResponder& responder) {
    const auto body = JsonBody(request);
    const auto number = [&](const char* key, int fallback) {
      return body.value(QLatin1String(key)).toInt(fallback);
    };
    if (const int ms = number("outage_ms", -1); ms >= 0) Outage(ms);
    slow_ms_ = number("slow_ms", slow_ms_);
    lose_answers_ = number("lose_answers", lose_answers_);
    watch_lag_ms_ = number("watch_lag_ms", watch_lag_ms_);
    stale_reads_ = number("stale_reads", stale_reads_);
    list_lag_ms_ = number("list_lag_ms", list_lag_ms_);
    check_fencing_ = body.value("check_fencing").toBool(check_fencing_);
    refuse_starts_ = body.value("refuse_starts").toString(refuse_starts_);
    if (const auto vms = body.value(QLatin1String("vms")); vms.isArray()) {
      QTimer::singleShot(list_lag_ms_, &context_,
                         [this, list = vms.toArray()] { vms_ = list; });
    }
    responder.Send({200, {}, "ok"});
  }

  void Outage(int ms) {
    outage_until_ = MonotonicNow() + Duration(ms);
    QTimer::singleShot(ms, &context_, [this] {
      for (const auto& responder : held_) responder->Abort();
      held_.clear();
    });
  }

  void Stats(HttpResponder& responder) {
    std::int64_t peak = 0;
    for (const auto& [second, count] : writes_by_second_) {
      peak = std::max(peak, count);
    }
    responder.Send(
        JsonAnswer(200, {{"reads", static_cast<qint64>(reads_)},
                         {"writes", static_cast<qint64>(writes_)},
                         {"conflicts", static_cast<qint64>(conflicts_)},
                         {"peak_writes_per_s", static_cast<qint64>(peak)},
                         {"objects", static_cast<qint64>(objects_.size())}}));
  }

  std::unique_ptr<HttpServer> server_;
  QObject context_;
  std::map<std::string, Object> objects_;
  std::vector<Watcher> watchers_;
  std::vector<Responder> held_;
  QJsonArray vms_;
  TimePoint outage_until_;
  int slow_ms_ = 0;
  int lose_answers_ = 0;
  int stale_reads_ = 0;
  int watch_lag_ms_ = 0;
  int list_lag_ms_ = 0;
  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
  std::int64_t conflicts_ = 0;
  std::map<std::int64_t, std::int64_t> writes_by_second_;
  QJsonObject desired_;
  QString refuse_starts_;
  qint64 cloud_fencing_ = 0;
  qint64 orders_ = 0;
  qint64 old_orders_ = 0;
  bool check_fencing_ = true;
};

}  // namespace
}  // namespace firmoor

/// Runs the stand-in until SIGTERM.
int main(int argc, char** argv) {
  CLI::App app("platform stand-in");
  std::string listen;
  app.add_option("--listen", listen, "IP number:port")->required();
  CLI11_PARSE(app, argc, argv);
  const QCoreApplication application(argc, argv);
  firmoor::QuitOnSignals();
  firmoor::Platform platform(firmoor::Endpoint::Parse(listen));
  if (!platform.Start()) return 1;
  firmoor::kLog.Info("Listening on {}.", listen);
  return QCoreApplication::exec();
}
