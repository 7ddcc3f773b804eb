// Whole streams are broken off at their end as their replica shuts down.
#include "../common-2/engine.hpp"

using namespace kit;

int main(int argc, char** argv) {
  Script script(argc, argv);
  Store store;
  Cloud cloud;
  store.Put("config", "main", AssistConfig());
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 3; ++i) {
    engines.push_back(
        std::make_unique<Engine>(&store, "i-" + std::to_string(i)));
    engines.back()->Register();
  }
  Gateway a("front-1", script.folder, store.Address(), cloud.Address());
  Gateway b("front-2", script.folder, store.Address(), cloud.Address(),
            "ub-west");
  a.Start();
  b.Start();
  if (!a.WaitReady() || !b.WaitReady()) CannotRun("a gateway is not ready");
  Sleep(4500);  // In touch: stable_ms is 4,000.

  Streams streams(a, 12);
  engines[0]->Register("draining");
  Note("the store has accepted that i-0 is draining");
  Sleep(800);
  Note("SIGTERM to front-1");
  a.Signal(SIGTERM);
  Sleep(1900);
  // After drain_ms, 2,500, and 200 ms more it takes no new connections, ends
  // its streams and exits. Without the disruption it exits later.
  if (script.trouble) {
    Note("i-0 takes no new connections");
    engines[0]->server().StopListening();
  }

  const int cut = streams.Judge(engines);
  b.Kill();
  a.Kill();
  Note("%s", cut > 0 ? "LOST is broken" : "LOST holds");
  _exit(cut > 0 ? 1 : 0);
}
