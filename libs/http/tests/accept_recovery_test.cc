#include "http/accept_recovery.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "http/http_server.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr Duration kMaxStopTime{500};
constexpr std::chrono::milliseconds kLongestLoop{2'000};

/// Leaves this process no free descriptor until it is destroyed.
class NoDescriptors {
 public:
  NoDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit_) == 0);
    const int lowest_free = open("/dev/null", O_RDONLY);
    REQUIRE(lowest_free >= 0);
    close(lowest_free);
    auto lowered = limit_;
    lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~NoDescriptors() { Restore(); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

  void Restore() const { setrlimit(RLIMIT_NOFILE, &limit_); }

 private:
  rlimit limit_{};
};

std::unique_ptr<HttpServer> StartServer() {
  auto server = HttpServer::Builder()
                    .Listen({"127.0.0.1", 0})
                    .Handler([](const HttpRequest&, const auto& responder) {
                      responder->Send({200, {}, "served"});
                    })
                    .Build();
  REQUIRE(server->Start());
  return server;
}

/// How long `server` takes to stop accepting. Frees descriptors after
/// `kLongestLoop`, so that a stop that waits for one ends.
Duration TimeToStopAccepting(HttpServer* server) {
  std::atomic<bool> has_stopped = false;
  std::atomic<bool> is_restored = false;
  const NoDescriptors* limit = nullptr;
  std::atomic<bool> is_limited = false;
  std::thread watchdog([&] {
    while (!is_limited) std::this_thread::yield();
    const auto end = std::chrono::steady_clock::now() + kLongestLoop;
    while (!has_stopped && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    limit->Restore();
    is_restored = true;
  });
  const NoDescriptors no_descriptors;
  limit = &no_descriptors;
  is_limited = true;
  const auto started_at = MonotonicNow();
  server->StopAccepting();
  const auto time = MonotonicNow() - started_at;
  has_stopped = true;
  watchdog.join();
  return time;
}

}  // namespace

// Guards against a process that spins, or no longer accepts connections, after
// it had no free descriptor for one that waited (FAULT).
TEST_CASE("a connection waits while the process has no free descriptor") {
  const auto server = StartServer();
  RawClient waiting(server->Port());

  SUBCASE("and is served once there is one again") {
    {
      const NoDescriptors limit;
      RunFor(250);
      CHECK(server->ConnectionCount() == 0);
    }
    waiting.Send(kGet);
    CHECK(waiting.WaitFor("served", 1'000));
    CHECK(server->AcceptFailures() > 0);
    SUBCASE("as are later ones") {
      RawClient later(server->Port());
      later.Send(kGet);
      CHECK(later.WaitFor("served", 1'000));
    }
  }
  SUBCASE("and does not keep the process from stopping") {
    CHECK(TimeToStopAccepting(server.get()) < kMaxStopTime);
  }
}

}  // namespace firmoor
