// Requests that test callers send, and what they read from the answers.

#include <fmt/format.h>

#include <QJsonDocument>
#include <cstdlib>

#include "base/hash.h"
#include "cluster.h"
#include "serving/model_request.h"
#include "serving/sse_parser.h"

namespace firmoor {
namespace {

HttpHeader Auth() {
  return {"Authorization", std::string("Bearer ") + kTestToken};
}

}  // namespace

HttpRequest Cluster::Booking(const std::string& key, const std::string& work,
                             const std::string& act,
                             const std::string& body) const {
  HttpRequest request{"POST", "/services/desk/bookings", {Auth()}, body};
  if (!key.empty()) request.headers.push_back({"Idempotency-Key", key});
  request.headers.push_back({"Work-Id", work});
  if (!act.empty()) request.headers.push_back({"Act", act});
  return request;
}

HttpRequest Cluster::Lookup(const std::string& act) const {
  HttpRequest request{"GET", "/services/desk/schedule", {Auth()}, {}};
  if (!act.empty()) request.headers.push_back({"Act", act});
  return request;
}

HttpRequest Cluster::Completion(const std::string& prompt, int tokens,
                                bool stream, bool async) const {
  const QJsonObject body{{"model", "assist"},
                         {"prompt", QString::fromStdString(prompt)},
                         {"max_tokens", tokens},
                         {"stream", stream}};
  HttpRequest request{
      "POST",
      "/v1/completions",
      {Auth()},
      QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()};
  if (async) request.headers.push_back({"Prefer", "respond-async"});
  return request;
}

HttpRequest Cluster::Question(const std::string& location, bool stream,
                              int last_event) const {
  HttpRequest request{"GET", location, {Auth()}, {}};
  if (stream) request.headers.push_back({"Accept", "text/event-stream"});
  if (last_event > 0) {
    request.headers.push_back({"Last-Event-ID", std::to_string(last_event)});
  }
  return request;
}

std::vector<std::string> StreamedWords(const std::string& body) {
  std::vector<std::string> words;
  SseParser parser;
  for (const auto& event : parser.Feed(body)) {
    const auto text = Capture([&] { return ParseTokenText(event); });
    if (const auto* word = std::get_if<std::string>(&text)) {
      words.push_back(*word);
    }
  }
  return words;
}

std::vector<std::string> ExpectedWords(const std::string& prompt, int tokens) {
  std::vector<std::string> words;
  for (int i = 0; i < tokens; ++i) {
    const auto hash = Hash64(std::to_string(i), Hash64(prompt));
    words.push_back(fmt::format("w{:04x} ", hash & 0xffff));
  }
  return words;
}

std::string OutcomeOf(const HttpFetchResult& result) {
  return std::string(HeaderValue(result.answer.headers, "Firmoor-Outcome"));
}

int CodeOf(const HttpFetchResult& result) {
  return std::atoi(
      std::string(HeaderValue(result.answer.headers, "Firmoor-Code")).c_str());
}

}  // namespace firmoor
