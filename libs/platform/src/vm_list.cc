#include "platform/vm_list.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <utility>

#include "base/log.h"
#include "http/http_fetch.h"

namespace firmoor {
namespace {

constexpr Logger kLog("vm-list");
constexpr int kOk = 200;
// 10,000 VMs with a few hundred bytes each.
constexpr std::uint64_t kMaxListBytes = 8 * 1024 * 1024;
constexpr HttpCallTimeouts kTimeouts{Duration(500), Duration(1'000),
                                     Duration(1'000)};

std::string GetString(const QJsonObject& object, const char* key) {
  return object.value(QLatin1String(key)).toString().toStdString();
}

}  // namespace

Result<std::vector<Vm>> ParseVmList(const std::string& json) {
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(json));
  if (!document.isArray()) {
    return Fail(ResultCode::kBadMessage, "the VM list is not a JSON array");
  }
  std::vector<Vm> vms;
  for (const auto& value : document.array()) {
    const auto object = value.toObject();
    Vm vm{GetString(object, "id"),
          GetString(object, "service"),
          GetString(object, "availability_zone"),
          GetString(object, "region"),
          Endpoint::Parse(GetString(object, "endpoint")),
          object.value(QLatin1String("reclaimable")).toBool(),
          object.value(QLatin1String("leaving")).toBool()};
    if (vm.id.empty() || vm.endpoint.port == 0) {
      return Fail(ResultCode::kBadMessage,
                  "a VM has no id or no valid endpoint");
    }
    vms.push_back(std::move(vm));
  }
  return vms;
}

struct VmListPoller::Impl {
  Endpoint endpoint;
  OnList on_list;
  QTimer timer;
  HttpConnectionPool pool;
  std::unique_ptr<HttpCall> call;
  bool reachable = true;

  void Poll() {
    if (call) return;
    HttpFetchOptions options;
    options.max_body_bytes = kMaxListBytes;
    call = HttpFetch(
        endpoint, {"GET", "/vms", {}, {}}, kTimeouts, &pool,
        [this](const HttpFetchResult& result) { OnResponse(result); },
        std::move(options));
  }

  void OnResponse(const HttpFetchResult& result) {
    const auto done = std::move(call);
    const bool answered =
        result.end == HttpCallEnd::kComplete && result.answer.status == kOk;
    if (answered != reachable) {
      reachable = answered;
      if (answered) {
        kLog.Info("The VM list is available again.");
      } else {
        kLog.Warn("Cannot read the VM list, keeping the last one.");
      }
    }
    if (!answered) return;
    const auto parsed =
        Capture([&] { return ParseVmList(result.answer.body); });
    if (const auto* error = std::get_if<Error>(&parsed)) {
      kLog.Warn("Cannot decode the VM list, keeping the last one: {}.",
                error->message);
      return;
    }
    on_list(std::get<std::vector<Vm>>(parsed));
  }
};

VmListPoller::VmListPoller(const Endpoint& endpoint, Duration period,
                           OnList on_list)
    : impl_(std::make_unique<Impl>()) {
  impl_->endpoint = endpoint;
  impl_->on_list = std::move(on_list);
  impl_->timer.setInterval(period);
  QObject::connect(&impl_->timer, &QTimer::timeout, &impl_->timer,
                   [state = impl_.get()] { state->Poll(); });
}

VmListPoller::~VmListPoller() = default;

void VmListPoller::Start() {
  impl_->Poll();
  impl_->timer.start();
}

void VmListPoller::Stop() {
  impl_->timer.stop();
  impl_->call.reset();
}

}  // namespace firmoor
