#include "serving/upstream_table.h"

#include "base/invariant.h"

namespace firmoor {
namespace {

// Marks of VMs that are not listed any more are kept for this time after they
// were set, so that an outdated VM list cannot make the upstream usable again.
constexpr Duration kLeavingMarkRetention{600'000};

}  // namespace

UpstreamTable::Change UpstreamTable::ApplyVmList(const std::vector<Vm>& list,
                                                 TimePoint now) {
  Change change;
  if (list.empty() && !vms_.empty()) return change;
  std::map<std::string, Vm> next;
  for (const auto& vm : list) {
    if (!vms_.contains(vm.id)) change.added.push_back(vm);
    if (vm.leaving && MarkLeaving(vm.id, now)) {
      change.now_leaving.push_back(vm.id);
    }
    next.insert_or_assign(vm.id, vm);
  }
  for (const auto& [id, vm] : vms_) {
    if (next.contains(id)) continue;
    change.removed.push_back(id);
    leaving_since_.try_emplace(id, now);
  }
  vms_ = std::move(next);
  std::erase_if(leaving_since_, [&](const auto& mark) {
    return !vms_.contains(mark.first) &&
           now - mark.second > kLeavingMarkRetention;
  });
  return change;
}

bool UpstreamTable::MarkLeaving(const std::string& id, TimePoint now) {
  return leaving_since_.try_emplace(id, now).second;
}

bool UpstreamTable::IsLeaving(const std::string& id) const {
  return leaving_since_.contains(id);
}

const Vm* UpstreamTable::Find(const std::string& id) const {
  const auto found = vms_.find(id);
  return found == vms_.end() ? nullptr : &found->second;
}

std::vector<std::string> UpstreamTable::Leaving() const {
  std::vector<std::string> ids;
  for (const auto& [id, since] : leaving_since_) ids.push_back(id);
  return ids;
}

void UpstreamTable::AssertAcceptsRequests(const std::string& id,
                                          TimePoint now) const {
  const auto mark = leaving_since_.find(id);
  FIRMOOR_INVARIANT(
      mark == leaving_since_.end() || now - mark->second <= kLeavingGrace,
      "no request is sent to a leaving upstream");
}

}  // namespace firmoor
