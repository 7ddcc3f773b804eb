#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "details/head_scanner.h"
#include "http/http_server.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

using details::BodyFraming;
using details::HeadScanner;
using Result = HeadScanner::Result;

const std::string kInner = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";

std::string Post(const std::string& fields) {
  return "POST /outer HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

/// Heads whose fields do not tell the end of the body to all recipients alike.
const std::vector<std::string>& AmbiguousHeads() {
  static const std::vector<std::string> heads = {
      Post("Transfer-Encoding: gzip\r\n"),
      Post("Transfer-Encoding: identity\r\n"),
      Post("Transfer-Encoding:\r\n"),
      Post("Transfer-Encoding: \"chunked\"\r\n"),
      Post("Transfer-Encoding: chunked, gzip\r\n"),
      Post("Transfer-Encoding: gzip, chunked\r\n"),
      Post("Transfer-Encoding: chunked, chunked\r\n"),
      Post("Transfer-Encoding: chunked;q=1\r\n"),
      Post("Transfer-Encoding: xchunked\r\n"),
      Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
      Post("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
      Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"),
      Post("Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"),
      Post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
      Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
      Post("Content-Length: 5\r\nTransfer-Encoding: identity\r\n"),
      Post("Content-Length: 5\r\nContent-Length: 5\r\n"),
      Post("Content-Length: 5\r\nContent-Length: 6\r\n"),
      Post("Content-Length: 5, 5\r\n"),
      Post("Content-Length: +5\r\n"),
      Post("Content-Length: -5\r\n"),
      Post("Content-Length: 5 5\r\n"),
      Post("Content-Length: 0x5\r\n"),
      Post("Content-Length: 5.\r\n"),
      Post("Content-Length: \"5\"\r\n"),
      Post("Content-Length:\r\n"),
      Post("Content-Length: 99999999999999999999\r\n"),
      Post("Content-Length : 5\r\n"),
      Post("Transfer-Encoding : chunked\r\n"),
      Post(" Content-Length: 5\r\n"),
      Post("X-A: b\r\n Content-Length: 5\r\n"),
      Post("X-A: b\r\n\tfolded\r\n"),
      Post("Transfer-Encoding:\r\n chunked\r\n"),
      Post("X-A: b\nContent-Length: 5\r\n"),
      Post("X-A: b\rContent-Length: 5\r\n"),
      Post("X-A: b\r\r\n"),
      Post("Content-Length: 5\n"),
      Post("no colon\r\n"),
      Post(": no name\r\n"),
      Post("X A: b\r\n"),
      "POST /outer HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
      "POST /outer HTTP/1.1\nHost: x\r\n\r\n",
      "\r\nPOST /outer HTTP/1.1\r\nHost: x\r\n\r\n",
      " POST /outer HTTP/1.1\r\nHost: x\r\n\r\n",
  };
  return heads;
}

Result ScanInPieces(HeadScanner* scanner, const std::string& bytes,
                    const std::vector<std::size_t>& cuts) {
  for (const auto cut : cuts) {
    const auto result =
        scanner->Scan({bytes.data(), std::min(cut, bytes.size())});
    if (result != Result::kIncomplete) return result;
  }
  return scanner->Scan(bytes);
}

std::vector<std::size_t> SortedCuts(std::vector<std::size_t> cuts,
                                    std::size_t size) {
  for (auto& cut : cuts) cut %= size + 1;
  std::sort(cuts.begin(), cuts.end());
  return cuts;
}

struct RecordingServer {
  std::vector<HttpRequest> requests;
  std::unique_ptr<HttpServer> server;

  RecordingServer()
      : server(HttpServer::Builder()
                   .Listen({"127.0.0.1", 0})
                   .Handler([this](HttpRequest request, const auto& responder) {
                     requests.push_back(std::move(request));
                     responder->Send({200, {}, "ok"});
                   })
                   .Build()) {
    REQUIRE(server->Start());
  }
};

}  // namespace

// Guards against a request inside the body of another one that runs, since the
// end of that body was guessed (review/3).
TEST_CASE("a request whose end is ambiguous is refused with what follows it") {
  RecordingServer server;
  for (const auto& head : AmbiguousHeads()) {
    CAPTURE(head);
    RawClient client(server.server->Port());
    client.Send(head + kInner);
    REQUIRE(client.WaitFor("HTTP/1.1 400"));
    CHECK(client.WaitClosed());
    CHECK(client.Received().find("HTTP/1.1", 1) == std::string::npos);
    REQUIRE(server.requests.empty());
  }
}

// Guards against a head that is refused only since its body happens not to be
// one of chunks, such as a coding of HTTP/1.1 in a request of HTTP/1.0.
TEST_CASE("each ambiguous head is refused for itself") {
  for (const auto& head : AmbiguousHeads()) {
    CAPTURE(head);
    HeadScanner scanner(HeadScanner::Message::kRequest);
    CHECK(scanner.Scan(head) == Result::kInvalid);
  }
}

TEST_CASE("a chunked body with ambiguous lines is refused") {
  RecordingServer server;
  const std::string head = Post("Transfer-Encoding: chunked\r\n");
  for (const std::string body :
       {"5\nhello\r\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "0x5\r\nhello\r\n",
        "+5\r\nhello\r\n", "-5\r\nhello\r\n", "5 5\r\nhello\r\n",
        "5\rhello\r\n0\r\n\r\n", "\r\nhello\r\n",
        "fffffffffffffffff\r\nhello\r\n", "0\r\nname\r\n\r\n",
        "0\r\n name: x\r\n\r\n"}) {
    CAPTURE(body);
    RawClient client(server.server->Port());
    client.Send(head);
    client.Send(body);
    client.Send(kInner);
    REQUIRE(client.WaitFor("HTTP/1.1 400"));
    CHECK(client.WaitClosed());
    REQUIRE(server.requests.empty());
  }
}

// Guards against framing lines that are kept until memory runs out.
TEST_CASE("a chunked body with endless framing is refused") {
  RecordingServer server;
  const std::string block(64 * 1024, 'x');
  RawClient client(server.server->Port());
  const std::string head = Post("Transfer-Encoding: chunked\r\n");
  SUBCASE("in a chunk's extension") { client.Send(head + "5;name=" + block); }
  SUBCASE("in a trailer") { client.Send(head + "0\r\nname: " + block); }
  REQUIRE(client.WaitFor("HTTP/1.1 413"));
  CHECK(client.WaitClosed());
  CHECK(server.requests.empty());
}

TEST_CASE("the three forms of framing reach the handler whole") {
  RecordingServer server;
  RawClient client(server.server->Port());
  SUBCASE("without a body") { client.Send(Post("")); }
  SUBCASE("with a length") {
    client.Send(Post("content-length: \t4 \r\n") + "body");
  }
  SUBCASE("in chunks") {
    client.Send(Post("transfer-encoding:Chunked\r\n") +
                "2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nname: x\r\n\r\n");
  }
  SUBCASE("by an HTTP/1.0 client") {
    client.Send("POST /outer HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody");
  }
  REQUIRE(client.WaitFor("ok"));
  REQUIRE(server.requests.size() == 1);
  const auto& body = server.requests[0].body;
  CHECK((body.empty() || body == "body"));
}

TEST_CASE("no cut into reads changes what is refused") {
  const auto& heads = AmbiguousHeads();
  SUBCASE("of the heads above") {
    CHECK(rc::check("each is invalid, however it arrives", [&] {
      const auto& head = heads[*rc::gen::inRange<std::size_t>(0, heads.size())];
      const auto cuts =
          SortedCuts(*rc::gen::container<std::vector<std::size_t>>(
                         rc::gen::inRange<std::size_t>(0, 200)),
                     head.size());
      HeadScanner scanner(HeadScanner::Message::kRequest);
      RC_ASSERT(ScanInPieces(&scanner, head, cuts) == Result::kInvalid);
      // Nothing that follows makes it valid again.
      RC_ASSERT(scanner.Scan(head + kInner) == Result::kInvalid);
    }));
  }
  SUBCASE("of any bytes") {
    CHECK(rc::check("the result depends on the bytes alone", [] {
      static const std::vector<std::string> parts = {"POST / HTTP/1.1",
                                                     "\r\n",
                                                     "\n",
                                                     "\r",
                                                     " ",
                                                     "\t",
                                                     ":",
                                                     "5",
                                                     ",",
                                                     "Content-Length",
                                                     "Transfer-Encoding",
                                                     "chunked",
                                                     "gzip",
                                                     "X-A"};
      std::string bytes;
      for (const auto index : *rc::gen::container<std::vector<std::size_t>>(
               rc::gen::inRange<std::size_t>(0, parts.size()))) {
        bytes += parts[index];
      }
      const auto cuts =
          SortedCuts(*rc::gen::container<std::vector<std::size_t>>(
                         rc::gen::inRange<std::size_t>(0, 200)),
                     bytes.size());
      HeadScanner whole(HeadScanner::Message::kRequest);
      HeadScanner pieces(HeadScanner::Message::kRequest);
      const auto expected = whole.Scan(bytes);
      RC_ASSERT(ScanInPieces(&pieces, bytes, cuts) == expected);
      if (expected == Result::kComplete) {
        RC_ASSERT(pieces.size() == whole.size());
        RC_ASSERT(pieces.framing() == whole.framing());
      }
    }));
  }
  SUBCASE("by a server that reads them") {
    RecordingServer server;
    CHECK(rc::check("no byte of a refused request is run", [&] {
      const auto& head = heads[*rc::gen::inRange<std::size_t>(0, heads.size())];
      const auto bytes = head + kInner + kInner;
      const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
      RawClient client(server.server->Port());
      client.Send(bytes.substr(0, cut));
      RunFor(1);
      client.Send(bytes.substr(cut));
      RC_ASSERT(client.WaitFor("HTTP/1.1 400"));
      RC_ASSERT(server.requests.empty());
    }));
  }
}

}  // namespace firmoor
