#include "admission/admission_level.h"

#include <algorithm>
#include <map>

#include "admission/room_division.h"

namespace firmoor {
namespace {

// Part of the demand that finds no room by chance, as upstreams fill unevenly.
constexpr double kUsualShortage = 0.01;
// The room grows by this part of the demand a period once all that is admitted
// finds room, so that daemons without a coordinator reach the same share.
constexpr double kGrowth = 0.1;
constexpr double kGrowthWhileShort = 0.05;
// Weight of the level that was told last, by which daemons that hear of no
// newer one stay together.
constexpr double kTrust = 0.5;
constexpr double kDecay = 0.5;
// Counts below this have decayed.
constexpr double kNegligible = 0.05;

}  // namespace

DemandCounts& DemandCounts::operator+=(const DemandCounts& other) {
  offered += other.offered;
  admitted += other.admitted;
  short_of_room += other.short_of_room;
  return *this;
}

double ServiceShares::ShareOf(int priority,
                              const std::string& workspace) const {
  const auto found = priorities.find(priority);
  if (found == priorities.end()) return 1;
  const auto own = found->second.workspaces.find(workspace);
  return own == found->second.workspaces.end() ? found->second.share
                                               : own->second;
}

double ServiceShares::FloorOf(int priority,
                              const std::string& workspace) const {
  const double share = ShareOf(priority, "");
  const double floor = firmoor::FloorOf(level);
  return ShareOf(priority, workspace) * (share > floor ? floor / share : 1.0);
}

void AdmissionLevel::Add(const ServiceDemand& demand) {
  for (const auto& [key, counts] : demand) {
    recent_[key] += counts;
    newest_ += counts;
  }
}

DemandCounts AdmissionLevel::Total() const {
  DemandCounts total;
  for (const auto& [key, counts] : recent_) total += counts;
  return total;
}

void AdmissionLevel::EndPeriod(const WorkspaceWeight& weight_of) {
  const auto total = Total();
  const bool is_short =
      newest_.short_of_room > kUsualShortage * newest_.offered;
  newest_ = {};
  if (is_short) {
    room_ = total.admitted + kGrowthWhileShort * total.offered;
  } else if (room_) {
    room_ = std::max(*room_, total.admitted) + kGrowth * total.offered;
  }
  if (room_ && told_level_) {
    room_ = (1 - kTrust) * *room_ + kTrust * *told_level_ * total.offered;
  }
  if (room_ && *room_ >= total.offered) room_.reset();
  if (!room_) told_level_.reset();
  shares_.reset();
  if (room_) Divide(weight_of, total.offered);
  std::erase_if(recent_, [](const auto& entry) {
    return entry.second.offered < kNegligible;
  });
  for (auto& [key, counts] : recent_) {
    counts.offered *= kDecay;
    counts.admitted *= kDecay;
    counts.short_of_room *= kDecay;
  }
  if (room_) *room_ *= kDecay;
}

void AdmissionLevel::Adopt(const std::optional<ServiceShares>& shares) {
  shares_ = shares;
  room_.reset();
  told_level_.reset();
  if (!shares) return;
  told_level_ = shares->level;
  room_ = shares->level * Total().offered;
}

void AdmissionLevel::Divide(const WorkspaceWeight& weight_of, double demand) {
  std::map<int, double> by_priority;
  std::map<int, double> admitted;
  std::map<int, std::map<std::string, WeightedDemand>> by_workspace;
  for (const auto& [key, counts] : recent_) {
    by_priority[key.priority] += counts.offered;
    admitted[key.priority] += counts.admitted;
    if (key.workspace.empty()) continue;
    by_workspace[key.priority][key.workspace] = {counts.offered,
                                                 weight_of(key.workspace)};
  }
  shares_.emplace();
  shares_->level = *room_ / demand;
  const double all_admitted = Total().admitted;
  double ahead = 0;
  for (const auto& [priority, share] : DivideByUrgency(by_priority, *room_)) {
    auto& of_priority = shares_->priorities[priority];
    of_priority.share = share;
    ahead += admitted[priority];
    if (ahead > 0) of_priority.ahead = ahead / all_admitted;
    double known = 0;
    for (const auto& [name, entry] : by_workspace[priority]) {
      known += entry.demand;
    }
    of_priority.workspaces =
        DivideFairly(by_workspace[priority], share * known);
  }
}

}  // namespace firmoor
