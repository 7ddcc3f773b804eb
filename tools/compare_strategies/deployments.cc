#include "deployments.h"

namespace firmoor {

std::vector<DeploymentShape> Deployments() {
  DeploymentShape tsagaan;
  tsagaan.name = "tsagaan-sam";
  tsagaan.replicas = 9;
  tsagaan.daemons = 7;
  tsagaan.requests_per_s = 36;
  DeploymentShape gitapass;
  gitapass.name = "gitapass";
  gitapass.replicas = 18;
  gitapass.daemons = 8;
  gitapass.requests_per_s = 60;
  gitapass.documents = 600;
  gitapass.document_tokens = 3'000;
  gitapass.answer_tokens = 150;
  return {tsagaan, gitapass};
}

}  // namespace firmoor
