#ifndef FIRMOOR_BASE_SUPERVISOR_H_
#define FIRMOOR_BASE_SUPERVISOR_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace firmoor {

/// Starts the parts of a program in order, restarts a part that fails and
/// stops them in reverse order. A supervisor can be a part of another one,
/// which makes a tree. Must be used in the thread of the Qt event loop.
///
///     auto root = Supervisor::Builder("root")
///         .Part({"peers", [&] { return peers.Start(); },
///                [&] { peers.Stop(); }})
///         .Build();
///     if (!root->Start()) return 1;
class Supervisor {
 public:
  /// One supervised part.
  struct Part {
    std::string name;
    std::function<bool()> start;  ///< False when the part cannot start.
    std::function<void()> stop;
    /// After a start that failed: whether it may succeed later. Unset: no.
    std::function<bool()> may_retry = nullptr;
  };
  /// A start that is tried again after `delay`.
  struct Retry {
    std::string part;
    int attempts = 0;  ///< So far.
    std::chrono::milliseconds delay{0};
  };

  /// Configures a supervisor.
  class Builder {
   public:
    explicit Builder(std::string name);
    ~Builder();
    Builder& Part(Supervisor::Part part);
    /// Sets the number of restarts of one part before the supervisor gives up.
    Builder& RestartBudget(int restarts);
    /// Called before each wait for a part that did not start yet.
    Builder& OnRetry(std::function<void(const Retry&)> handler);
    /// Called when a part has exhausted its restarts.
    Builder& OnGiveUp(std::function<void(const std::string& part)> handler);
    std::unique_ptr<Supervisor> Build();

   private:
    friend class Supervisor;
    struct Impl;
    std::unique_ptr<Impl> impl_;
  };

  ~Supervisor();

  /// Starts all parts in order. A part that may be retried is tried again until
  /// it starts, and the parts behind it wait for it: Start then returns true
  /// before all parts have started. On any other failure stops those already
  /// started and returns false.
  bool Start();

  /// Whether all parts have started.
  [[nodiscard]] bool IsStarted() const;

  /// Stops all parts in reverse order. Safe to call twice.
  void Stop();

  /// Reports that a running part failed: it is restarted after a backoff of
  /// 100 ms that doubles with each restart.
  void ReportFailure(const std::string& part);

 private:
  explicit Supervisor(std::unique_ptr<Builder::Impl> impl);
  bool StartPart(std::size_t index);
  /// Starts the parts from `index` on, as far as they start.
  void StartFrom(std::size_t index, int attempts);
  void RetryLater(std::size_t index, int attempts);

  std::unique_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_SUPERVISOR_H_
