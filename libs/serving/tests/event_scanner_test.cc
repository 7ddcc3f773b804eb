#include "serving/event_scanner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "serving/sse_parser.h"

namespace firmoor {
namespace {

/// The events of `stream`, whose bytes arrive in the pieces that `cuts` name.
std::vector<std::string> ScanInPieces(std::string_view stream,
                                      const std::vector<std::size_t>& cuts,
                                      EventScanner* scanner) {
  std::vector<std::string> events;
  std::string received;
  std::size_t at = 0;
  const auto scan = [&](std::size_t size) {
    received += stream.substr(at, size);
    at = std::min(stream.size(), at + size);
    while (const auto event = scanner->Next(received)) {
      events.push_back(received.substr(0, event->size) + "|" +
                       std::string(event->id) +
                       (event->is_comment ? "|comment" : "|event"));
      received.erase(0, event->size);
    }
  };
  for (const auto cut : cuts) scan(cut);
  scan(stream.size() - at);
  return events;
}

}  // namespace

TEST_CASE("EventScanner finds events") {
  EventScanner scanner;

  SUBCASE("with their ids, whatever their line ends") {
    const std::string stream = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\nd\n\n";
    CHECK(ScanInPieces(stream, {}, &scanner) ==
          std::vector<std::string>{"id: 7\ndata: a\n\n|7|event",
                                   "id:8\r\ndata: b\r\n\r\n|8|event",
                                   "d\n\n||event"});
  }
  SUBCASE("and tells comments from them") {
    CHECK(ScanInPieces(": ping\n\n\n\n", {}, &scanner) ==
          std::vector<std::string>{": ping\n\n||comment", "\n\n||comment"});
    scanner.Next(": pi");
    CHECK_FALSE(scanner.HasBegunEvent());
    scanner.Next(": ping\n\r");
    CHECK_FALSE(scanner.HasBegunEvent());
    scanner.Next(": ping\n\rd");
    CHECK(scanner.HasBegunEvent());
  }
  SUBCASE("and forgets an incomplete one") {
    scanner.Next("id: 1\nda");
    scanner.Reset();
    CHECK_FALSE(scanner.HasBegunEvent());
    CHECK(ScanInPieces("data: b\n\n", {}, &scanner) ==
          std::vector<std::string>{"data: b\n\n||event"});
  }
}

// Guards against events that depend on where the network cuts a stream.
TEST_CASE("EventScanner finds the same events however they are cut") {
  rc::check([] {
    const auto parts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::elementOf(std::vector<std::string>{
            ":", "\n", "\n\n", "\r\n", "\r", "id:", "id: 3", "data: x", " "}));
    std::string stream;
    for (const auto& part : parts) stream += part;
    const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 4));
    EventScanner whole;
    EventScanner pieces;
    RC_ASSERT(ScanInPieces(stream, cuts, &pieces) ==
              ScanInPieces(stream, {}, &whole));
    RC_ASSERT(pieces.HasBegunEvent() == whole.HasBegunEvent());
    RC_ASSERT(pieces.examined_bytes() == stream.size());
  });
}

// Guards against an event stream that stops the event loop: each event was
// looked for in all bytes that had arrived (review/2).
TEST_CASE("a parser of events looks at each byte once") {
  constexpr std::size_t kBytes = 256 * 1024;
  constexpr std::size_t kReadBytes = 64 * 1024;
  std::string unit;
  std::size_t piece = kReadBytes;
  SUBCASE("in comments") { unit = ":\n\n"; }
  SUBCASE("in events that end in CRLF") { unit = "data: x\r\n\r\n"; }
  SUBCASE("in an event without end, in small pieces") {
    unit = "a\n";
    piece = 16;
  }
  SUBCASE("in a line without end, in small pieces") {
    unit = "x";
    piece = 16;
  }
  std::string stream;
  while (stream.size() < kBytes) stream += unit;
  const std::string_view bytes = stream;
  SseParser parser;
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    parser.Feed(bytes.substr(at, piece));
  }
  CHECK(parser.examined_bytes() == stream.size());
}

}  // namespace firmoor
