#ifndef FIRMOOR_SUPPORT_LOST_REQUEST_CHECKER_H_
#define FIRMOOR_SUPPORT_LOST_REQUEST_CHECKER_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Judges which requests were lost to planned work: their connection ended
/// without a complete answer around a planned stop, a reload of the settings or
/// a change of the configuration, while nothing else disturbed the daemon. Also
/// judges connections that were kept and closed instead of an answer. An
/// upstream that falls silent and goes on disturbs nothing. Times are the
/// callers' and the operator's. Performs no I/O.
class LostRequestChecker {
 public:
  /// The allowances of the rule.
  struct Rule {
    Duration grace{8'000};   ///< From the order to stop to the forced end.
    Duration apply{2'500};   ///< For a configuration or settings to apply.
    Duration margin{1'000};  ///< After the end of a stop or a change.
    /// An unanswered request that no upstream received is lost only if its
    /// connection lasted longer than this.
    Duration slack{200};
    /// Requests sent later than this after the order to stop are lost even if
    /// an upstream still worked on them in the last sixth of `grace`.
    Duration late{3'000};
    double factor = 3;        ///< How much more often beside a change.
    double used_share = 0.7;  ///< Of its time; beside a change.
    /// Requests on kept connections that all daemons together may leave without
    /// an answer.
    std::size_t kept = 3;
  };
  enum class Work { kStop, kReload, kConfiguration, kNone };

  /// "stop" and so on, for reports.
  static std::string_view NameOf(Work work) {
    constexpr std::string_view kNames[] = {"stop", "reload", "configuration",
                                           "kept connection"};
    return kNames[static_cast<int>(work)];
  }
  /// A request that was wholly sent and has ended.
  struct Request {
    std::string id;
    std::size_t daemon = 0;
    TimePoint sent_at;
    TimePoint ended_at;
    Duration time{0};          ///< The shorter of the caller's and the route's.
    bool is_complete = false;  ///< It has a whole answer or refusal.
    bool is_begun = false;     ///< Some of its answer arrived.
    bool is_passed_on = false;   ///< It was sent to an upstream.
    bool is_broken_off = false;  ///< By its upstream, or by the caller.
    /// When its upstream last worked on it.
    TimePoint worked_until;
  };
  struct Loss {
    std::string id;
    std::size_t daemon = 0;
    Work work = Work::kStop;
    TimePoint sent_at;
    TimePoint ended_at;

    bool operator==(const Loss&) const = default;
  };

  LostRequestChecker() = default;
  explicit LostRequestChecker(Rule rule) : rule_(rule) {}

  void OnStop(std::size_t daemon, TimePoint at) {
    stops_.push_back({daemon, at});
  }
  void OnReload(std::size_t daemon, TimePoint at) {
    reloads_.push_back({daemon, at});
  }
  void OnConfiguration(TimePoint sent_at, TimePoint acknowledged_at) {
    changes_.push_back({sent_at, acknowledged_at + rule_.apply + rule_.margin});
  }
  /// Call only for requests during which, and for some time before which,
  /// nothing but planned work disturbed the daemon.
  void OnEnd(const Request& request) { requests_.push_back(request); }
  /// Call for requests on connections that were open before, if the daemon is
  /// in touch and the upstreams that it sent the request to are sound.
  void OnKeptEnd(const Request& request) {
    ++on_kept_;
    const bool is_lost = request.is_passed_on && !request.is_complete &&
                         !request.is_begun && !request.is_broken_off;
    if (is_lost) kept_.push_back(LossOf(request, Work::kNone));
  }
  /// Requests judged by `OnKeptEnd`.
  [[nodiscard]] std::size_t on_kept() const { return on_kept_; }

  /// Whether the request was ended by its daemon without a complete answer
  /// before its time was over.
  [[nodiscard]] bool IsCut(const Request& request) const {
    const auto lasted = request.ended_at - request.sent_at;
    if (request.is_complete || request.is_broken_off) return false;
    return lasted < request.time &&
           (request.is_passed_on || lasted > rule_.slack);
  }
  /// Whether the daemon's stop cut the request in the last part of its grace,
  /// in which its upstream still worked on it. Such a request is not lost to
  /// other planned work either.
  [[nodiscard]] bool IsExcused(const Request& request) const {
    return std::any_of(stops_.begin(), stops_.end(), [&](const Order& stop) {
      return IsExcusedBy(stop, request);
    });
  }
  /// All lost requests, in the order in which they ended; those on kept
  /// connections last.
  [[nodiscard]] std::vector<Loss> Losses() const {
    std::vector<Loss> losses;
    for (const auto& request : requests_) {
      if (!IsCut(request) || IsExcused(request)) continue;
      if (IsLostToStop(request)) {
        losses.push_back(LossOf(request, Work::kStop));
      } else if (IsLostToReload(request)) {
        losses.push_back(LossOf(request, Work::kReload));
      } else if (CountsBesideChange(request) &&
                 IsCutMoreOftenBesideChanges(request.daemon)) {
        losses.push_back(LossOf(request, Work::kConfiguration));
      }
    }
    if (kept_.size() > rule_.kept) {
      losses.insert(losses.end(), kept_.begin(), kept_.end());
    }
    return losses;
  }

 private:
  struct Order {
    std::size_t daemon = 0;
    TimePoint at;
  };
  struct Window {
    TimePoint from;
    TimePoint until;
  };
  /// Requests that ended, and those of them that were cut.
  struct Share {
    double ended = 0;
    double cut = 0;
  };

  static Loss LossOf(const Request& request, Work work) {
    return {request.id, request.daemon, work, request.sent_at,
            request.ended_at};
  }
  [[nodiscard]] bool IsBeside(const Order& stop, const Request& request) const {
    return stop.daemon == request.daemon && request.ended_at >= stop.at &&
           request.ended_at <= stop.at + rule_.grace + rule_.margin;
  }
  [[nodiscard]] bool IsExcusedBy(const Order& stop,
                                 const Request& request) const {
    constexpr int kLastPart = 6;
    const auto last_part = stop.at + rule_.grace - rule_.grace / kLastPart;
    return IsBeside(stop, request) && request.sent_at <= stop.at + rule_.late &&
           request.worked_until >= last_part;
  }
  [[nodiscard]] bool IsLostToStop(const Request& request) const {
    return std::any_of(stops_.begin(), stops_.end(), [&](const Order& stop) {
      return IsBeside(stop, request);
    });
  }
  [[nodiscard]] bool IsLostToReload(const Request& request) const {
    return std::any_of(reloads_.begin(), reloads_.end(),
                       [&](const auto& order) {
                         return order.daemon == request.daemon &&
                                request.ended_at >= order.at &&
                                request.sent_at <= order.at + rule_.apply;
                       });
  }
  [[nodiscard]] bool EndedBesideChange(const Request& request) const {
    return std::any_of(changes_.begin(), changes_.end(),
                       [&](const auto& window) {
                         return request.ended_at >= window.from &&
                                request.ended_at <= window.until;
                       });
  }
  [[nodiscard]] bool CountsBesideChange(const Request& request) const {
    const auto lasted =
        static_cast<double>((request.ended_at - request.sent_at).count());
    const auto allowed =
        rule_.used_share * static_cast<double>(request.time.count());
    return EndedBesideChange(request) && lasted < allowed;
  }
  [[nodiscard]] bool IsCutMoreOftenBesideChanges(std::size_t daemon) const {
    Share beside;
    Share otherwise;
    for (const auto& request : requests_) {
      if (request.daemon != daemon) continue;
      const bool is_beside = EndedBesideChange(request);
      auto& share = is_beside ? beside : otherwise;
      ++share.ended;
      if (IsCut(request) && (!is_beside || CountsBesideChange(request))) {
        ++share.cut;
      }
    }
    // Compares the quotients without dividing by zero.
    return beside.cut * otherwise.ended >
               rule_.factor * otherwise.cut * beside.ended ||
           (beside.cut > 0 && otherwise.ended == 0);
  }

  Rule rule_;
  std::vector<Order> stops_;
  std::vector<Order> reloads_;
  std::vector<Window> changes_;
  std::vector<Request> requests_;
  std::vector<Loss> kept_;  ///< Without an answer, on kept connections.
  std::size_t on_kept_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_LOST_REQUEST_CHECKER_H_
