// Stand-in for a model engine.
//
// POST /v1/completions and /v1/chat/completions stream words that follow from
// the prompt alone, so that a resumed stream can be checked word by word.
// Runs are counted by the field `request_id`. Closing the connection cancels.
// GET /load reports load, GET /cache?after=N cache events, GET /kv/ID tells
// whether the KV cache of a sequence is kept, GET /stats counts, POST /orders
// takes orders with a fencing number. POST /control {"leaving": true,
// "silent": true, "drop_after_tokens": N, "finish_after_tokens": N, "refuse":
// true} makes it misbehave.

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QTimer>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include "base/hash.h"
#include "base/log.h"
#include "command_line.h"
#include "emulator/engine_model.h"
#include "http/http_fetch.h"
#include "serving/prefix_chunks.h"

namespace firmoor {
namespace {

constexpr Logger kLog("engine-standin");
constexpr std::size_t kCacheEventsKept = 1'000;

std::string Text(const QJsonObject& object, const char* key) {
  return object.value(QLatin1String(key)).toString().toStdString();
}

/// Word `index` of the answer to `prompt`.
std::string WordOf(std::uint64_t prompt_hash, std::size_t index) {
  return fmt::format("w{:04x} ",
                     Hash64(std::to_string(index), prompt_hash) & 0xffff);
}

struct Stream {
  std::shared_ptr<HttpResponder> responder;
  std::uint64_t prompt_hash = 0;
  std::string request_id;
  bool chat = false;
  std::size_t sent = 0;
};

struct Options {
  std::string listen;
  EngineParameters shape;
  bool check_fencing = false;
  int cache_event_lag_ms = 200;
  int drop_every_cache_event = 0;
};

class Engine {
 public:
  explicit Engine(const Options& options)
      : options_(options), model_(options.shape) {
    server_ = ServeFor(this, Endpoint::Parse(options.listen));
    step_timer_.setSingleShot(true);
    step_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&step_timer_, &QTimer::timeout, &step_timer_,
                     [this] { FinishStep(); });
  }
  bool Start() { return server_->Start(); }

  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder) {
    const auto path = request.Path();
    if (path == "/control") return Control(request, *responder);
    if (path == "/stats") return Stats(*responder);
    if (path == "/load") return Load(*responder);
    if (path == "/cache") return Cache(request, *responder);
    if (path == "/orders") return Order(request, *responder);
    if (path.starts_with("/kv/")) return Kv(std::string(path), *responder);
    if (path.starts_with("/v1/")) return Generate(request, responder);
    responder->Send({404, {}, {}});
  }

 private:
  void Generate(const HttpRequest& request, const Responder& responder) {
    const auto body = JsonBody(request);
    const auto id = Text(body, "request_id");
    if (refuse_) {
      return responder->Send({503, {{"Not-Run", "true"}}, "full"});
    }
    ++runs_[id];
    const auto resume = body.value(QLatin1String("resume")).toObject();
    const auto source = Endpoint::Parse(Text(resume, "kv_source"));
    if (source.port == 0) return Begin(body, responder, false);
    const auto key = next_fetch_++;
    fetches_[key] = HttpFetch(
        source, {"GET", "/kv/" + id, {}, {}},
        {Duration(200), Duration(200), Duration(200)}, nullptr,
        [this, key, body, responder](const HttpFetchResult& result) {
          const bool imported = result.end == HttpCallEnd::kComplete &&
                                result.answer.status == 200;
          Begin(body, responder, imported);
          QTimer::singleShot(0, &step_timer_,
                             [this, key] { fetches_.erase(key); });
        });
  }

  static std::string PromptOf(const QJsonObject& body) {
    if (body.contains(QLatin1String("prompt"))) return Text(body, "prompt");
    std::string joined;
    for (const auto& value : body.value(QLatin1String("messages")).toArray()) {
      const auto message = value.toObject();
      joined += Text(message, "role") + ": " + Text(message, "content") + "\n";
    }
    return joined;
  }

  void Begin(const QJsonObject& body, const Responder& responder,
             bool imported) {
    if (!responder->IsOpen()) return;
    const auto prompt = PromptOf(body);
    const auto resume = body.value(QLatin1String("resume")).toObject();
    EngineSequence sequence;
    sequence.id = next_id_++;
    sequence.chunks = PrefixChunks(prompt);
    sequence.prompt_tokens = EstimateTokens(prompt);
    sequence.emitted_tokens =
        std::size_t(resume.value(QLatin1String("tokens")).toInt());
    sequence.max_tokens =
        std::size_t(body.value(QLatin1String("max_tokens")).toInt(16));
    sequence.priority = body.value(QLatin1String("priority")).toInt();
    sequence.kv_imported = imported;
    responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
    responder->OnCallerDisconnected([this, id = sequence.id] {
      model_.Cancel(id);
      streams_.erase(id);
      ++cancelled_;
    });
    streams_[sequence.id] = {responder, Hash64(prompt),
                             Text(body, "request_id"),
                             body.contains(QLatin1String("messages"))};
    kept_kv_.insert(Text(body, "request_id"));
    if (sequence.emitted_tokens >= sequence.max_tokens) {
      return End(sequence.id);
    }
    model_.Add(sequence);
    StartStep();
  }

  void StartStep() {
    if (step_timer_.isActive() || silent_) return;
    step_ = model_.Step();
    if (step_.ms <= 0) return;
    step_timer_.start(static_cast<int>(std::lround(step_.ms)));
  }

  void FinishStep() {
    for (const auto& event : step_.events) Emit(event);
    PublishCache();
    StartStep();
  }

  void Emit(const EngineModel::Event& event) {
    const auto found = streams_.find(event.id);
    if (found == streams_.end()) return;
    auto& stream = found->second;
    const auto word =
        QString::fromStdString(WordOf(stream.prompt_hash, event.token));
    const QJsonObject choice =
        stream.chat ? QJsonObject{{"index", 0},
                                  {"delta", QJsonObject{{"content", word}}}}
                    : QJsonObject{{"index", 0}, {"text", word}};
    const QJsonObject data{{"choices", QJsonArray{choice}}};
    stream.responder->Write(fmt::format(
        "data: {}\n\n",
        QJsonDocument(data).toJson(QJsonDocument::Compact).toStdString()));
    ++generated_;
    ++stream.sent;
    if (drop_after_ > 0 &&
        stream.sent >= static_cast<std::size_t>(drop_after_)) {
      const auto responder = stream.responder;
      return responder->Abort();
    }
    if (finish_after_ > 0 &&
        stream.sent >= static_cast<std::size_t>(finish_after_)) {
      // In good order but for the end marker.
      const auto responder = stream.responder;
      model_.Cancel(event.id);
      streams_.erase(event.id);
      return responder->FinishStream();
    }
    if (event.last) End(event.id);
  }

  void End(std::uint64_t id) {
    const auto stream = streams_.at(id);
    streams_.erase(id);
    stream.responder->Write("data: [DONE]\n\n");
    stream.responder->FinishStream();
  }

  void PublishCache() {
    auto change = model_.TakeCacheChange();
    if (change.stored.empty() && change.removed.empty()) return;
    const auto number = ++cache_events_made_;
    const int gap = options_.drop_every_cache_event;
    if (gap > 0 && number % static_cast<std::uint64_t>(gap) == 0) return;
    QTimer::singleShot(options_.cache_event_lag_ms, &step_timer_,
                       [this, number, change = std::move(change)] {
                         cache_events_[number] = change;
                         if (cache_events_.size() > kCacheEventsKept) {
                           cache_events_.erase(cache_events_.begin());
                         }
                       });
  }

  void Cache(const HttpRequest& request, HttpResponder& responder) {
    const auto after =
        std::uint64_t(std::atoll(request.QueryValue("after").c_str()));
    const auto hex = [](const std::vector<std::uint64_t>& chunks) {
      QJsonArray array;
      for (const auto chunk : chunks) {
        array.append(QString::fromStdString(fmt::format("{:016x}", chunk)));
      }
      return array;
    };
    QJsonArray events;
    for (auto it = cache_events_.upper_bound(after); it != cache_events_.end();
         ++it) {
      events.append(QJsonObject{{"number", static_cast<qint64>(it->first)},
                                {"stored", hex(it->second.stored)},
                                {"removed", hex(it->second.removed)}});
    }
    responder.Send(JsonAnswer(200, {{"events", events}}));
  }

  void Load(HttpResponder& responder) {
    if (silent_) return;
    responder.Send(JsonAnswer(
        200, {{"running", static_cast<qint64>(model_.running())},
              {"queued_tokens", static_cast<qint64>(model_.queued_tokens())},
              {"leaving", leaving_}}));
  }

  void Kv(const std::string& path, HttpResponder& responder) {
    const auto id = path.substr(std::string("/kv/").size());
    responder.Send({kept_kv_.contains(id) ? 200 : 404, {}, {}});
  }

  void Order(const HttpRequest& request, HttpResponder& responder) {
    const auto body = JsonBody(request);
    const auto number = body.value(QLatin1String("fencing")).toInteger();
    if (options_.check_fencing && number < fencing_) {
      return responder.Send(
          JsonAnswer(412, {{"fencing", static_cast<qint64>(fencing_)}}));
    }
    fencing_ = std::max<std::int64_t>(fencing_, number);
    ++orders_;
    responder.Send(
        JsonAnswer(200, {{"fencing", static_cast<qint64>(fencing_)}}));
  }

  void Control(const HttpRequest& request, HttpResponder& responder) {
    const auto body = JsonBody(request);
    leaving_ = body.value(QLatin1String("leaving")).toBool(leaving_);
    silent_ = body.value(QLatin1String("silent")).toBool(silent_);
    refuse_ = body.value(QLatin1String("refuse")).toBool(refuse_);
    drop_after_ =
        body.value(QLatin1String("drop_after_tokens")).toInt(drop_after_);
    finish_after_ =
        body.value(QLatin1String("finish_after_tokens")).toInt(finish_after_);
    StartStep();
    responder.Send({200, {}, "ok"});
  }

  void Stats(HttpResponder& responder) {
    int most_runs = 0;
    for (const auto& [id, count] : runs_) {
      most_runs = std::max(most_runs, count);
    }
    responder.Send(JsonAnswer(
        200, {{"requests", static_cast<qint64>(runs_.size())},
              {"most_runs", most_runs},
              {"generated", static_cast<qint64>(generated_)},
              {"prefilled", static_cast<qint64>(model_.prefilled_tokens())},
              {"recomputed", static_cast<qint64>(model_.recomputed_tokens())},
              {"cancelled", static_cast<qint64>(cancelled_)},
              {"running", static_cast<qint64>(model_.running())},
              {"orders", static_cast<qint64>(orders_)}}));
  }

  Options options_;
  EngineModel model_;
  std::unique_ptr<HttpServer> server_;
  QTimer step_timer_;
  EngineModel::StepResult step_;
  std::map<std::uint64_t, Stream> streams_;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> fetches_;
  std::map<std::string, int> runs_;
  std::set<std::string> kept_kv_;
  std::map<std::uint64_t, EngineModel::CacheChange> cache_events_;
  std::uint64_t cache_events_made_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_fetch_ = 1;
  std::uint64_t generated_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t orders_ = 0;
  std::int64_t fencing_ = 0;
  int drop_after_ = 0;
  int finish_after_ = 0;
  bool leaving_ = false;
  bool silent_ = false;
  bool refuse_ = false;
};

}  // namespace
}  // namespace firmoor

/// Runs the stand-in until SIGTERM.
int main(int argc, char** argv) {
  CLI::App app("model engine stand-in");
  firmoor::Options options;
  app.add_option("--listen", options.listen, "IP number:port")->required();
  app.add_option("--prefill-tokens-per-s", options.shape.prefill_tokens_per_s);
  app.add_option("--step-ms", options.shape.step_ms);
  app.add_option("--batch", options.shape.batch);
  app.add_option("--cache-chunks", options.shape.cache_chunks);
  app.add_option("--cache-event-lag-ms", options.cache_event_lag_ms);
  app.add_option("--drop-every-cache-event", options.drop_every_cache_event);
  app.add_flag("--check-fencing", options.check_fencing);
  CLI11_PARSE(app, argc, argv);
  const QCoreApplication application(argc, argv);
  firmoor::QuitOnSignals();
  firmoor::Engine engine(options);
  if (!engine.Start()) return 1;
  firmoor::kLog.Info("Listening on {}.", options.listen);
  return QCoreApplication::exec();
}
