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

/// One VM that runs an upstream, as the platform's list shows it. The list
/// lags behind the VMs.
struct Vm {
  std::string id;  ///< Never used for another VM again.
  std::string service;
  std::string availability_zone;
  std::string region;
  Endpoint endpoint;
  bool reclaimable = false;
  bool leaving = false;

  bool operator==(const Vm&) const = default;
};

/// Decodes the list's JSON; fails with `kBadMessage`.
Result<std::vector<Vm>> ParseVmList(const std::string& json);

/// Reads the VM list again and again. Errors are logged and the last list
/// stands, so that a cut from the platform changes nothing.
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
