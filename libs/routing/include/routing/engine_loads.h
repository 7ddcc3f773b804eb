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

/// What one daemon knows of the load of engines. In a large fleet a daemon
/// sends an engine a request only now and then, so its own requests say nothing
/// of the engine's batch; engines that were asked tell it, and the rest are
/// taken to be like the mean of those. Pure.
class EngineLoads {
 public:
  /// An engine as this daemon sees it.
  struct Engine {
    std::string id;
    std::string service;
    std::int64_t slots = 1;  ///< Requests in one batch.
    std::int64_t own = 0;    ///< Requests of this daemon there.

    bool operator==(const Engine&) const = default;
  };

  /// The engine has reported `load`.
  void OnReport(const Engine& engine, const EngineLoad& load, TimePoint now);
  /// A request ran for so long, from its first event to its end.
  void OnRequestEnd(const std::string& service, Duration ran);
  /// A request asks for so many tokens at most.
  void OnRequest(const std::string& service, double output_tokens);
  void Remove(const std::string& id) { reports_.erase(id); }

  /// Requests at the engine, of all daemons, as far as is known.
  [[nodiscard]] double Requests(const Engine& engine, TimePoint now) const;
  /// How long one more request would wait for a slot.
  [[nodiscard]] Duration Wait(const Engine& engine, TimePoint now) const;
  /// Whether the engine reported so lately that asking it tells nothing new.
  [[nodiscard]] bool IsFresh(const std::string& id, TimePoint now) const;
  /// Whether a request is large enough that it may cost a question.
  [[nodiscard]] bool IsWorthProbing(const std::string& service,
                                    double output_tokens) const;

 private:
  struct Report {
    EngineLoad load;
    TimePoint at;
    std::int64_t own = 0;  ///< Requests of this daemon there at that time.
  };
  /// Means over the engines and requests of a service.
  struct Means {
    std::optional<double> requests;        ///< At an engine.
    TimePoint reported_at;                 ///< The last report.
    std::optional<double> request_time_s;  ///< Time that a request runs.
    std::optional<double> output_tokens;
  };

  [[nodiscard]] const Means& MeansFor(const std::string& service) const;

  std::map<std::string, Report> reports_;  ///< By engine.
  std::map<std::string, Means> means_;     ///< By service.
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_ENGINE_LOADS_H_
