#include "details/holder_name.h"

namespace firmoor::details {

std::string HolderName(const std::string& daemon, const Endpoint& peers) {
  return daemon + "@" + peers.ToString();
}

Endpoint HolderEndpoint(const std::string& holder) {
  const auto at = holder.rfind('@');
  return at == std::string::npos ? Endpoint{}
                                 : Endpoint::Parse(holder.substr(at + 1));
}

}  // namespace firmoor::details
