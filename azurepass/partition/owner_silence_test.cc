// Workers that do not answer while the owner changes.

#include <doctest/doctest.h>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition::testing {
namespace {

constexpr Duration kLease{6'000};
constexpr Duration kMargin{3'000};
const VmId kSilent("vm-0");

Options SilenceOptions() {
  Options options = PlatformOptions();
  options.record_starts_first = true;
  options.worker_lease = kLease;
  options.worker_lease_margin = kMargin;
  return options;
}

WorkflowSpec OneTask() {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {MakeStep(1)};
  return spec;
}

// One task runs on vm-0. Then another owner has taken over and has found the
// record `found`; vm-0 does not answer it, and vm-1 does.
struct Successor {
  explicit Successor(int64_t epoch, std::optional<SilenceRecord> found)
      : d({"vm-0"}, false, SilenceOptions()) {
    d.Submit(1, OneTask());
    d.CompleteAppends();
    REQUIRE(d.Starts().size() == 1);
    AddIdleWorker();
    d.Handle(ClaimLost{});
    d.TakeOver(epoch, std::nullopt, d.batches, {"vm-1"});
    d.Handle(SilenceRead{Epoch{epoch}, true, std::move(found)});
    d.CompleteAppends();
  }

  void AddIdleWorker() {
    VmListChanged list;
    for (const char* vm : {"vm-0", "vm-1"}) {
      list.vms[VmId(vm)] = VmState::kLive;
      list.workers[VmId(vm)] = MakeWorker(vm);
    }
    d.Handle(list);
  }
  void Advance(Duration time) {
    d.now += time;
    d.Handle(Tick{});
    d.CompleteAppends();
  }
  // After how long the task was started on vm-1.
  Duration TimeToRestart() {
    const MonotonicTime from = d.now;
    constexpr Duration kStep{100};
    while (d.Starts().size() < 2 && d.now - from < 2 * (kLease + kMargin)) {
      Advance(kStep);
    }
    return std::chrono::duration_cast<Duration>(d.now - from);
  }

  Driver d;
};

// Guards against tasks on a silent worker that wait for a whole lease after
// each takeover, however long the worker has been silent (LOST).
TEST_CASE("a silent worker is not waited for anew by each owner") {
  const Duration left{1'500};
  Successor successor(2, SilenceRecord{Epoch{1}, {{kSilent, left}}});
  CHECK(successor.TimeToRestart() == left);
}

TEST_CASE("a silence record counts for the next epoch and its workers alone") {
  const Duration left{1'500};
  const struct {
    const char* name;
    std::optional<SilenceRecord> found;
  } cases[] = {
      {"none", std::nullopt},
      {"another worker", SilenceRecord{Epoch{2}, {{VmId("vm-1"), left}}}},
      {"an owner before the last one",
       SilenceRecord{Epoch{1}, {{kSilent, left}}}},
      {"a longer time", SilenceRecord{Epoch{2}, {{kSilent, 2 * kLease}}}},
  };
  for (const auto& c : cases) {
    CAPTURE(c.name);
    Successor successor(3, c.found);
    CHECK(successor.TimeToRestart() == kLease + kMargin);
  }
}

TEST_CASE("a silent worker is waited for since the last renewal at most") {
  const Duration ago{2'500};
  Driver d({"vm-0"}, false, SilenceOptions());
  d.Submit(1, OneTask());
  d.CompleteAppends();
  d.Handle(ClaimLost{});
  d.TakeOver(2, std::nullopt, d.batches, {}, d.now - ago);
  const auto stopped = [&] {
    return std::any_of(d.actions.begin(), d.actions.end(),
                       [](const Action& action) {
                         const auto* log = std::get_if<LogDecision>(&action);
                         return log != nullptr && log->kind == "worker_stopped";
                       });
  };
  const Options options = SilenceOptions();
  d.now += kLease + kLease / 50 + options.worker_stop_time - ago - Duration(1);
  d.Handle(Tick{});
  CHECK_FALSE(stopped());
  d.now += Duration(1);
  d.Handle(Tick{});
  CHECK(stopped());
}

TEST_CASE("an owner records silent workers, and how long they may run") {
  Successor successor(2, std::nullopt);
  Driver& d = successor.d;
  CHECK(d.Count<WriteSilence>() == 0);
  successor.Advance(Duration(1'000));
  REQUIRE(d.Count<WriteSilence>() == 1);
  const Duration at_first = kLease + kMargin - Duration(1'000);
  CHECK(d.Last<WriteSilence>().record ==
        SilenceRecord{Epoch{2}, {{kSilent, at_first}}});
  CHECK(d.Last<SetRenewal>().vm == kSilent);
  CHECK_FALSE(d.Last<SetRenewal>().renews);
  Duration elapsed{0};
  for (const Duration interval : {Duration(250), Duration(1'000)}) {
    d.Handle(SilenceWritten{Epoch{2}, true});
    successor.Advance(interval);
    elapsed += interval;
    CHECK(d.Last<WriteSilence>().record.stopped_in.at(kSilent) ==
          at_first - elapsed);
  }
  CHECK(d.Count<WriteSilence>() == 3);
}

// Guards against a renewal that is sent just before renewals stop: a successor
// would start the tasks again too early.
TEST_CASE("the first record of a worker allows for a renewal until then") {
  Driver d({"vm-0"}, false, SilenceOptions());
  d.Submit(1, OneTask());
  d.CompleteAppends();
  d.Handle(SilenceRead{Epoch{1}, true, std::nullopt});
  const Duration left{2'000};
  d.Handle(WorkerUnreachable{kSilent, Epoch{1}, d.now + left, d.now});
  const Options options = SilenceOptions();
  CHECK(d.Last<WriteSilence>().record.stopped_in.at(kSilent) ==
        kLease + kLease / 50 + options.worker_stop_time);
  d.Handle(SilenceWritten{Epoch{1}, true});
  const Duration settled{250};
  d.now += settled;
  d.Handle(Tick{});
  CHECK(d.Last<WriteSilence>().record.stopped_in.at(kSilent) == left - settled);
}

// Guards against a lease that is renewed while a successor may still read that
// the worker is silent: its tasks would run twice.
TEST_CASE("a worker is renewed only after a record without it and an append") {
  Successor successor(2, std::nullopt);
  Driver& d = successor.d;
  successor.Advance(Duration(1'000));
  d.Handle(SilenceWritten{Epoch{2}, true});
  d.OpenWorkerSession("vm-0", {d.Starts()[0].second.attempt});
  CHECK(d.Last<WriteSilence>().record.stopped_in.empty());
  CHECK(d.Count<SetRenewal>() == 1);
  const auto appends = d.Count<AppendBatch>();
  d.Handle(SilenceWritten{Epoch{2}, true});
  CHECK(d.Count<SetRenewal>() == 1);
  REQUIRE(d.Count<AppendBatch>() == appends + 1);
  d.CompleteAppends();
  REQUIRE(d.Count<SetRenewal>() == 2);
  CHECK(d.Last<SetRenewal>().renews);
}

TEST_CASE("a record that may be written withholds renewals like one that is") {
  Successor successor(2, std::nullopt);
  Driver& d = successor.d;
  successor.Advance(Duration(1'000));
  d.Handle(SilenceWritten{Epoch{2}, false});
  d.OpenWorkerSession("vm-0", {d.Starts()[0].second.attempt});
  successor.Advance(Duration(250));
  CHECK(d.Last<WriteSilence>().record.stopped_in.empty());
  CHECK(d.Count<SetRenewal>() == 1);
  d.Handle(SilenceWritten{Epoch{2}, true});
  d.CompleteAppends();
  CHECK(d.Last<SetRenewal>().renews);
}

}  // namespace
}  // namespace azurepass::partition::testing
