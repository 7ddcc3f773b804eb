#include "resumption/stream_records.h"

#include <algorithm>

#include "base/hash.h"

namespace firmoor {
namespace {

void EraseExpiry(std::multimap<TimePoint, std::string>* index, TimePoint at,
                 const std::string& key) {
  const auto [from, to] = index->equal_range(at);
  const auto found = std::find_if(
      from, to, [&](const auto& entry) { return entry.second == key; });
  if (found != to) index->erase(found);
}

}  // namespace

std::string StreamKey(std::string_view workspace, std::string_view request_id) {
  // The length separates both texts, which the caller chooses in part.
  std::string text = std::to_string(workspace.size());
  text += ':';
  text += workspace;
  text += request_id;
  return Hash128Hex(text);
}

void StreamRecords::DropExpired(TimePoint now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    DropFirst();
  }
}

void StreamRecords::DropFirst() {
  const auto first = by_expiry_.begin();
  records_.erase(first->second);
  unsent_.erase(first->second);
  by_expiry_.erase(first);
}

void StreamRecords::Put(const StreamRecord& record, TimePoint now) {
  DropExpired(now);
  const auto expires_at = now + record.lifetime;
  const auto [found, is_new] = records_.try_emplace(
      record.key,
      Entry{record.service, record.version, false, now, expires_at});
  auto& entry = found->second;
  if (!is_new) {
    entry.is_ambiguous |=
        entry.service != record.service || entry.version != record.version;
    if (expires_at <= entry.expires_at) return;
    EraseExpiry(&by_expiry_, entry.expires_at, record.key);
    entry.expires_at = expires_at;
  }
  by_expiry_.emplace(expires_at, record.key);
  if (records_.size() <= capacity_) return;
  DropFirst();
  ++dropped_;
  dropped_at_ = now;
}

void StreamRecords::PutUnsent(const StreamRecord& record, TimePoint now) {
  Put(record, now);
  if (records_.contains(record.key)) unsent_.insert(record.key);
}

std::vector<StreamRecord> StreamRecords::TakeUnsent(const std::string& service,
                                                    TimePoint now) {
  std::vector<StreamRecord> taken;
  std::erase_if(unsent_, [&](const std::string& key) {
    const auto& entry = records_.at(key);
    if (!service.empty() && entry.service != service) return false;
    if (!entry.is_ambiguous && entry.expires_at > now) {
      taken.push_back(
          {key, entry.service, entry.version, entry.expires_at - now});
    }
    return true;
  });
  return taken;
}

std::optional<StreamRecords::Found> StreamRecords::Find(const std::string& key,
                                                        TimePoint now) const {
  const auto found = records_.find(key);
  if (found == records_.end() || found->second.expires_at <= now) {
    return std::nullopt;
  }
  const auto& entry = found->second;
  return Found{entry.service, entry.version, entry.is_ambiguous,
               now - entry.stored_at};
}

std::vector<StreamRecord> StreamRecords::Remaining(TimePoint now) const {
  std::vector<StreamRecord> records;
  for (const auto& [key, entry] : records_) {
    if (entry.is_ambiguous || entry.expires_at <= now) continue;
    records.push_back(
        {key, entry.service, entry.version, entry.expires_at - now});
  }
  return records;
}

}  // namespace firmoor
