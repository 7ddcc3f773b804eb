#include "config/table_reader.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace firmoor {
namespace {

constexpr std::int64_t kMaxMs = 3'600'000;

}  // namespace

Result<toml::table> ParseToml(std::string_view text,
                              std::string_view file_name) {
  toml::parse_result parsed = toml::parse(text, std::string(file_name));
  if (parsed) return std::move(parsed).table();
  const auto& error = parsed.error();
  return Fail(ResultCode::kInvalidSettings,
              fmt::format("{}:{}: {}", file_name, error.source().begin.line,
                          error.description()));
}

Result<std::string> ReadTextFile(const std::string& file_name) {
  std::ifstream file(file_name, std::ios::binary);
  if (!file) {
    return Fail(ResultCode::kUnreadableFile,
                fmt::format("{}: cannot be read", file_name));
  }
  return std::string((std::istreambuf_iterator<char>(file)), {});
}

TableReader::TableReader(const toml::table* table, std::string path,
                         std::string_view file_name,
                         std::optional<Error>* problem)
    : table_(table),
      path_(std::move(path)),
      file_name_(file_name),
      problem_(problem) {}

void TableReader::Text(const char* key, std::string* out, bool required) {
  const auto* node = Find(key, required);
  if (node == nullptr) return;
  const auto value = node->value_exact<std::string>();
  if (!value) return ReportProblem(*node, key, "must be a string");
  if (required && value->empty()) {
    return ReportProblem(*node, key, "must not be empty");
  }
  *out = *value;
}

void TableReader::Choice(const char* key, std::string* out,
                         const std::set<std::string>& allowed) {
  Text(key, out, false);
  if (allowed.contains(*out)) return;
  std::string names;
  for (const auto& name : allowed) names += " " + name;
  ReportProblem(*table_->get(key), key, "must be one of" + names);
}

void TableReader::Address(const char* key, Endpoint* out, bool required) {
  std::string text;
  Text(key, &text, required);
  if (text.empty()) return;
  *out = Endpoint::Parse(text);
  if (out->port == 0) {
    ReportProblem(*table_->get(key), key, "must be \"IP number:port\"");
  }
}

void TableReader::Addresses(const char* key, std::vector<Endpoint>* out) {
  const auto* node = Find(key, false);
  if (node == nullptr) return;
  const auto* array = node->as_array();
  if (array == nullptr) return ReportProblem(*node, key, "must be an array");
  for (const auto& element : *array) {
    const auto text = element.value_exact<std::string>();
    const auto endpoint = Endpoint::Parse(text.value_or(""));
    if (endpoint.port == 0) {
      return ReportProblem(element, key, "must hold \"IP number:port\"");
    }
    out->push_back(endpoint);
  }
}

void TableReader::Number(const char* key, std::int64_t* out, std::int64_t low,
                         std::int64_t high) {
  const auto* node = Find(key, false);
  if (node == nullptr) return;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) return ReportProblem(*node, key, "must be an integer");
  if (*value < low || *value > high) {
    return ReportProblem(*node, key,
                         fmt::format("must be from {} to {}", low, high));
  }
  *out = *value;
}

void TableReader::Decimal(const char* key, double* out, double low,
                          double high) {
  const auto* node = Find(key, false);
  if (node == nullptr) return;
  const auto value = node->value<double>();
  if (!value) return ReportProblem(*node, key, "must be a number");
  if (*value < low || *value > high) {
    return ReportProblem(*node, key,
                         fmt::format("must be from {} to {}", low, high));
  }
  *out = *value;
}

void TableReader::Milliseconds(const char* key, Duration* out,
                               std::int64_t low) {
  std::int64_t ms = out->count();
  Number(key, &ms, low, kMaxMs);
  *out = Duration(ms);
}

void TableReader::Flag(const char* key, bool* out) {
  const auto* node = Find(key, false);
  if (node == nullptr) return;
  const auto value = node->value_exact<bool>();
  if (!value) return ReportProblem(*node, key, "must be true or false");
  *out = *value;
}

void TableReader::RejectUnknownKeys() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (!known_.contains(name)) ReportProblem(node, name, "is not known");
  }
}

const toml::node* TableReader::Find(const char* key, bool required) {
  known_.insert(key);
  const auto* node = table_ == nullptr ? nullptr : table_->get(key);
  if (node == nullptr && required && !*problem_) {
    *problem_ =
        Error{ResultCode::kInvalidSettings,
              fmt::format("{}: {}{} is missing", file_name_, path_, key)};
  }
  return node;
}

void TableReader::ReportProblem(const toml::node& node, std::string_view key,
                                std::string_view what) {
  if (*problem_) return;
  *problem_ = Error{ResultCode::kInvalidSettings,
                    fmt::format("{}:{}: {}{} {}", file_name_,
                                node.source().begin.line, path_, key, what)};
}

}  // namespace firmoor
