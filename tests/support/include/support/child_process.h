#ifndef FIRMOOR_SUPPORT_CHILD_PROCESS_H_
#define FIRMOOR_SUPPORT_CHILD_PROCESS_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>

#include <QProcess>

namespace firmoor {

/// Lets the program that `process` will start end with this one, even if this
/// one crashes. A daemon that outlives its test finds the stores of later
/// tests, whose ports may be the same. A positive `descriptor_limit` bounds the
/// program's open files.
inline void EndWithThisProcess(QProcess* process, int descriptor_limit = 0) {
  process->setChildProcessModifier([descriptor_limit] {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (descriptor_limit <= 0) return;
    const auto most = static_cast<rlim_t>(descriptor_limit);
    const rlimit limit{most, most};
    setrlimit(RLIMIT_NOFILE, &limit);
  });
}

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_CHILD_PROCESS_H_
