#ifndef FIRMOOR_SUPPORT_CHILD_PROCESS_H_
#define FIRMOOR_SUPPORT_CHILD_PROCESS_H_

#include <signal.h>
#include <sys/prctl.h>

#include <QProcess>

namespace firmoor {

/// Lets the program that `process` will start end with this one, even if this
/// one crashes. A daemon that outlives its test finds the stores of later
/// tests, whose ports may be the same.
inline void EndWithThisProcess(QProcess* process) {
  process->setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
}

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_CHILD_PROCESS_H_
