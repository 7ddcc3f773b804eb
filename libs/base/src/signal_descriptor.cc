#include "base/signal_descriptor.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace firmoor {
namespace {

int Open(std::initializer_list<int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers) sigaddset(&signals, number);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

}  // namespace

SignalDescriptor::SignalDescriptor(std::initializer_list<int> signals)
    : descriptor_(Open(signals)) {}

SignalDescriptor::~SignalDescriptor() {
  if (descriptor_ >= 0) close(descriptor_);
}

void SignalDescriptor::Read(const std::function<void(int)>& handler) const {
  signalfd_siginfo info;
  while (read(descriptor_, &info, sizeof(info)) == sizeof(info)) {
    handler(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace firmoor
