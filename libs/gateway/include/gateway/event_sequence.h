#ifndef FIRMOOR_GATEWAY_EVENT_SEQUENCE_H_
#define FIRMOOR_GATEWAY_EVENT_SEQUENCE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace firmoor {

/// The numbers of a stream's events, to notice that an upstream which resumes
/// it leaves some out. Ids increase, but need not be consecutive: a gap is told
/// only in a stream whose numbers have been consecutive so far. Pure.
class EventSequence {
 public:
  /// Whether `count` events, of which the last one is `last_id`, may follow
  /// those that were added. An event without an id tells nothing.
  [[nodiscard]] bool MayFollow(std::size_t count,
                               std::string_view last_id) const;
  void Add(std::size_t count, std::string_view last_id);

 private:
  /// Whether the events have the next `count` numbers.
  [[nodiscard]] bool IsNext(std::size_t count, std::string_view last_id) const;

  // Two events could be consecutive by chance.
  static constexpr std::size_t kMinEvents = 3;

  std::size_t events_ = 0;
  bool is_consecutive_ = true;
  std::optional<std::int64_t> last_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_EVENT_SEQUENCE_H_
