#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "http/http_fetch.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

HttpFetchResult FetchFrom(const std::string& response,
                          const std::string& method = "GET") {
  RawUpstream upstream([&](auto& connection) {
    connection.socket->write(QByteArray::fromStdString(response));
    connection.socket->disconnectFromHost();
  });
  std::optional<HttpFetchResult> result;
  const auto call =
      HttpFetch(upstream.Address(), {method, "/", {}, {}}, {}, nullptr,
                [&](HttpFetchResult end) { result = std::move(end); });
  REQUIRE(WaitUntil([&] { return result.has_value(); }));
  return *result;
}

}  // namespace

// Guards against an answer that is passed on as if its coding were understood.
TEST_CASE("a response whose end is ambiguous is no response") {
  for (const std::string fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nContent-Length: 2\r\n",
        "Content-Length: 2, 2\r\n", "Content-Length: +2\r\n",
        "Content-Length : 2\r\n", "X-A: b\r\n folded\r\n", "X-A: b\n"}) {
    CAPTURE(fields);
    CHECK(FetchFrom("HTTP/1.1 200 OK\r\n" + fields + "\r\nok").end ==
          HttpCallEnd::kMalformed);
  }
}

TEST_CASE("bytes that are no response end the call at once") {
  for (const std::string bytes :
       {"garbage", "HTTP/2.0 200 OK\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n"}) {
    CAPTURE(bytes);
    CHECK(FetchFrom(bytes).end == HttpCallEnd::kMalformed);
  }
}

// Guards against a status of no meaning that is passed on to a caller
// (review/4).
TEST_CASE("a response needs a status from 100 to 599") {
  for (const std::string status :
       {"020", "000", "099", "600", "999", "20", "2000", "2x0", "", " 200"}) {
    CAPTURE(status);
    CHECK(FetchFrom("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok")
              .end == HttpCallEnd::kMalformed);
  }
  for (const std::string line :
       {"HTTP/1.1 100 a\r\n\r\nHTTP/1.1 200 \r\n", "HTTP/1.0 599 \r\n"}) {
    CAPTURE(line);
    CHECK(FetchFrom(line + "Content-Length: 2\r\n\r\nok").end ==
          HttpCallEnd::kComplete);
  }
}

// Guards against chunks that an HTTP/1.0 peer does not know.
TEST_CASE("a response of HTTP/1.0 has no chunks") {
  CHECK(FetchFrom("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n")
            .end == HttpCallEnd::kMalformed);
}

TEST_CASE("each form of framing gives the whole body") {
  SUBCASE("with a length") {
    const auto result =
        FetchFrom("HTTP/1.1 200 OK\r\ncontent-length:2 \r\n\r\nok");
    CHECK(result.end == HttpCallEnd::kComplete);
    CHECK(result.answer.body == "ok");
  }
  SUBCASE("in chunks") {
    const auto result = FetchFrom(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n"
        "2\r\nok\r\n0\r\nname: x\r\n\r\n");
    CHECK(result.end == HttpCallEnd::kComplete);
    CHECK(result.answer.body == "ok");
  }
  SUBCASE("that ends with its connection") {
    const auto result = FetchFrom("HTTP/1.0 200 OK\r\n\r\nok");
    CHECK(result.end == HttpCallEnd::kComplete);
    CHECK(result.answer.body == "ok");
  }
  SUBCASE("behind interim responses") {
    const auto result = FetchFrom(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: "
        "b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(result.end == HttpCallEnd::kComplete);
    CHECK(result.answer.body == "ok");
  }
  SUBCASE("that a HEAD response does not have") {
    const auto result =
        FetchFrom("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HEAD");
    CHECK(result.end == HttpCallEnd::kComplete);
  }
}

}  // namespace firmoor
