#include "details/quota_encoding.h"

#include <QCborArray>

#include "base/text.h"

namespace firmoor::details {

QCborMap EncodeQuotaGrants(const std::map<std::string, QuotaGrant>& grants) {
  QCborMap map;
  for (const auto& [workspace, grant] : grants) {
    map[Text(workspace)] =
        QCborArray{grant.tokens, grant.unassigned,
                   static_cast<qint64>(grant.continuation.count())};
  }
  return map;
}

std::map<std::string, QuotaGrant> DecodeQuotaGrants(const QCborValue& value) {
  std::map<std::string, QuotaGrant> grants;
  for (const auto& entry : value.toMap()) {
    const auto grant = entry.second.toArray();
    grants[entry.first.toString().toStdString()] = {
        grant.at(0).toDouble(), grant.at(1).toDouble(),
        Duration(grant.at(2).toInteger(0))};
  }
  return grants;
}

QCborMap EncodeQuotaUses(const std::map<std::string, QuotaUsage>& quotas) {
  QCborMap map;
  for (const auto& [workspace, use] : quotas) {
    map[Text(workspace)] = QCborArray{
        use.admitted, use.requested, use.pending, use.started_in_window,
        use.held ? QCborValue(*use.held) : QCborValue(nullptr)};
  }
  return map;
}

std::map<std::string, QuotaUsage> DecodeQuotaUses(const QCborValue& value) {
  std::map<std::string, QuotaUsage> quotas;
  for (const auto& entry : value.toMap()) {
    const auto items = entry.second.toArray();
    QuotaUsage use{items.at(0).toDouble(), items.at(1).toDouble(),
                   items.at(2).toDouble(), items.at(3).toBool()};
    if (items.at(4).isDouble()) use.held = items.at(4).toDouble();
    quotas[entry.first.toString().toStdString()] = use;
  }
  return quotas;
}

}  // namespace firmoor::details
