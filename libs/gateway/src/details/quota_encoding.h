#ifndef FIRMOOR_GATEWAY_DETAILS_QUOTA_ENCODING_H_
#define FIRMOOR_GATEWAY_DETAILS_QUOTA_ENCODING_H_

#include <QCborMap>
#include <QCborValue>
#include <map>
#include <string>

#include "limits/quota_pool.h"

namespace firmoor::details {

/// By workspace. Items that earlier builds do not send are read as absent.
QCborMap EncodeQuotaGrants(const std::map<std::string, QuotaGrant>& grants);
std::map<std::string, QuotaGrant> DecodeQuotaGrants(const QCborValue& value);

/// Like the grants.
QCborMap EncodeQuotaUses(const std::map<std::string, QuotaUsage>& quotas);
std::map<std::string, QuotaUsage> DecodeQuotaUses(const QCborValue& value);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_QUOTA_ENCODING_H_
