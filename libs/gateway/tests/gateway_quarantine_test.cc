#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "support/log_pipe.h"

namespace firmoor {
namespace {

constexpr int kCrashesToKnow = 4;
// Longer than a daemon without a coordinator waits before it judges.
constexpr int kJudgeTimeMs = 800;

/// An upstream that sends `start` for each request and then crashes, or closes
/// the connection only.
struct FailingUpstream {
  std::string start;
  bool crashes = true;
  bool has_failed = false;
  std::unique_ptr<RawUpstream> upstream =
      std::make_unique<RawUpstream>([this](auto& connection) {
        connection.socket->write(QByteArray::fromStdString(start));
        connection.socket->flush();
        QTimer::singleShot(20, connection.socket, [this, &connection] {
          if (!crashes) connection.socket->abort();
          has_failed = true;
        });
      });

  void WaitFailed() {
    REQUIRE(WaitUntil([this] { return has_failed; }, 2'000));
    if (crashes) upstream.reset();
  }
};

std::string SendChunk(GatewayFixture* fixture, const std::string& chunk,
                      const std::string& route = "stream") {
  const auto caller = fixture->SendRequest(route, "Chunk: " + chunk + "\r\n");
  caller->WaitFor("\r\n\r\n", 1'500);
  return caller->Received();
}

/// Sends one request with the chunk to each of several upstreams, which fail.
void FailUpstreams(GatewayFixture* fixture, const std::string& start,
                   bool crashes, bool leaving = false) {
  for (int i = 0; i < kCrashesToKnow; ++i) {
    FailingUpstream failing{start, crashes};
    const auto id = "u" + std::to_string(i);
    fixture->AddUpstream(id, *failing.upstream);
    // Another path each time: the requests have only their chunk in common.
    const auto caller =
        fixture->SendRequest("stream/" + std::to_string(i), "Chunk: c\r\n");
    if (leaving) {
      REQUIRE(
          WaitUntil([&] { return failing.upstream->Requests() == 1; }, 1'000));
      fixture->AddUpstream(id, *failing.upstream, true);
    }
    failing.WaitFailed();
    caller->WaitClosed(500);
    fixture->gateway.RemoveUpstream(id);
    RunFor(20);
  }
  RunFor(kJudgeTimeMs);
}

}  // namespace

// Guards against daemons that send a request on although upstreams crash under
// what it holds, whatever the framing of the broken responses (incident
// BUDGET).
TEST_CASE("a daemon without a coordinator learns what crashes upstreams") {
  GatewayFixture fixture;
  const auto event = MakeEvent(1);
  const std::string starts[] = {
      "",
      "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\n\r\n" + event + "id: 2\nda",
  };
  for (const auto& start : starts) {
    CAPTURE(start);
    SUBCASE("and rejects it, whatever the framing of the response") {
      GatewayFixture fresh;
      FailUpstreams(&fresh, start, true);
      RawUpstream sound([](auto& connection) {
        SendResponse(connection, "200 OK", MakeEvent(1));
      });
      fresh.AddUpstream("sound", sound);
      const auto rejected = SendChunk(&fresh, "c");
      CHECK(rejected.find("503") != std::string::npos);
      CHECK(rejected.find("Firmoor-Code: 2006") != std::string::npos);
      CHECK(rejected.find("Retry-After") == std::string::npos);
      CHECK(sound.Requests() == 0);
      CHECK(SendChunk(&fresh, "other").find("200") != std::string::npos);

      REQUIRE(fresh.gateway.Verdicts().size() == 1);
      const auto hash = fresh.gateway.Verdicts().front().members.begin()->hash;
      CHECK(fresh.gateway.LiftVerdict(hash));
      CHECK(SendChunk(&fresh, "c").find("200") != std::string::npos);
    }
  }
  SUBCASE("and sends it when only its connections break") {
    FailUpstreams(&fixture, starts[1], false);
    CHECK(fixture.gateway.Verdicts().empty());
  }
  SUBCASE("and sends it when the upstreams had announced to leave") {
    FailUpstreams(&fixture, starts[1], true, true);
    CHECK(fixture.gateway.Verdicts().empty());
  }
}

// Guards against verdicts that come without a sign of what had been suspected.
TEST_CASE("a suspicion has a line in the log before its verdict") {
  LogPipe log;
  GatewayFixture fixture(true, log.input());
  QuarantineReply reply;
  reply.term = 1;
  for (int i = 0; i < 9; ++i) {
    reply.watched.insert({SuspectKind::kPromptChunk, "c" + std::to_string(i)});
  }

  SUBCASE("when the coordinator has it, once and of bounded length") {
    fixture.gateway.ApplyQuarantine(reply);
    fixture.gateway.ApplyQuarantine(reply);
    const auto line = log.OnlyLine("quarantine-suspected");
    CHECK(line["source"].toString() == "coordinator");
    CHECK(line["suspects"].toInt() == 9);
    CHECK(line["hashes"].toString() == "c0,c1,c2,c3");
    CHECK(line["crashes_seen"].toInt() == 0);
  }
  SUBCASE("but not for what a verdict is about already") {
    reply.verdicts = {{reply.watched, Duration(1'000), 4, {"u"}}};
    fixture.gateway.ApplyQuarantine(reply);
    CHECK(log.Lines("quarantine-suspected").empty());
  }
  SUBCASE("when a daemon without a coordinator has it") {
    FailUpstreams(&fixture, "", true);
    REQUIRE(fixture.gateway.Verdicts().size() == 1);
    const auto lines = log.Lines("quarantine-suspected");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["source"].toString() == "own");
    CHECK(lines[0]["crashes_seen"].toInt() >= 2);
  }
}

// Guards against suspects that are sent from one upstream to the next, and
// against sound requests that fail since they hold a suspect as well.
TEST_CASE("a request that holds a suspect") {
  GatewayFixture fixture;
  RawUpstream breaking([](auto& connection) { connection.socket->abort(); });
  fixture.AddUpstream("breaking", breaking);
  REQUIRE(SendChunk(&fixture, "c", "once").find("502") != std::string::npos);
  RunFor(50);
  FailingUpstream crashing{"", true};
  fixture.gateway.RemoveUpstream("breaking");
  fixture.AddUpstream("crashing", *crashing.upstream);
  const auto caller = fixture.SendRequest("once", "Chunk: c\r\n");
  crashing.WaitFailed();
  caller->WaitFor("502", 1'000);
  RunFor(50);
  const auto report = fixture.gateway.ReportQuarantine();
  REQUIRE(report.crashes.size() == 1);
  CHECK(report.crashes.front().run.upstream == "crashing");
  QuarantineReply reply;
  reply.term = 1;
  for (const auto& [suspect, age] : report.crashes.front().suspects) {
    reply.watched.insert(suspect);
  }
  fixture.gateway.ApplyQuarantine(reply);
  fixture.gateway.RemoveUpstream("crashing");
  RawUpstream sound(
      [](auto& connection) { SendResponse(connection, "200 OK", "done"); });

  SUBCASE("is sent to another upstream when the first one refuses") {
    auto gone = std::make_unique<RawUpstream>([](auto&) {});
    fixture.AddUpstream("a-gone", *gone);
    gone.reset();
    fixture.AddUpstream("b-sound", sound);
    for (int i = 0; i < 4; ++i) {
      CHECK(SendChunk(&fixture, "c", "idempotent").find("200") !=
            std::string::npos);
    }
  }
  SUBCASE("is not sent to another one when it may have run") {
    fixture.AddUpstream("breaking", breaking);
    CHECK(SendChunk(&fixture, "c", "idempotent").find("502") !=
          std::string::npos);
    fixture.AddUpstream("sound", sound);
    CHECK(sound.Requests() == 0);
  }
}

}  // namespace firmoor
