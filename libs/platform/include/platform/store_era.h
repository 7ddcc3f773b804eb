#ifndef FIRMOOR_PLATFORM_STORE_ERA_H_
#define FIRMOOR_PLATFORM_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace firmoor {

/// The latest era of the platform's store that this daemon has heard of, from
/// the store itself or from other daemons. Answers of earlier eras are
/// obsolete. Does no I/O; not thread-safe.
class StoreEra {
 public:
  /// Later eras are not believed: fencing numbers have no room for them.
  static constexpr std::int64_t kMax = 1 << 22;

  /// Called with the earlier and the new era.
  using OnRise = std::function<void(std::int64_t from, std::int64_t to)>;

  /// Records an era that was heard of. Returns false if it is obsolete. The
  /// first era that is heard of is no rise.
  bool Observe(std::int64_t era);

  /// Adds a handler for rises. It must stay valid as long as this object.
  void AddHandler(OnRise handler) { handlers_.push_back(std::move(handler)); }

  /// Empty until the first `Observe`.
  [[nodiscard]] const std::optional<std::int64_t>& known() const {
    return era_;
  }
  /// The era known, 0 if there is none.
  [[nodiscard]] std::int64_t current() const { return era_.value_or(0); }

 private:
  std::optional<std::int64_t> era_;
  std::vector<OnRise> handlers_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_STORE_ERA_H_
