#include "details/upstream_poller.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

namespace firmoor::details {
namespace {

constexpr HttpCallTimeouts kPollTimeouts{Duration(300), Duration(1'000),
                                         Duration(1'000)};
constexpr int kOk = 200;
constexpr int kHexBase = 16;

QJsonObject ParseObject(const std::string& body) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

std::vector<std::uint64_t> ParseChunks(const QJsonValue& value) {
  std::vector<std::uint64_t> chunks;
  for (const auto& item : value.toArray()) {
    chunks.push_back(item.toString().toULongLong(nullptr, kHexBase));
  }
  return chunks;
}

}  // namespace

UpstreamPoller::UpstreamPoller(Duration period, Hooks hooks)
    : hooks_(std::move(hooks)) {
  timer_.setInterval(period);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Poll(); });
  timer_.start();
}

void UpstreamPoller::Watch(const Vm& vm, bool has_cache) {
  auto& watched = watched_[vm.id];
  watched.vm = vm;
  watched.has_cache = has_cache;
  PollUpstream(&watched);
}

void UpstreamPoller::Unwatch(const std::string& id) { watched_.erase(id); }

void UpstreamPoller::Poll() {
  for (auto& [id, watched] : watched_) PollUpstream(&watched);
}

void UpstreamPoller::PollUpstream(Watched* watched) {
  if (watched->call) return;
  const auto& id = watched->vm.id;
  watched->polls_cache = watched->has_cache && !watched->polls_cache;
  if (watched->polls_cache) {
    const auto target =
        "/cache?after=" + std::to_string(watched->last_cache_event);
    watched->call =
        HttpFetch(watched->vm.endpoint, {"GET", target, {}, {}}, kPollTimeouts,
                  &pool_, [this, id](const HttpFetchResult& result) {
                    OnCacheResult(id, result);
                  });
    return;
  }
  watched->call = HttpFetch(
      watched->vm.endpoint, {"GET", "/load", {}, {}}, kPollTimeouts, &pool_,
      [this, id](const HttpFetchResult& result) { OnLoadResult(id, result); });
}

void UpstreamPoller::OnLoadResult(const std::string& id,
                                  const HttpFetchResult& result) {
  const auto found = watched_.find(id);
  if (found == watched_.end()) return;
  const auto done = std::move(found->second.call);
  const Vm vm = found->second.vm;
  if (result.end != HttpCallEnd::kComplete) {
    pool_.Forget(vm.endpoint);
    return hooks_.on_unreachable(vm);
  }
  if (result.answer.status != kOk) return;
  const auto object = ParseObject(result.answer.body);
  hooks_.on_load(vm, {object.value("running").toInteger(),
                      object.value("queued_tokens").toInteger()});
  if (object.value("leaving").toBool()) hooks_.on_leaving(vm);
}

void UpstreamPoller::OnCacheResult(const std::string& id,
                                   const HttpFetchResult& result) {
  const auto found = watched_.find(id);
  if (found == watched_.end()) return;
  const auto done = std::move(found->second.call);
  if (result.end != HttpCallEnd::kComplete || result.answer.status != kOk) {
    return;
  }
  const auto events = ParseObject(result.answer.body).value("events").toArray();
  for (const auto& value : events) {
    const auto event = value.toObject();
    found->second.last_cache_event = event.value("number").toInteger();
    hooks_.on_cache(found->second.vm, ParseChunks(event.value("stored")),
                    ParseChunks(event.value("removed")));
  }
}

}  // namespace firmoor::details
