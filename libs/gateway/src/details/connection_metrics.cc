#include "details/connection_metrics.h"

#include <fmt/format.h>

namespace firmoor::details {

std::string ConnectionCutMetrics(const HttpServer& server) {
  std::string text;
  for (const auto reason :
       {ConnectionCut::kIdle, ConnectionCut::kConnections, ConnectionCut::kStop,
        ConnectionCut::kAborted, ConnectionCut::kPipelined,
        ConnectionCut::kFailed, ConnectionCut::kStalled, ConnectionCut::kUpload,
        ConnectionCut::kGaveWay}) {
    text += fmt::format("firmoor_connections_cut_total{{reason=\"{}\"}} {}\n",
                        NameOf(reason), server.CutCount(reason));
  }
  text += fmt::format("firmoor_accept_failures_total {}\n",
                      server.AcceptFailures());
  return text;
}

}  // namespace firmoor::details
