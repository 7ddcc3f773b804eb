#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <QCborArray>
#include <QCborValue>
#include <QJsonArray>
#include <QJsonDocument>
#include <optional>

#include "serving/error_answer.h"
#include "serving/model_request.h"
#include "serving/prefix_chunks.h"
#include "serving/request_record.h"
#include "serving/sse_parser.h"

namespace firmoor {

TEST_CASE("an event stream parses equally for all chunk boundaries") {
  const bool holds = rc::check("random chunk sizes", [] {
    const std::string text =
        "id: 1\ndata: one\n\n: comment\n\ndata: two\r\n\r\n"
        "data: a\ndata: b\n\ndata: [DONE]\n\n";
    SseParser parser;
    std::vector<std::string> events;
    std::size_t at = 0;
    while (at < text.size()) {
      const auto length = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
      for (auto& event : parser.Feed(text.substr(at, length))) {
        events.push_back(event);
      }
      at += length;
    }
    RC_ASSERT(events ==
              std::vector<std::string>({"one", "two", "a\nb", "[DONE]"}));
  });
  CHECK(holds);
}

TEST_CASE("a model request") {
  const auto parse = [](const char* path, const std::string& body) {
    return Capture([&] { return ModelRequest::Parse(path, body); });
  };
  SUBCASE("is validated field by field") {
    const auto problem = [&](const std::string& body) {
      return std::get<Error>(parse("/v1/completions", body)).message;
    };
    CHECK(problem("no json") == "the body is no JSON object");
    CHECK(problem("{}") == "model must be a string");
    CHECK(problem(R"({"model":"m"})") == "prompt must be a string");
    CHECK(problem(R"({"model":"m","prompt":"p","max_tokens":0})") ==
          "max_tokens must be from 1 to 100000");
  }
  SUBCASE("tells an upstream to resume after the generated tokens") {
    const auto parsed =
        parse("/v1/completions", R"({"model":"m","prompt":"p"})");
    const auto body = MakeUpstreamBody(std::get<ModelRequest>(parsed),
                                       {"one two ", 2}, "id", 3, "1.2.3.4:5");
    const auto object =
        QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
    CHECK(object["stream"].toBool());
    CHECK(object["resume"].toObject()["tokens"].toInt() == 2);
    CHECK(object["resume"].toObject()["kv_source"].toString() == "1.2.3.4:5");
  }
  SUBCASE("for a chat is answered in the chat format") {
    const auto parsed = parse("/v1/chat/completions",
                              R"({"model":"m","messages":[
                                 {"role":"user","content":"hi"}]})");
    const auto& request = std::get<ModelRequest>(parsed);
    CHECK(request.prompt == "user: hi\n");
    const auto event = MakeTokenEvent(request, "id", "word");
    const auto text = Capture([&] { return ParseTokenText(event); });
    CHECK(std::get<std::string>(text) == "word");
    CHECK(MakeCompletion(request, "id", {"word", 1}).find("\"message\"") !=
          std::string::npos);
  }
}

TEST_CASE("equal prefixes have equal chunks") {
  const std::string shared(3 * kChunkBytes, 'a');
  const auto one = PrefixChunks(shared + "one");
  const auto two = PrefixChunks(shared + std::string(kChunkBytes, 'b'));
  REQUIRE(one.size() == 3);
  REQUIRE(two.size() == 4);
  CHECK(std::equal(one.begin(), one.end(), two.begin()));
  CHECK(PrefixChunks("b" + shared)[0] != one[0]);
}

TEST_CASE("request records and progress round-trip through their encoding") {
  RequestRecord record;
  record.id = "zone~daemon~1";
  record.workspace = "salon";
  record.request = {"POST", "/x", {{"A", "b"}}, std::string("\0\xff", 2)};
  record.async = true;
  record.tokens = {"one ", "two "};
  record.time_left = Duration(1'234);
  record.claim_held = true;
  record.answer = {200, {{"C", "d"}}, "body"};
  const auto decoded =
      Capture([&] { return RequestRecord::Decode(record.Encode()); });
  CHECK(std::get<RequestRecord>(decoded) == record);
  const RequestProgress tail{true, "salon",       {"x"},
                             true, record.answer, Duration(1'234)};
  const auto again =
      Capture([&] { return RequestProgress::Decode(tail.Encode()); });
  CHECK(std::get<RequestProgress>(again) == tail);
  const auto bad = Capture([] { return RequestRecord::Decode("junk"); });
  CHECK(std::holds_alternative<Error>(bad));
}

// Guards against daemons of an earlier build that do not find requests of this
// one, and the reverse: their progress has no time left.
TEST_CASE("request progress passes between builds") {
  const RequestProgress running{true, "w", {"x"}, false, {}, Duration(1'234)};
  const auto fields = QCborValue::fromCbor(running.Encode()).toArray();
  REQUIRE(fields.size() == 5);
  const auto answer = fields.at(4).toArray();
  const auto earlier =
      QCborValue(
          QCborArray{fields.at(0), fields.at(1), fields.at(2), fields.at(3),
                     QCborArray{answer.at(0), answer.at(1), answer.at(2)}})
          .toCbor();
  const auto decoded =
      Capture([&] { return RequestProgress::Decode(earlier); });
  auto expected = running;
  expected.time_left = std::nullopt;
  CHECK(std::get<RequestProgress>(decoded) == expected);
}

TEST_CASE("an error answer states the code, outcome and retry delay") {
  const auto answer = MakeErrorAnswer(
      {{ResultCode::kOverloaded, ""}, RequestOutcome::kNotRun, Duration(1'001)},
      "id");
  CHECK(answer.status == 503);
  CHECK(HeaderValue(answer.headers, "Retry-After") == "2");
  CHECK(HeaderValue(answer.headers, "Firmoor-Outcome") == "not-run");
  CHECK(answer.body.find("\"code\":2002") != std::string::npos);
}

}  // namespace firmoor
