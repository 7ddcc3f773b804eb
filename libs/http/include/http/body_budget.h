#ifndef FIRMOOR_HTTP_BODY_BUDGET_H_
#define FIRMOOR_HTTP_BODY_BUDGET_H_

#include <cstddef>

namespace firmoor {

/// Longest response body that is collected before it is passed on, in bytes:
/// what `HttpServerLimits` takes of a request.
constexpr std::size_t kMaxCollectedBodyBytes = 8 * 1024 * 1024;

/// Limits the memory of bodies that a process collects before it passes them
/// on, each and in all. A body up to `free_bytes` needs nothing of what all
/// share, so that large ones cannot keep small ones out. Pure.
class BodyBudget {
 public:
  struct Limits {
    std::size_t body_bytes;    ///< Of one body.
    std::size_t shared_bytes;  ///< Of all, beyond their `free_bytes`.
    std::size_t free_bytes;

    bool operator==(const Limits&) const = default;
  };

  /// What one body takes of the budget, until it is destroyed. The budget must
  /// outlive it.
  class Share {
   public:
    explicit Share(BodyBudget* budget) : budget_(budget) {}
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Takes `bytes` more. Returns false, and takes none, beyond a limit.
    bool Grow(std::size_t bytes);

   private:
    BodyBudget* budget_;
    std::size_t bytes_ = 0;
  };

  explicit BodyBudget(Limits limits) : limits_(limits) {}

  /// Of all bodies, beyond their `free_bytes`.
  [[nodiscard]] std::size_t shared_bytes_in_use() const { return in_use_; }

 private:
  [[nodiscard]] std::size_t SharedPart(std::size_t bytes) const;

  Limits limits_;
  std::size_t in_use_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_BODY_BUDGET_H_
