#include "attempt_race_model.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <iostream>
#include <string>
#include <unordered_set>
#include <vector>

namespace firmoor {
namespace {

struct Move {
  const char* name;
  bool (RaceModel::*make)(std::size_t attempt);
};

constexpr Move kMoves[] = {
    {"connects", &RaceModel::Connect},
    {"is not reached", &RaceModel::FailToConnect},
    {"falls silent", &RaceModel::FallSilent},
    {"sends a byte", &RaceModel::SendByte},
    {"sends an event", &RaceModel::SendEvent},
    {"completes", &RaceModel::Complete},
    {"answers with an error", &RaceModel::AnswerWithError},
    {"breaks off", &RaceModel::BreakOff},
    {"rejects", &RaceModel::Reject},
};

/// Explores every order of what may happen, each state once.
class RaceExplorer {
 public:
  void Run(const RaceModel& model) {
    if (!violation_.empty() || !seen_.insert(model.Key()).second) return;
    if (auto violation = model.Check(); !violation.empty()) {
      return Report(std::move(violation));
    }
    CheckSoundUpstreams(model);
    for (std::size_t i = 0; i < model.attempts().size(); ++i) {
      for (const auto& move : kMoves) {
        auto next = model;
        if (!(next.*move.make)(i)) continue;
        path_.push_back(fmt::format("{} {}", i + 1, move.name));
        Run(next);
        path_.pop_back();
      }
    }
    Follow(model, "the caller leaves", &RaceModel::LeaveByCaller);
    Follow(model, "the next pick is lost", &RaceModel::LosePick);
  }
  /// States seen since the last call.
  std::size_t TakeStates() {
    const auto states = seen_.size();
    seen_.clear();
    return states;
  }
  [[nodiscard]] const std::string& violation() const { return violation_; }

 private:
  void Follow(const RaceModel& model, const char* name,
              bool (RaceModel::*move)()) {
    auto next = model;
    if (!(next.*move)()) return;
    path_.emplace_back(name);
    Run(next);
    path_.pop_back();
  }
  /// Any attempt in flight completes the request if its upstream goes on.
  void CheckSoundUpstreams(const RaceModel& model) {
    for (std::size_t i = 0; i < model.attempts().size(); ++i) {
      if (!model.attempts()[i].in_flight) continue;
      auto next = model;
      next.Connect(i);
      next.SendByte(i);
      while (next.SendEvent(i)) {
      }
      next.Complete(i);
      auto violation = next.Check();
      if (violation.empty() && !next.HasCompleted()) {
        violation = "a sound upstream does not complete the request";
      }
      if (!violation.empty()) Report(violation + fmt::format(" ({})", i + 1));
    }
  }
  void Report(std::string violation) {
    if (!violation_.empty()) return;
    violation_ = std::move(violation);
    for (const auto& step : path_) violation_ += "; " + step;
  }

  std::unordered_set<std::string> seen_;
  std::vector<std::string> path_;
  std::string violation_;
};

}  // namespace

// Guards against attempts of a request that are given up for one that serves
// nothing, repeat events or runs, or exceed the retry budget.
TEST_CASE("a request and its attempts in every order of events") {
  RaceExplorer explorer;
  RaceSetup setup;
  const char* name = "";
  SUBCASE("a resumable stream") {
    setup.form = RequestForm::kStream;
    name = "stream";
  }
  SUBCASE("an idempotent request") {
    setup.form = RequestForm::kIdempotent;
    name = "idempotent";
  }
  SUBCASE("a request that must not run twice") {
    setup.form = RequestForm::kOnce;
    name = "once";
  }
  std::size_t states = 0;
  for (setup.upstreams = 1; setup.upstreams <= 3; ++setup.upstreams) {
    for (setup.retries = 0; setup.retries <= 2; ++setup.retries) {
      for (setup.max_attempts = 1; setup.max_attempts <= 3;
           ++setup.max_attempts) {
        for (setup.earlier_attempts = 0; setup.earlier_attempts <= 1;
             ++setup.earlier_attempts) {
          for (setup.lost_picks = 0; setup.lost_picks <= 1;
               ++setup.lost_picks) {
            setup.may_run_again = true;
            explorer.Run(RaceModel(setup));
            setup.may_run_again = false;
            if (setup.lost_picks == 0) explorer.Run(RaceModel(setup));
            states += explorer.TakeStates();
          }
        }
      }
    }
  }
  std::cout << fmt::format("attempt race, {}: {} states\n", name, states);
  CHECK(explorer.violation() == "");
}

}  // namespace firmoor
