#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "http/http_fetch.h"
#include "support/raw_socket.h"
#include "support/unread_upload.h"

namespace firmoor {
namespace {

using Ending = UnreadUploadUpstream::Ending;

constexpr HttpCallTimeouts kTimeouts{Duration(2'000), Duration(2'000),
                                     Duration(2'000)};
// Of the order of the largest bodies that callers send.
constexpr std::size_t kUploadBytes = 3 * 512 * 1024;

const std::string kNoLength = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string kLength =
    "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\npart";
const std::string kChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

HttpFetchResult Upload(const UnreadUploadUpstream& upstream,
                       HttpConnectionPool* pool, std::size_t bytes) {
  std::optional<HttpFetchResult> result;
  const auto call = HttpFetch(
      upstream.Address(), {"POST", "/book", {}, std::string(bytes, 'u')},
      kTimeouts, pool, [&](HttpFetchResult end) { result = std::move(end); });
  REQUIRE(WaitUntil([&] { return result.has_value(); }));
  return *result;
}

HttpCallEnd EndOf(const std::string& answer, Ending ending, bool is_kept) {
  UnreadUploadUpstream upstream([&](const auto&) { return answer; }, ending);
  HttpConnectionPool pool;
  if (is_kept) {
    upstream.AnswerWhole(1);
    CHECK(Upload(upstream, &pool, 2).end == HttpCallEnd::kComplete);
  }
  const auto result = Upload(upstream, &pool, kUploadBytes);
  CHECK(upstream.requests() == (is_kept ? 2 : 1));
  return result.end;
}

}  // namespace

// Guards against a part of a response that is taken for all of it, because its
// connection ended while the request was still being written.
TEST_CASE("a response to an upload that the upstream did not read") {
  bool is_kept = false;
  SUBCASE("on a new connection") {}
  SUBCASE("on a connection that was kept") { is_kept = true; }

  for (const auto& answer : {kNoLength, kLength, kChunks}) {
    CAPTURE(answer);
    for (const auto wait : {Duration(0), Duration(5), Duration(100)}) {
      CAPTURE(wait.count());
      CHECK(EndOf(answer, {Ending::Kind::kReset, wait}, is_kept) !=
            HttpCallEnd::kComplete);
      CHECK(EndOf(answer, {Ending::Kind::kClose, wait}, is_kept) !=
            HttpCallEnd::kComplete);
    }
  }
}

TEST_CASE("a response without length to an upload that was read is complete") {
  CHECK(EndOf(kNoLength, {Ending::Kind::kReadFirst, Duration(0)}, false) ==
        HttpCallEnd::kComplete);
}

// An upstream may reject a long request before it has read it, and says so by
// its status alone.
TEST_CASE("a rejection without length of an upload that was not read") {
  CHECK(EndOf("HTTP/1.1 503 Busy\r\n\r\n", {Ending::Kind::kClose, Duration(5)},
              false) == HttpCallEnd::kComplete);
}

}  // namespace firmoor
