// Signals to a daemon.

#include "azurepass/daemons/process.h"

#include <doctest/doctest.h>

#include <csignal>

namespace azurepass::daemons {
namespace {

// A notice of changed settings ended the process, as if nobody handled it.
TEST_CASE("a hangup ends nothing, a termination is told once") {
  task::Loop loop;
  int terminations = 0;
  int reloads = 0;
  const SignalTask signals(loop, {[&] {
                                    ++terminations;
                                    loop.Quit();
                                  },
                                  [&] { ++reloads; }});
  task::Timer terminate(loop);
  for (int i = 0; i < 3; ++i) std::raise(SIGHUP);
  terminate.After(Duration(100), [] { std::raise(SIGTERM); });
  loop.Run();
  CHECK(terminations == 1);
  CHECK(reloads >= 1);  // Signals that come together are one.
}

// Guards against requests that a further signal ends unanswered.
TEST_CASE("a second SIGTERM leaves the shutdown as it is") {
  task::Loop loop;
  int terminations = 0;
  const SignalTask signals(loop, {[&] { ++terminations; }, [] {}});
  task::Timer first(loop);
  task::Timer second(loop);
  task::Timer end(loop);
  first.After(Duration(10), [] { std::raise(SIGTERM); });
  second.After(Duration(60), [] { std::raise(SIGTERM); });
  end.After(Duration(160), [&] { loop.Quit(); });
  loop.Run();
  CHECK(terminations == 1);
}

}  // namespace
}  // namespace azurepass::daemons
