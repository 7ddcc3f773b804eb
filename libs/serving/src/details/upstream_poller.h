#ifndef FIRMOOR_SERVING_DETAILS_UPSTREAM_POLLER_H_
#define FIRMOOR_SERVING_DETAILS_UPSTREAM_POLLER_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http_fetch.h"
#include "platform/vm_list.h"
#include "serving/router.h"

namespace firmoor::details {

/// Polls the load and the cache events of the upstreams that this daemon uses.
class UpstreamPoller {
 public:
  /// Callbacks for the results of polls.
  struct Hooks {
    std::function<void(const Vm&, const ReplicaLoad&)> on_load;
    std::function<void(const Vm&)> on_unreachable;
    std::function<void(const Vm&)> on_leaving;
    std::function<void(const Vm&, const std::vector<std::uint64_t>& stored,
                       const std::vector<std::uint64_t>& removed)>
        on_cache;
  };

  UpstreamPoller(Duration period, Hooks hooks);

  void Watch(const Vm& vm, bool has_cache);
  void Unwatch(const std::string& id);
  [[nodiscard]] std::size_t size() const { return watched_.size(); }

 private:
  struct Watched {
    Vm vm;
    bool has_cache = false;
    std::int64_t last_cache_event = 0;  ///< Number of the last event read.
    bool polls_cache = false;           ///< Alternates between cache and load.
    std::unique_ptr<HttpCall> call;
  };

  void Poll();
  void PollUpstream(Watched* watched);
  void OnLoadResult(const std::string& id, const HttpFetchResult& result);
  void OnCacheResult(const std::string& id, const HttpFetchResult& result);

  Hooks hooks_;
  QTimer timer_;
  HttpConnectionPool pool_;
  std::map<std::string, Watched> watched_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_UPSTREAM_POLLER_H_
