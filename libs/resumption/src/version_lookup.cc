#include "resumption/version_lookup.h"

namespace firmoor {
namespace {

void AddMiss(const RecordReply& reply, LookupResult* result) {
  result->others_see_several |= reply.sees_several;
  if (!reply.is_confident) return;
  ++result->confident_misses;
  if (!reply.only_version.empty()) {
    result->only_versions.insert(reply.only_version);
  }
  if (!reply.earlier_version.empty()) {
    result->earlier_versions.insert(reply.earlier_version);
  }
}

}  // namespace

void VersionLookup::AddReply(const RecordReply& reply) {
  ++result.replied;
  Add(reply);
}

void VersionLookup::Add(const RecordReply& reply) {
  if (!is_named) {
    result.others_see_several |= reply.sees_several;
    return;
  }
  if (!reply.is_found) return AddMiss(reply, &result);
  if (reply.is_ambiguous || reply.service != query.service) {
    result.is_ambiguous = true;
    return;
  }
  result.versions.insert(reply.version);
  record_age = reply.age;
}

}  // namespace firmoor
