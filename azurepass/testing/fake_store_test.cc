// The fake store's answers that are due at the same time.

#include "azurepass/testing/fake_store.h"

#include <doctest/doctest.h>
#include <glib.h>

namespace azurepass::testing {
namespace {

void RunPending(task::Loop& loop) {
  while (g_main_context_iteration(loop.context(), FALSE)) {
  }
}

// Answering one watch ran what else was due, which removed watches from the
// list that was being gone through, so that tests of many members crashed.
TEST_CASE("watches that end as a change comes are answered once") {
  constexpr int kWatches = 8;
  constexpr Duration kWait{1};
  int answers = 0;
  task::Loop loop;
  FakeStore fake(loop);
  fake.control().Send(SetFaults{1, {false, 0, Duration(1)}});
  for (int i = 0; i < kWatches; ++i) {
    store::Watch watch;
    watch.wait = kWait;
    watch.reply_to =
        task::Address<store::WatchReply>([&](const auto&) { ++answers; });
    fake.Port(1).Send(watch);
  }
  RunPending(loop);
  g_usleep(10'000);
  fake.Port(2).Send(store::Put{"key", "value", std::nullopt, "", {}});
  RunPending(loop);
  g_usleep(10'000);
  RunPending(loop);
  CHECK(answers == kWatches);
}

}  // namespace
}  // namespace azurepass::testing
