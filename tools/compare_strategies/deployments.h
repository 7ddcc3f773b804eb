#ifndef FIRMOOR_COMPARE_STRATEGIES_DEPLOYMENTS_H_
#define FIRMOOR_COMPARE_STRATEGIES_DEPLOYMENTS_H_

#include <vector>

#include "fleet_model.h"

namespace firmoor {

/// Both deployments at today's size.
std::vector<DeploymentShape> Deployments();

}  // namespace firmoor

#endif  // FIRMOOR_COMPARE_STRATEGIES_DEPLOYMENTS_H_
