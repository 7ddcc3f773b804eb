#include "platform/http_object_store.h"

#include <fmt/format.h>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <utility>

namespace firmoor {
namespace {

constexpr int kCallTimeoutMs = 1'000;
constexpr int kWatchTimeoutMs = 8'000;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

StoreStatus StatusOf(const QNetworkReply& reply) {
  const int status =
      reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (status == kOk) {
    // A truncated answer has this status, but not the whole value.
    return reply.error() == QNetworkReply::NoError ? StoreStatus::kOk
                                                   : StoreStatus::kUnavailable;
  }
  if (status == kNotFound) return StoreStatus::kNotFound;
  if (status == kConflict) return StoreStatus::kConflict;
  return StoreStatus::kUnavailable;
}

StoreVersion VersionOf(const QNetworkReply& reply) {
  return {0, reply.rawHeader("Object-Version").toLongLong()};
}

}  // namespace

struct HttpObjectStore::Impl {
  Endpoint endpoint;
  QNetworkAccessManager call_manager;
  // Has connections of its own, since a pending watch occupies one.
  QNetworkAccessManager watch_manager;

  [[nodiscard]] QNetworkRequest Request(const std::string& path,
                                        int timeout_ms) const {
    QNetworkRequest request(QUrl(QString::fromStdString(
        fmt::format("http://{}{}", endpoint.ToString(), path))));
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    request.setTransferTimeout(timeout_ms);
    return request;
  }

  static void OnReadFinished(QNetworkReply* reply, ReadDone done) {
    QObject::connect(
        reply, &QNetworkReply::finished, reply,
        [reply, done = std::move(done)] {
          reply->deleteLater();
          done(StatusOf(*reply), {VersionOf(*reply), reply->readAll()});
        });
  }
};

HttpObjectStore::HttpObjectStore(const Endpoint& endpoint)
    : impl_(std::make_unique<Impl>()) {
  impl_->endpoint = endpoint;
}

HttpObjectStore::~HttpObjectStore() {
  const auto disconnect_replies = [](QNetworkAccessManager& manager) {
    for (auto* reply : manager.findChildren<QNetworkReply*>()) {
      reply->disconnect();
    }
  };
  disconnect_replies(impl_->call_manager);
  disconnect_replies(impl_->watch_manager);
}

void HttpObjectStore::Read(const std::string& name, ReadDone done) {
  auto request = impl_->Request("/objects/" + name, kCallTimeoutMs);
  Impl::OnReadFinished(impl_->call_manager.get(request), std::move(done));
}

void HttpObjectStore::Write(const std::string& name, StoreVersion expected,
                            const QByteArray& value, WriteDone done) {
  auto request = impl_->Request(
      fmt::format("/objects/{}?if-version={}", name, expected.revision),
      kCallTimeoutMs);
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    "application/octet-stream");
  auto* reply = impl_->call_manager.put(request, value);
  QObject::connect(reply, &QNetworkReply::finished, reply,
                   [reply, done = std::move(done)] {
                     reply->deleteLater();
                     done(StatusOf(*reply), VersionOf(*reply));
                   });
}

void HttpObjectStore::Watch(const std::string& name, StoreVersion after,
                            ReadDone done) {
  auto request = impl_->Request(
      fmt::format("/watch/{}?after={}", name, after.revision), kWatchTimeoutMs);
  Impl::OnReadFinished(impl_->watch_manager.get(request), std::move(done));
}

}  // namespace firmoor
