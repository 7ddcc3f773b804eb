#ifndef FIRMOOR_PLATFORM_VM_LIST_H_
#define FIRMOOR_PLATFORM_VM_LIST_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// A VM that runs an upstream, as the platform's VM list shows it. The list may
/// lag behind the VMs' actual state.
struct Vm {
  std::string id;  ///< Never reused for another VM.
  std::string service;
  std::string availability_zone;
  std::string region;
  Endpoint endpoint;
  bool reclaimable = false;
  bool leaving = false;

  bool operator==(const Vm&) const = default;
};

/// Decodes the JSON of the VM list; fails with `kBadMessage`.
Result<std::vector<Vm>> ParseVmList(const std::string& json);

/// Polls the VM list. Logs errors and then keeps the last list, so that losing
/// the connection to the platform has no effect on requests.
class VmListPoller {
 public:
  using OnList = std::function<void(const std::vector<Vm>&)>;

  VmListPoller(const Endpoint& endpoint, Duration period, OnList on_list);
  ~VmListPoller();

  void Start();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_VM_LIST_H_
