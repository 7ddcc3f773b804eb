#include "config/configuration.h"

#include <fmt/format.h>

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace firmoor {
namespace {

constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxMs = 3'600'000;
constexpr int kSha256Digits = 64;

/// Reads the keys of one JSON object and records the first problem.
class ObjectReader {
 public:
  ObjectReader(QJsonObject object, std::string path, std::string* problem)
      : object_(std::move(object)), path_(std::move(path)), problem_(problem) {}

  void Text(const char* key, std::string* out, bool required = false) {
    const auto value = Find(key);
    if (value.isString()) *out = value.toString().toStdString();
    if (!value.isString() && (required || !value.isUndefined())) {
      ReportProblem(key, "must be a string");
    }
  }

  template <typename Integer>
  void Number(const char* key, Integer* out, std::int64_t low,
              std::int64_t high) {
    const auto value = Find(key);
    if (value.isUndefined()) return;
    const double number = value.toDouble(NAN);
    const bool is_in_range = number >= static_cast<double>(low) &&
                             number <= static_cast<double>(high);
    if (!is_in_range || number != std::floor(number)) {
      return ReportProblem(
          key, fmt::format("must be an integer {} to {}", low, high));
    }
    *out = static_cast<Integer>(number);
  }

  void Milliseconds(const char* key, Duration* out) {
    std::int64_t ms = out->count();
    Number(key, &ms, 1, kMaxMs);
    *out = Duration(ms);
  }

  void Fraction(const char* key, double* out, double low, double high) {
    const auto value = Find(key);
    if (value.isUndefined()) return;
    const double number = value.toDouble(NAN);
    if (!(number >= low && number <= high)) {
      return ReportProblem(key,
                           fmt::format("must be from {} to {}", low, high));
    }
    *out = number;
  }

  void Flag(const char* key, bool* out) {
    const auto value = Find(key);
    if (value.isBool()) *out = value.toBool();
    if (!value.isBool() && !value.isUndefined()) {
      ReportProblem(key, "must be true or false");
    }
  }

  QJsonArray Array(const char* key) {
    const auto value = Find(key);
    if (!value.isArray() && !value.isUndefined()) {
      ReportProblem(key, "must be an array");
    }
    return value.toArray();
  }

  QJsonObject Object(const char* key) {
    const auto value = Find(key);
    if (!value.isObject() && !value.isUndefined()) {
      ReportProblem(key, "must be an object");
    }
    return value.toObject();
  }

  void RejectUnknownKeys() {
    for (const auto& key : object_.keys()) {
      if (!known_.contains(key.toStdString())) {
        ReportProblem(key.toStdString(), "is not known");
      }
    }
  }

  void ReportProblem(std::string_view key, std::string_view what) {
    if (problem_->empty()) *problem_ = fmt::format("{}{} {}", path_, key, what);
  }

 private:
  QJsonValue Find(const char* key) {
    known_.insert(key);
    return object_.value(QLatin1String(key));
  }

  QJsonObject object_;
  std::string path_;
  std::string* problem_;
  std::set<std::string> known_;
};

Operation ReadOperation(const QJsonObject& object, const std::string& path,
                        std::string* problem) {
  Operation operation;
  ObjectReader reader(object, path, problem);
  reader.Text("method", &operation.method, true);
  reader.Text("path", &operation.path, true);
  reader.Flag("idempotent", &operation.idempotent);
  reader.Number("priority", &operation.priority, -100, 100);
  reader.RejectUnknownKeys();
  return operation;
}

Service ReadService(const std::string& name, const QJsonObject& object,
                    std::string* problem) {
  const std::string path = fmt::format("services.{}.", name);
  Service service;
  service.name = name;
  ObjectReader reader(object, path, problem);
  std::string kind;
  reader.Text("kind", &kind, true);
  if (kind != "model" && kind != "plain") {
    reader.ReportProblem("kind", "must be \"model\" or \"plain\"");
  }
  service.kind = kind == "model" ? ServiceKind::kModel : ServiceKind::kPlain;
  const auto operations = reader.Array("operations");
  for (qsizetype i = 0; i < operations.size(); ++i) {
    service.operations.push_back(
        ReadOperation(operations.at(i).toObject(),
                      fmt::format("{}operations[{}].", path, i), problem));
  }
  reader.Number("priority", &service.priority, -100, 100);
  reader.Flag("deduplicates_keys", &service.deduplicates_keys);
  reader.Milliseconds("deadline_ms", &service.deadline);
  reader.Milliseconds("stall_ms", &service.stall_time);
  reader.Milliseconds("first_token_target_ms", &service.first_token_target);
  reader.Milliseconds("token_gap_target_ms", &service.token_gap_target);
  reader.Number("upstream_concurrency", &service.upstream_concurrency, 1,
                kMaxCount);
  reader.Number("queue_limit", &service.queue_limit, 0, kMaxCount);
  reader.Fraction("availability_objective", &service.availability_objective,
                  0.5, 0.99999);
  reader.Flag("fenced_orders", &service.fenced_orders);
  reader.Number("min_replicas", &service.min_replicas, 0, kMaxCount);
  reader.Number("max_replicas", &service.max_replicas, 0, kMaxCount);
  reader.RejectUnknownKeys();
  return service;
}

Workspace ReadWorkspace(const std::string& name, const QJsonObject& object,
                        std::string* problem) {
  Workspace workspace;
  workspace.name = name;
  ObjectReader reader(object, fmt::format("workspaces.{}.", name), problem);
  reader.Text("token_sha256", &workspace.token_sha256, true);
  if (workspace.token_sha256.size() != kSha256Digits) {
    reader.ReportProblem("token_sha256", "must be 64 hexadecimal digits");
  }
  reader.Fraction("weight", &workspace.weight, 0.001, 1'000.0);
  reader.Number("max_in_flight", &workspace.max_in_flight, 1, kMaxCount);
  reader.Number("priority", &workspace.priority, -100, 100);
  reader.RejectUnknownKeys();
  return workspace;
}

bool PathMatches(std::string_view pattern, std::string_view path) {
  if (!pattern.ends_with('*')) return pattern == path;
  return path.starts_with(pattern.substr(0, pattern.size() - 1));
}

}  // namespace

Result<Configuration> Configuration::Parse(std::int64_t version,
                                           const QJsonObject& document) {
  Configuration out;
  out.version_ = version;
  out.document_ = document;
  std::string problem;
  ObjectReader document_reader(document, "", &problem);
  const auto services = document_reader.Object("services");
  for (const auto& key : services.keys()) {
    const std::string name = key.toStdString();
    out.services_.emplace(
        name, ReadService(name, services.value(key).toObject(), &problem));
  }
  const auto workspaces = document_reader.Object("workspaces");
  for (const auto& key : workspaces.keys()) {
    const std::string name = key.toStdString();
    out.workspaces_.emplace(
        name, ReadWorkspace(name, workspaces.value(key).toObject(), &problem));
  }
  document_reader.RejectUnknownKeys();
  if (!problem.empty()) return Fail(ResultCode::kInvalidPatch, problem);
  return out;
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = services_.find(std::string(name));
  return found == services_.end() ? nullptr : &found->second;
}

const Workspace* Configuration::FindWorkspace(
    std::string_view bearer_token) const {
  if (bearer_token.empty()) return nullptr;
  const std::string hash = Sha256Hex(bearer_token);
  for (const auto& [name, workspace] : workspaces_) {
    if (workspace.token_sha256 == hash) return &workspace;
  }
  return nullptr;
}

bool Configuration::operator==(const Configuration& other) const {
  return version_ == other.version_ && document_ == other.document_;
}

OperationTraits TraitsOf(const Service& service, std::string_view method,
                         std::string_view path) {
  for (const auto& operation : service.operations) {
    const bool method_fits =
        operation.method == "*" || operation.method == method;
    if (method_fits && PathMatches(operation.path, path)) {
      return {operation.idempotent, operation.priority};
    }
  }
  const bool safe = method == "GET" || method == "HEAD" || method == "OPTIONS";
  return {safe, service.priority};
}

std::string Sha256Hex(std::string_view text) {
  return QCryptographicHash::hash(
             QByteArray(text.data(), static_cast<qsizetype>(text.size())),
             QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace firmoor
