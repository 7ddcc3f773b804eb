#ifndef FIRMOOR_HTTP_BODY_BUDGET_H_
#define FIRMOOR_HTTP_BODY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "base/time.h"

namespace firmoor {

/// Longest response body that is collected before it is passed on, in bytes:
/// what `HttpServerLimits` takes of a request.
constexpr std::size_t kMaxCollectedBodyBytes = 8 * 1024 * 1024;

/// Limits the memory of bodies that a process collects before it passes them
/// on, each and in all, until their receivers have taken them. A body up to
/// `free_bytes` needs nothing of what all share, so that large ones cannot keep
/// small ones out. If the memory is short, receivers that take nothing and
/// uploads that hardly arrive give way to bodies that do. Bodies that need more
/// than there is wait, but for one at a time that may go beyond the limit, so
/// that they cannot all wait for one another. Pure.
class BodyBudget {
 public:
  struct Limits {
    std::size_t body_bytes;    ///< Of one body.
    std::size_t shared_bytes;  ///< Of all, beyond their `free_bytes`.
    std::size_t free_bytes;

    bool operator==(const Limits&) const = default;
  };

  /// Time without a byte taken after which a receiver gives way. One that reads
  /// takes bytes more often, unless its link is slow.
  static constexpr Duration kMinStall{1'000};
  /// Bytes of an upload that have to arrive within that time. Far below what a
  /// large body needs to arrive within the time-out of a request.
  static constexpr std::size_t kMinUploadBytes = 4 * 1024;

  /// What one body takes of the budget, until it is destroyed.
  class Share {
   public:
    explicit Share(std::shared_ptr<BodyBudget> budget)
        : budget_(std::move(budget)) {}
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Takes `bytes` more. Returns false, and takes none, if the body is to
    /// wait or is beyond the limit of one.
    bool Grow(std::size_t bytes, TimePoint now);
    /// Takes `bytes` of a body that has arrived whole, also beyond a limit.
    void Take(std::size_t bytes, TimePoint now);
    /// The body is complete and passed on. `give_way` is called if the memory
    /// is needed and the receiver seems to take nothing. It breaks the passing
    /// on off and destroys the share, or returns false if the receiver has
    /// taken bytes after all, as after a standstill of the process.
    void StartDelivery(std::function<bool()> give_way, TimePoint now);
    /// The bytes come from a sender that may stop at any time. `give_way` is as
    /// for a delivery; a share that waits for memory does not give way.
    void StartUpload(std::function<bool()> give_way, TimePoint now);
    /// The upload is complete and does not give way any more.
    void EndUpload();
    /// Releases what the body takes beyond `bytes`.
    void ShrinkTo(std::size_t bytes);
    /// The receiver has taken bytes.
    void OnTaken(TimePoint now) { taken_at_ = now; }
    /// Whether it takes anything of what all share.
    [[nodiscard]] bool IsLarge() const;

   private:
    friend class BodyBudget;
    /// Takes `bytes` more, of which all share `more`.
    void Add(std::size_t bytes, std::size_t more, TimePoint now);

    std::shared_ptr<BodyBudget> budget_;
    std::size_t bytes_ = 0;
    std::size_t recent_bytes_ = 0;  ///< Of an upload, since `taken_at_`.
    TimePoint taken_at_;
    bool is_upload_ = false;
    bool is_waiting_ = false;  ///< For memory.
    std::function<bool()> give_way_;
  };

  explicit BodyBudget(Limits limits) : limits_(limits) {}

  /// Of all bodies, beyond their `free_bytes`.
  [[nodiscard]] std::size_t shared_bytes_in_use() const { return in_use_; }

  /// Bodies that were broken off since their receivers took nothing, or their
  /// senders sent hardly anything.
  [[nodiscard]] std::size_t gave_way() const { return gave_way_; }

 private:
  [[nodiscard]] std::size_t SharedPart(std::size_t bytes) const;
  [[nodiscard]] bool HasRoom(std::size_t bytes) const;
  /// Makes room for `bytes`, if bodies that stand still can give way.
  bool MakeRoom(std::size_t bytes, TimePoint now);
  /// The body that stands still for longest, of these the largest; null if all
  /// wait for memory.
  [[nodiscard]] Share* Slowest() const;
  /// Whether `share` may go beyond what all share, since no other body can free
  /// anything.
  [[nodiscard]] bool MayExceed(const Share* share) const;

  Limits limits_;
  std::size_t in_use_ = 0;
  std::size_t gave_way_ = 0;
  std::set<Share*> candidates_;    ///< That can give way.
  TimePoint none_stalled_before_;  ///< No candidate gives way before.
  const Share* exempt_ = nullptr;  ///< May go beyond what all share.
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_BODY_BUDGET_H_
