#include "commands.h"

#include <fmt/format.h>

#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <cstdio>
#include <optional>
#include <utility>

#include "base/error.h"
#include "base/random_id.h"
#include "base/text.h"
#include "config/settings.h"
#include "metrics/burn_report.h"
#include "metrics/request_timeline.h"

namespace firmoor {
namespace {

constexpr int kTimeoutMs = 15'000;
constexpr int kOk = 200;

struct CallResult {
  int status = 0;
  QJsonObject body;
};

/// Calls the operator endpoint of a daemon and waits for the response. A patch
/// may be sent twice without harm because the daemon recognises its id.
CallResult Call(const CtlOptions& options, const std::string& daemon,
                const char* path, const std::optional<QJsonObject>& body) {
  QNetworkAccessManager manager;
  QNetworkRequest request(
      QUrl(QString::fromStdString(fmt::format("http://{}{}", daemon, path))));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setTransferTimeout(kTimeoutMs);
  if (!options.token.empty()) {
    request.setRawHeader("Authorization",
                         "Bearer " + QByteArray::fromStdString(options.token));
  }
  auto* reply = body ? manager.post(request, QJsonDocument(*body).toJson())
                     : manager.get(request);
  QEventLoop loop;
  QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  return {reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt(),
          QJsonDocument::fromJson(reply->readAll()).object()};
}

int PrintError(const Error& error) {
  fmt::print(stderr, "firmoorctl: {} ({} {})\n", error.message,
             static_cast<int>(error.code), InfoOf(error.code).name);
  return InfoOf(error.code).exit_code;
}

Error ErrorOf(const CallResult& result, const std::string& daemon) {
  if (result.status == 0) {
    return {ResultCode::kPeerUnreachable,
            fmt::format("{} cannot be reached", daemon)};
  }
  const auto error = result.body.value("error").toObject();
  return {static_cast<ResultCode>(error.value("code").toInt(
              static_cast<int>(ResultCode::kInternal))),
          error.value("message").toString().toStdString()};
}

void PrintJson(const QJsonObject& object) {
  fmt::print("{}", QJsonDocument(object).toJson().toStdString());
}

Outcome<QJsonObject> ReadJsonFile(const std::string& name) {
  QFile file(QString::fromStdString(name));
  if (!file.open(QIODevice::ReadOnly)) {
    return Error{ResultCode::kUnreadableFile, name + " cannot be read"};
  }
  QJsonParseError problem;
  const auto document = QJsonDocument::fromJson(file.readAll(), &problem);
  if (!document.isObject()) {
    return Error{ResultCode::kInvalidPatch,
                 fmt::format("{} is no JSON object: {}", name,
                             problem.errorString().toStdString())};
  }
  return document.object();
}

int ValidateSettings(const CtlOptions& options) {
  const auto outcome = Capture([&] { return LoadSettings(options.file); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return PrintError(*error);
  }
  fmt::print("{}: good settings\n", options.file);
  return 0;
}

}  // namespace

int ValidateCommand(const CtlOptions& options) {
  if (options.file.ends_with(".toml")) return ValidateSettings(options);
  const auto merge = ReadJsonFile(options.file);
  if (const auto* error = std::get_if<Error>(&merge)) {
    return PrintError(*error);
  }
  const auto& daemon = options.daemons.front();
  const auto result =
      Call(options, daemon, "/config/validate", std::get<QJsonObject>(merge));
  if (result.status != kOk) return PrintError(ErrorOf(result, daemon));
  fmt::print("{}: a good patch against version {}\n", options.file,
             result.body.value("version").toInteger());
  return 0;
}

int PatchCommand(const CtlOptions& options) {
  const auto merge = ReadJsonFile(options.file);
  if (const auto* error = std::get_if<Error>(&merge)) {
    return PrintError(*error);
  }
  const auto& daemon = options.daemons.front();
  auto base = options.base_version;
  if (base < 0) {
    const auto current = Call(options, daemon, "/config", std::nullopt);
    if (current.status != kOk) return PrintError(ErrorOf(current, daemon));
    base = current.body.value("version").toInteger();
  }
  const auto id = options.patch_id.empty() ? NewRandomId() : options.patch_id;
  const auto result =
      Call(options, daemon, "/config/patch",
           QJsonObject{{"id", QString::fromStdString(id)},
                       {"base_version", static_cast<qint64>(base)},
                       {"merge", std::get<QJsonObject>(merge)}});
  if (result.status != kOk) {
    fmt::print(stderr, "firmoorctl: patch {} against version {}\n", id, base);
    return PrintError(ErrorOf(result, daemon));
  }
  if (options.json) {
    PrintJson(result.body);
  } else {
    fmt::print("version {} is in force\n",
               result.body.value("version").toInteger());
  }
  return 0;
}

int GetCommand(const CtlOptions& options) {
  const auto& daemon = options.daemons.front();
  const auto result = Call(options, daemon, "/config", std::nullopt);
  if (result.status != kOk) return PrintError(ErrorOf(result, daemon));
  PrintJson(options.json ? result.body
                         : result.body.value("document").toObject());
  return 0;
}

int StatusCommand(const CtlOptions& options) {
  int code = 0;
  for (const auto& daemon : options.daemons) {
    const auto result = Call(options, daemon, "/status", std::nullopt);
    if (result.status != kOk) {
      code = PrintError(ErrorOf(result, daemon));
      continue;
    }
    if (options.json) {
      PrintJson(result.body);
      continue;
    }
    const auto& status = result.body;
    fmt::print(
        "{:<16} zone {:<12} version {:<6} members {:<4} in work {:<5} "
        "{}\n",
        status.value("daemon").toString().toStdString(),
        status.value("availability_zone").toString().toStdString(),
        status.value("version").toInteger(),
        status.value("members").toArray().size(),
        status.value("in_work").toInteger(),
        status.value("ready").toBool() ? "ready" : "not ready");
  }
  return code;
}

int DrainCommand(const CtlOptions& options) {
  for (const auto& daemon : options.daemons) {
    const auto result = Call(options, daemon, "/drain", QJsonObject());
    if (result.status != kOk) return PrintError(ErrorOf(result, daemon));
    fmt::print("{} is draining\n", daemon);
  }
  return 0;
}

int ReportCommand(const CtlOptions& options) {
  std::vector<QJsonObject> metrics;
  for (const auto& daemon : options.daemons) {
    const auto result = Call(options, daemon, "/report", std::nullopt);
    if (result.status != kOk) return PrintError(ErrorOf(result, daemon));
    metrics.push_back(result.body);
  }
  const auto rows = MergeBurn(metrics);
  double answers = 0;
  double seconds = 0;
  for (const auto& row : rows) {
    answers += static_cast<double>(row.requests - row.bad);
  }
  for (const auto& daemon : metrics) {
    seconds = std::max(seconds, daemon.value("uptime_s").toDouble());
  }
  const double cost =
      answers > 0 ? options.vm_cost_per_hour * seconds / 3'600 / answers * 1'000
                  : 0;
  if (!options.html_file.empty()) {
    QFile file(QString::fromStdString(options.html_file));
    if (!file.open(QIODevice::WriteOnly)) {
      return PrintError(
          {ResultCode::kUnreadableFile, options.html_file + " not writable"});
    }
    file.write(QByteArray::fromStdString(BurnPage(rows, cost)));
  }
  if (options.json) {
    auto object = BurnJson(rows);
    object["cost_per_thousand_answers"] = cost;
    PrintJson(object);
  } else {
    fmt::print("{}", BurnTable(rows));
    if (cost > 0) fmt::print("Cost per 1,000 answers: {:.4f}\n", cost);
  }
  return 0;
}

int QuarantineCommand(const CtlOptions& options) {
  const auto& daemon = options.daemons.front();
  if (!options.lifted_hash.empty()) {
    const auto result = Call(options, daemon, "/quarantine/lift",
                             QJsonObject{{"hash", Text(options.lifted_hash)}});
    if (result.status != kOk) return PrintError(ErrorOf(result, daemon));
    fmt::print("{} is released\n", options.lifted_hash);
    return 0;
  }
  const auto result = Call(options, daemon, "/quarantine", std::nullopt);
  if (result.status != kOk) return PrintError(ErrorOf(result, daemon));
  if (options.json) {
    PrintJson(result.body);
    return 0;
  }
  const auto verdicts = result.body.value("verdicts").toArray();
  for (const auto& item : verdicts) {
    const auto verdict = item.toObject();
    const auto join = [&verdict](const char* field) {
      return verdict.value(field).toVariant().toStringList().join(",");
    };
    fmt::print("{:<13} {} crashes {} of {}, {} s ago\n",
               verdict.value("kind").toString().toStdString(),
               join("hashes").toStdString(),
               verdict.value("crashes").toInteger(),
               join("upstreams").toStdString(),
               verdict.value("age_ms").toInteger() / 1'000);
  }
  return 0;
}

int ExplainCommand(const CtlOptions& options) {
  QByteArray log;
  for (const auto& name : options.logs) {
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly)) {
      return PrintError({ResultCode::kUnreadableFile, name});
    }
    log += file.readAll() + "\n";
  }
  if (options.logs.empty()) {
    QFile input;
    if (input.open(stdin, QIODevice::ReadOnly)) log = input.readAll();
  }
  const auto story = BuildRequestTimeline(options.request_id, log);
  if (story.empty()) {
    return PrintError({ResultCode::kUnknownRequest,
                       "No line names request " + options.request_id});
  }
  for (const auto& line : story) fmt::print("{}\n", line);
  return 0;
}

}  // namespace firmoor
