#ifndef FIRMOOR_METRICS_REQUEST_TIMELINE_H_
#define FIRMOOR_METRICS_REQUEST_TIMELINE_H_

#include <QByteArray>
#include <string>
#include <vector>

namespace firmoor {

/// Reconstructs what happened to a request, in chronological order, from the
/// structured logs of any number of daemons. The result holds the request's own
/// events and, from the daemons that handled it, events from around that time
/// about the upstreams it was sent to, the configuration and dependencies.
/// Each line of `log` is one JSON object after an optional prefix; other lines
/// are ignored. Returns no lines when no event names the request.
/// docs/OPERATIONS.md shows examples.
std::vector<std::string> BuildRequestTimeline(const std::string& request_id,
                                              const QByteArray& log);

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_REQUEST_TIMELINE_H_
