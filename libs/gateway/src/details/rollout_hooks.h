#ifndef FIRMOOR_GATEWAY_DETAILS_ROLLOUT_HOOKS_H_
#define FIRMOOR_GATEWAY_DETAILS_ROLLOUT_HOOKS_H_

#include <QJsonObject>
#include <string>

#include "base/error.h"
#include "base/event_log.h"
#include "gateway/gateway.h"
#include "platform/kind_watcher.h"
#include "rollout/rollout_messages.h"

namespace firmoor::details {

/// Decodes an operator's order from its name and content.
using RolloutDecoder = Result<RolloutOrder> (*)(const std::string& name,
                                                const QJsonObject& content);

/// Hooks that pass operators' roll-out orders on to `gateway`. Orders that
/// cannot be read are logged and left out. Both pointers must outlive the
/// watcher.
KindWatcher::Hooks RolloutHooks(Gateway* gateway, RolloutDecoder decode,
                                EventLog* log);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_ROLLOUT_HOOKS_H_
