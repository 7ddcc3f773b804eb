#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>

#include "base/invariant.h"

/// Runs the tests inside a Qt application with fatal invariants.
int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  firmoor::InvariantMonitor::SetFatal(true);
  doctest::Context context(argc, argv);
  return context.run();
}
