#ifndef FIRMOOR_ROUTING_ENGINE_LOADS_H_
#define FIRMOOR_ROUTING_ENGINE_LOADS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "routing/engine_report.h"

namespace firmoor {

/// Estimates the load of engines as seen by one daemon. In a large fleet a
/// daemon rarely sends requests to any given engine, so its own requests do not
/// reflect the engine's batch. Engines that were probed are estimated from
/// their report, and the others from the mean of recent reports. Performs no
/// I/O.
class EngineLoads {
 public:
  /// An engine and the requests that this daemon has there.
  struct Engine {
    std::string id;
    std::string service;
    std::int64_t slots = 1;  ///< Maximum batch size.
    std::int64_t own = 0;    ///< In-flight requests of this daemon.

    bool operator==(const Engine&) const = default;
  };

  /// Records a load report of the engine.
  void OnReport(const Engine& engine, const EngineLoad& load, TimePoint now);
  /// Records the time from the first event of a request to its end.
  void OnRequestEnd(const std::string& service, Duration ran);
  /// Records the output token limit of a request.
  void OnRequest(const std::string& service, double output_tokens);
  void Remove(const std::string& id) { reports_.erase(id); }

  /// Estimated requests at the engine from all daemons.
  [[nodiscard]] double Requests(const Engine& engine, TimePoint now) const;
  /// Estimated time that one more request would wait for a slot.
  [[nodiscard]] Duration Wait(const Engine& engine, TimePoint now) const;
  /// Whether the last report is recent enough that a probe would add nothing.
  [[nodiscard]] bool IsFresh(const std::string& id, TimePoint now) const;
  /// Whether a request is large enough to justify the cost of probing.
  [[nodiscard]] bool IsWorthProbing(const std::string& service,
                                    double output_tokens) const;

 private:
  struct Report {
    EngineLoad load;
    TimePoint at;
    std::int64_t own = 0;  ///< Requests of this daemon at that time.
  };
  /// Running means over the engines and requests of a service.
  struct Means {
    std::optional<double> requests;        ///< Per engine.
    TimePoint reported_at;                 ///< Time of the last report.
    std::optional<double> request_time_s;  ///< First event to end.
    std::optional<double> output_tokens;
  };

  [[nodiscard]] const Means& MeansFor(const std::string& service) const;

  std::map<std::string, Report> reports_;  ///< By engine id.
  std::map<std::string, Means> means_;     ///< By service.
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_ENGINE_LOADS_H_
