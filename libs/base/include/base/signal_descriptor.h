#ifndef FIRMOOR_BASE_SIGNAL_DESCRIPTOR_H_
#define FIRMOOR_BASE_SIGNAL_DESCRIPTOR_H_

#include <functional>
#include <initializer_list>

namespace firmoor {

/// Blocks signals of the process and delivers them through a descriptor, so
/// that an event loop handles them in its own time.
///
///     int main(int argc, char** argv) {
///       const SignalDescriptor signals({SIGTERM});  // First of all.
///       ...
///       QSocketNotifier notifier(signals.descriptor(), ...);
///     }
///
/// A signal that arrives before the event loop runs is kept for it. Signals
/// that arrive before the object exists have their default effect, so it is to
/// be created before anything that takes time, and before threads start.
class SignalDescriptor {
 public:
  SignalDescriptor(std::initializer_list<int> signals);
  ~SignalDescriptor();
  SignalDescriptor(const SignalDescriptor&) = delete;
  SignalDescriptor& operator=(const SignalDescriptor&) = delete;

  /// Becomes readable when a signal has arrived; -1 if the system has no more
  /// descriptors.
  [[nodiscard]] int descriptor() const { return descriptor_; }

  /// Calls `handler` with the number of each signal that has arrived.
  void Read(const std::function<void(int)>& handler) const;

 private:
  int descriptor_;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_SIGNAL_DESCRIPTOR_H_
