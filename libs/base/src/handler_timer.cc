#include "base/handler_timer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace firmoor {
namespace {

HandlerTime longest;
std::map<std::string_view, std::uint64_t> runs_by_name;

}  // namespace

HandlerTimer::HandlerTimer(std::string_view name)
    : name_(name), started_at_(MonotonicNow()) {
  ++runs_by_name[name];
}

HandlerTimer::~HandlerTimer() {
  const auto time = MonotonicNow() - started_at_;
  if (time > longest.time) longest = {name_, time};
}

HandlerTime HandlerTimer::TakeLongest() {
  return std::exchange(longest, HandlerTime{});
}

HandlerRuns HandlerTimer::TakeMostFrequent() {
  const auto runs = std::exchange(runs_by_name, {});
  const auto most = std::max_element(
      runs.begin(), runs.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == runs.end() ? HandlerRuns{}
                            : HandlerRuns{most->first, most->second};
}

}  // namespace firmoor
