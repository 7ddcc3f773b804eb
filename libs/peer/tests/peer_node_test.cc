#include "peer/peer_node.h"

#include <doctest/doctest.h>

#include <optional>

#include "support/raw_socket.h"

namespace firmoor {
namespace {

struct Node {
  std::vector<PeerNode::Reply> held_replies;
  std::unique_ptr<PeerNode> node;

  explicit Node(const std::string& token = "secret") {
    node =
        PeerNode::Builder()
            .Listen({"127.0.0.1", 0})
            .Token(token)
            .Handler([this](const std::string& kind, const QByteArray& message,
                            PeerNode::Reply reply) {
              if (kind == "hold") {
                return held_replies.push_back(std::move(reply));
              }
              reply(QByteArray(kind.c_str()) + ":" + message);
            })
            .Build();
    REQUIRE(node->Start());
  }
  [[nodiscard]] Endpoint Address() const { return {"127.0.0.1", node->Port()}; }
};

struct Call {
  std::optional<PeerStatus> status;
  QByteArray body;

  Call(Node& from, const Endpoint& to, const std::string& kind,
       const QByteArray& message, int timeout_ms = 1'000) {
    from.node->Call(to, kind, message, Duration(timeout_ms),
                    [this](PeerStatus outcome, const QByteArray& response) {
                      status = outcome;
                      body = response;
                    });
  }
  bool Wait() {
    return WaitUntil([&] { return status.has_value(); });
  }
};

}  // namespace

TEST_CASE("calls between peer nodes") {
  Node a;
  Node b;
  SUBCASE("get their responses, small or large and concurrently") {
    Call small(a, b.Address(), "echo", "hello");
    Call large(a, b.Address(), "echo", QByteArray(3'000'000, 'x'));
    Call back(b, a.Address(), "echo", "back");
    REQUIRE(small.Wait());
    REQUIRE(large.Wait());
    REQUIRE(back.Wait());
    CHECK(small.body == "echo:hello");
    CHECK(large.body.size() == 3'000'005);
    CHECK(back.body == "echo:back");
  }
  SUBCASE(
      "time out without a response, and an unresponsive connection is "
      "replaced") {
    for (int i = 0; i < 2; ++i) {
      Call held(a, b.Address(), "hold", "", 50);
      REQUIRE(held.Wait());
      CHECK(*held.status == PeerStatus::kNoResponse);
    }
    Call next(a, b.Address(), "echo", "again");
    REQUIRE(next.Wait());
    CHECK(next.body == "echo:again");
    for (const auto& reply : b.held_replies) reply("late");
    RunFor(20);
  }
  SUBCASE("to a closed port are reported as not sent") {
    Endpoint closed = b.Address();
    b.node->Stop();
    Call call(a, closed, "echo", "hello");
    REQUIRE(call.Wait());
    CHECK(*call.status == PeerStatus::kNotSent);
  }
  SUBCASE("without the shared secret are rejected") {
    Node unauthorized("other");
    Call call(unauthorized, b.Address(), "echo", "hello");
    REQUIRE(call.Wait());
    CHECK(*call.status != PeerStatus::kOk);
  }
}

}  // namespace firmoor
