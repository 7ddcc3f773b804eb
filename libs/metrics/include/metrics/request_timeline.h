#ifndef FIRMOOR_METRICS_REQUEST_TIMELINE_H_
#define FIRMOOR_METRICS_REQUEST_TIMELINE_H_

#include <QByteArray>
#include <string>
#include <vector>

namespace firmoor {

/// Tells what happened to a request, in order of time, from the structured
/// logs of any number of daemons: its own lines, and what the daemons that
/// touched it learned meanwhile of the upstreams it was sent to, of the
/// configuration and of their dependencies. `log` holds the lines, each with
/// one JSON object after an optional prefix; other lines are passed over. Empty
/// when no line names the request. docs/OPERATIONS.md shows examples.
std::vector<std::string> BuildRequestTimeline(const std::string& request_id,
                                              const QByteArray& log);

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_REQUEST_TIMELINE_H_
