#include "gateway/event_relay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <string_view>
#include <vector>

namespace firmoor {
namespace {

std::string MakeEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) +
         "\n\n";
}

std::string MakeEvents(int from, int to) {
  std::string events;
  for (int id = from; id <= to; ++id) events += MakeEvent(id);
  return events;
}

}  // namespace

TEST_CASE("EventRelay forwards events") {
  EventRelay relay("");

  SUBCASE("unchanged and only when complete") {
    const auto whole = MakeEvent(1) + MakeEvent(2);
    CHECK(relay.Feed(whole.substr(0, whole.size() - 1)) == MakeEvent(1));
    CHECK(relay.HasPartialEvent());
    CHECK(relay.Feed("\n") == MakeEvent(2));
    CHECK_FALSE(relay.HasPartialEvent());
    CHECK(relay.last_event_id() == "2");
    CHECK(relay.events() == 2);
  }
  SUBCASE("with CRLF line ends") {
    CHECK(relay.Feed("id:4\r\ndata: x\r\n\r\n") == "id:4\r\ndata: x\r\n\r\n");
    CHECK(relay.last_event_id() == "4");
  }
  SUBCASE("without an id") {
    CHECK(relay.Feed("data: x\n\n") == "data: x\n\n");
    CHECK(relay.last_event_id().empty());
  }
}

// Guards against a comment of a silent upstream that is taken for the stream's
// next event.
TEST_CASE("EventRelay forwards comments, which are no events") {
  EventRelay relay("");
  CHECK(relay.Feed(": ping\n\n") == ": ping\n\n");
  CHECK(relay.Feed(":\r\n: ping\r\n\r\n") == ":\r\n: ping\r\n\r\n");
  CHECK(relay.Feed("\n\n") == "\n\n");
  CHECK(relay.events() == 0);

  SUBCASE("a part of one begins no event") {
    relay.Feed(": pi");
    CHECK(relay.HasPartialEvent());
    CHECK_FALSE(relay.HasBegunEvent());
    relay.Feed("ng\n");
    CHECK_FALSE(relay.HasBegunEvent());
    relay.Feed("d");
    CHECK(relay.HasBegunEvent());
  }
  SUBCASE("an event may hold one") {
    const auto event = ": ping\n" + MakeEvent(1);
    CHECK(relay.Feed(event) == event);
    CHECK(relay.events() == 1);
    CHECK_FALSE(relay.HasBegunEvent());
  }
}

// Guards against an event without end that is kept until memory runs out.
TEST_CASE("EventRelay tells when an event is longer than any may be") {
  EventRelay relay("");
  const std::string part(512 * 1024, 'x');
  relay.Feed(MakeEvents(1, 2) + "id: 3\ndata: " + part);
  CHECK_FALSE(relay.IsEventTooLong());
  SUBCASE("by its unfinished bytes") {
    relay.Feed(part);
    CHECK(relay.IsEventTooLong());
  }
  SUBCASE("and not when it ends") {
    relay.Feed("\n\n" + part);
    CHECK_FALSE(relay.IsEventTooLong());
  }
}

// Guards against comments without end that stop the event loop: the relay
// looked for the end of each in all bytes that had arrived (review/2).
TEST_CASE("EventRelay looks at each byte once") {
  constexpr std::size_t kReadBytes = 64 * 1024;
  std::string unit;
  std::size_t piece = kReadBytes;
  SUBCASE("in comments") { unit = ":\n\n"; }
  SUBCASE("in events that the caller has") { unit = "id: 123\r\n\r\n"; }
  SUBCASE("in an event without end, in small pieces") {
    unit = "a\n";
    piece = 16;
  }
  std::string stream;
  while (stream.size() < 4 * kReadBytes) stream += unit;
  const std::string_view bytes = stream;
  EventRelay relay("9");
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    relay.Feed(bytes.substr(at, piece));
  }
  CHECK(relay.HasBegunEvent() == (unit == "a\n"));
  CHECK(relay.examined_bytes() == stream.size());
}

TEST_CASE("EventRelay resumes a stream that was interrupted within an event") {
  EventRelay relay("");
  relay.Feed(MakeEvents(1, 3) + "id: 4\nda");
  CHECK(relay.HasPartialEvent());
  relay.DiscardPartialEvent();
  CHECK_FALSE(relay.HasPartialEvent());
  CHECK(relay.last_event_id() == "3");
  SUBCASE("without repeating events that the caller has") {
    CHECK(relay.Feed(MakeEvents(2, 5)) == MakeEvents(4, 5));
  }
}

// Guards against two runs that are joined at the wrong place, since ids were
// compared only where both are numbers (incident ORDER).
TEST_CASE("EventRelay joins another run only where it knows the place") {
  SUBCASE("not at an event without an id") {
    EventRelay relay("5");
    CHECK(relay.Feed("data: x\n\n" + MakeEvent(6)).empty());
    CHECK(relay.HasMisplacedEvent());
    CHECK(relay.events() == 0);
  }
  SUBCASE("not at an id of another kind") {
    EventRelay relay("5");
    CHECK(relay.Feed("id: a\ndata: x\n\n").empty());
    CHECK(relay.HasMisplacedEvent());
    EventRelay other("a");
    CHECK(other.Feed(MakeEvent(6)).empty());
    CHECK(other.HasMisplacedEvent());
  }
  SUBCASE("behind the event with the same id, if ids have no order") {
    EventRelay relay("a");
    CHECK(relay.Feed("id: a\ndata: x\n\nid: b\ndata: y\n\n") ==
          "id: b\ndata: y\n\n");
    CHECK_FALSE(relay.HasMisplacedEvent());
  }
  SUBCASE("behind the events that the caller has") {
    EventRelay relay("5");
    CHECK(relay.Feed(": ping\n\n" + MakeEvents(4, 7)) ==
          ": ping\n\n" + MakeEvents(6, 7));
    CHECK_FALSE(relay.HasMisplacedEvent());
  }
  SUBCASE("which are events as well") {
    EventRelay relay("5");
    relay.Feed(": ping\n\n");
    CHECK_FALSE(relay.has_received_event());
    CHECK(relay.Feed(MakeEvents(1, 3)).empty());
    CHECK(relay.events() == 0);
    CHECK(relay.has_received_event());
  }
  SUBCASE("nowhere behind an event without an id") {
    EventRelay relay("");
    relay.Feed(MakeEvents(1, 2) + "data: x\n\n");
    CHECK(relay.last_event_id().empty());
    relay.Feed(MakeEvent(3));
    CHECK(relay.last_event_id() == "3");
  }
}

TEST_CASE(
    "EventRelay forwards each event once, wherever streams are interrupted") {
  rc::check([](const std::vector<std::uint8_t>& cuts) {
    const int last = 20;
    EventRelay relay("");
    std::string received;
    for (const auto cut : cuts) {
      const int from = relay.last_event_id().empty()
                           ? 1
                           : std::stoi(relay.last_event_id()) + 1;
      const auto rest = MakeEvents(from, last);
      received += relay.Feed(rest.substr(0, cut));
      relay.DiscardPartialEvent();
    }
    const int from = relay.last_event_id().empty()
                         ? 1
                         : std::stoi(relay.last_event_id()) + 1;
    received += relay.Feed(MakeEvents(from, last));
    RC_ASSERT(received == MakeEvents(1, last));
  });
}

}  // namespace firmoor
