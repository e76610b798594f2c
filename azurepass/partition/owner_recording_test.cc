// Tests of Options::record_starts_first and Options::refuse_while_stalled:
// every ordered start is in the journal, a new owner does not wait for workers
// that do not answer, and submissions are refused while the store takes no
// records.

#include <doctest/doctest.h>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

Options RecordFirstOptions() {
  Options options = PlatformOptions();
  options.record_starts_first = true;
  options.refuse_while_stalled = true;
  return options;
}

WorkflowSpec OneStepWorkflow(int32_t tasks) {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {MakeStep(tasks)};
  return spec;
}

WorkflowSpec GangWorkflow(int32_t tasks) {
  WorkflowSpec spec = OneStepWorkflow(tasks);
  spec.steps[0].job.policy = GangPolicy{.atomic = true};
  return spec;
}

TEST_CASE("a start is ordered once its record is appended") {
  Driver d({"vm-0"}, false, RecordFirstOptions());
  d.Submit(1, OneStepWorkflow(2));
  d.CompleteAppend();  // The submission.
  CHECK(d.Starts().empty());
  d.CompleteAppends();
  CHECK(d.Starts().size() == 2);
}

TEST_CASE("starts that are preempted before their order are counted") {
  for (const bool ordered : {false, true}) {
    Driver d({"vm-0"}, false, RecordFirstOptions());
    d.Submit(1, OneStepWorkflow(2));
    d.CompleteAppend();  // The submission.
    if (ordered) d.CompleteAppends();
    d.Handle(AllowancesChanged{{{kTeam, Resources()}}});
    CHECK(d.status().unordered_preempted == (ordered ? 0 : 2));
  }
}

TEST_CASE("a new owner starts queued tasks while a worker does not answer") {
  Driver d({"vm-0", "vm-1"}, false, RecordFirstOptions());
  d.Submit(1, OneStepWorkflow(12));  // More than fit on one worker.
  d.CompleteAppends();
  CHECK(d.Starts().size() == 12);
  const std::vector<Batch> journal = d.batches;
  d.actions.clear();
  d.TakeOver(2, std::nullopt, journal, {"vm-0"});
  // Tasks of the worker that does not answer are not started elsewhere, even if
  // there is room.
  d.Submit(2, OneStepWorkflow(1), kTeam, RequestId("00000000000000aa"));
  d.CompleteAppends();
  for (const auto& [vm, start] : d.Starts()) CHECK(vm == VmId("vm-0"));
  CHECK(std::holds_alternative<WorkflowView>(d.Last<Answer>().response));
}

TEST_CASE(
    "tasks of a worker that does not answer start again after its lease") {
  Driver d({"vm-0", "vm-1"}, false, RecordFirstOptions());
  d.Submit(1, OneStepWorkflow(1));
  d.CompleteAppends();
  REQUIRE(d.Starts().size() == 1);
  const VmId former_vm = d.Starts()[0].first;
  const std::string other = former_vm == VmId("vm-0") ? "vm-1" : "vm-0";
  const std::vector<Batch> journal = d.batches;
  d.actions.clear();
  d.TakeOver(2, std::nullopt, journal, {other});
  CHECK(d.Starts().empty());
  d.now += RecordFirstOptions().worker_lease +
           RecordFirstOptions().worker_lease_margin;
  d.Handle(Tick{});
  d.CompleteAppends();
  REQUIRE(d.Starts().size() == 1);
  CHECK(d.Starts()[0].first == VmId(other));
}

TEST_CASE("a new owner stops a cancelled attempt that got no stop order") {
  Driver d({"vm-0"}, false, RecordFirstOptions());
  d.Submit(1, OneStepWorkflow(1));
  d.CompleteAppends();
  const AttemptId attempt = d.Starts()[0].second.attempt;
  d.Handle(RequestReceived{RequestToken{2},
                           CancelWorkflow{kPartition, kTeam, kRequest},
                           d.now + seconds(10)});
  // The cancellation is in the store, but the former owner does not learn of
  // it.
  const std::vector<Batch> journal = d.batches;
  d.actions.clear();
  d.TakeOver(2, std::nullopt, journal, {});
  d.OpenWorkerSession("vm-0", {attempt});
  d.CompleteAppends();
  const auto& orders = d.Last<SendOrders>().orders;
  REQUIRE(orders.size() == 1);
  CHECK(std::get<StopTask>(orders[0]).attempt == attempt);
  d.Report("vm-0", 1, attempt, WorkerEventKind::kStopped);
  d.CompleteAppends();
  CHECK(d.State() == WorkflowState::kCancelled);
}

TEST_CASE("all tasks of an atomic gang are ordered, or none") {
  Driver d({"vm-0", "vm-1"}, false, RecordFirstOptions());
  d.Submit(1, GangWorkflow(12));
  d.CompleteAppend();
  // Both workers have tasks of the gang; one becomes unreachable before the
  // append.
  d.Handle(WorkerUnreachable{VmId("vm-1"), Epoch{1}, d.now + seconds(5)});
  d.CompleteAppends();
  CHECK(d.Starts().empty());
  d.OpenWorkerSession("vm-1");
  d.CompleteAppends();
  CHECK(d.Starts().size() == 12);
}

// Events that arrive before the owner is ready may come from two incarnations
// of a worker, which numbers its events anew after a restart. Guards against an
// acknowledgement that uses the last number of the first incarnation and so
// covers events of the second one that the owner has not read.
TEST_CASE(
    "an acknowledgement covers only events of the worker's last incarnation") {
  struct Case {
    std::vector<std::pair<int64_t, int64_t>> reported;  // Life and number.
    int64_t life;
    int64_t number;
  };
  const Case cases[] = {{{{1, 7}}, 1, 7},
                        {{{1, 7}, {2, 3}}, 2, 3},
                        {{{1, 7}, {2, 3}, {2, 0}}, 2, 3},
                        {{{2, 3}, {3, 0}}, 2, 3}};
  for (const Case& c : cases) {
    CAPTURE(c.life);
    Driver d({"vm-0"}, false, RecordFirstOptions());
    WorkerReported report{VmId("vm-0"), Epoch{1}, {}, {}};
    for (const auto& [life, number] : c.reported) {
      WorkerEvent event;
      event.number = number;
      event.life = life;
      event.attempt = {{JobId("p.1"), 1}, 1};
      event.kind = WorkerEventKind::kStopped;
      report.events.push_back(event);
    }
    d.Handle(report);
    d.CompleteAppends();
    CHECK(d.Last<AcknowledgeEvents>().life == c.life);
    CHECK(d.Last<AcknowledgeEvents>().number == c.number);
  }
}

// Guards against tasks that have succeeded and run again: their worker had more
// ends to tell than one answer holds, and those that the first answer lacked
// counted as lost after the grace period.
TEST_CASE(
    "an attempt counts as lost only after the last of its worker's ends") {
  constexpr int32_t kPage = 500;
  for (const int32_t ends : {1, 500, 501, 1'000, 1'001}) {
    CAPTURE(ends);
    Options options = RecordFirstOptions();
    options.report_grace = Duration(100);
    const auto open_with_room = [&](Driver& d) {
      VmListChanged list;
      WorkerSpec large = MakeWorker("vm-0");
      large.capacity = Resources(4'000, 4'000, 4'000'000, 4'000'000, 0);
      list.vms[large.vm] = VmState::kLive;
      list.workers[large.vm] = large;
      d.Handle(list);
      d.CompleteAppends();
    };
    Driver d({"vm-0"}, false, options);
    open_with_room(d);
    d.Submit(1, OneStepWorkflow(ends + 1));
    d.CompleteAppends();
    const auto starts = d.Starts();
    REQUIRE(std::ssize(starts) == ends + 1);
    const std::vector<Batch> journal = d.batches;

    Driver next({"vm-0"}, false, options);
    open_with_room(next);
    next.TakeOver(2, std::nullopt, journal, {});
    next.actions.clear();
    // The worker runs nothing; the last attempt is lost. A list that is full
    // may be followed by an empty one.
    int32_t told = 0;
    bool more = true;
    for (bool first = true; more; first = false) {
      WorkerReported page{VmId("vm-0"), Epoch{2}, {}, {}};
      for (; told < ends && std::ssize(page.events) < kPage; ++told) {
        WorkerEvent end;
        end.number = told + 1;
        end.attempt = starts[told].second.attempt;
        end.kind = WorkerEventKind::kSucceeded;
        page.events.push_back(end);
      }
      more = page.more_events = std::ssize(page.events) == kPage;
      next.Handle(page);
      if (first) {
        next.Handle(WorkerSessionOpened{VmId("vm-0"), Epoch{2}, {}, more});
      }
      next.CompleteAppends();
      if (more) {
        next.now += seconds(30);
        next.Handle(Tick{});
        next.CompleteAppends();
      }
      CHECK(next.Starts().empty());
    }
    next.now += options.report_grace;
    next.Handle(Tick{});
    next.CompleteAppends();
    REQUIRE(next.Starts().size() == 1);
    CHECK(next.Starts()[0].second.attempt.task ==
          starts[ends].second.attempt.task);
  }
}

TEST_CASE(
    "an owner asked to release leaves further task ends to its successor") {
  Driver d({"vm-0"}, false, RecordFirstOptions());
  d.Submit(1, OneStepWorkflow(2));
  d.CompleteAppends();
  const auto starts = d.Starts();
  REQUIRE(starts.size() == 2);
  d.Report("vm-0", 1, starts[0].second.attempt, WorkerEventKind::kSucceeded);
  d.Handle(ReleaseWanted{});
  d.Report("vm-0", 2, starts[1].second.attempt, WorkerEventKind::kSucceeded);
  d.CompleteAppend();
  CHECK(d.Count<Released>() == 1);
  CHECK(d.Last<AcknowledgeEvents>().number == 1);
}

TEST_CASE("a GET waits a limited time for the imminent end of its workflow") {
  Options options = RecordFirstOptions();
  options.completion_wait = Duration(250);
  Driver d({"vm-0"}, false, options);
  d.Submit(1, OneStepWorkflow(1));
  d.CompleteAppends();
  const auto get = [&](int64_t token) {
    d.actions.clear();
    d.Handle(RequestReceived{RequestToken{token},
                             GetWorkflow{kPartition, kTeam, kRequest},
                             d.now + seconds(3)});
  };
  const AttemptId attempt = d.Starts()[0].second.attempt;
  get(2);
  CHECK(d.Count<Answer>() == 0);
  d.now += Duration(250);
  d.Handle(Tick{});
  CHECK(std::get<WorkflowView>(d.Last<Answer>().response).state ==
        WorkflowState::kRunning);
  get(3);
  d.Report("vm-0", 1, attempt, WorkerEventKind::kSucceeded);
  CHECK(d.Count<Answer>() == 0);  // Answered only after the append.
  d.CompleteAppends();
  CHECK(std::get<WorkflowView>(d.Last<Answer>().response).state ==
        WorkflowState::kCompleted);
}

TEST_CASE("submissions are refused as not run while the store fails") {
  Driver d({"vm-0"}, false, RecordFirstOptions());
  d.Submit(1, OneStepWorkflow(1));
  d.FailAppend();
  d.Submit(2, OneStepWorkflow(1), kTeam, RequestId("00000000000000aa"));
  const auto& refusal = std::get<Refusal>(d.Last<Answer>().response);
  CHECK(refusal.code == RefusalCode::kStoreUnavailable);
  CHECK(refusal.effect == Effect::kNotRun);
  CHECK(refusal.retry_after.has_value());
  // The owner sleeps until it retries the append.
  CHECK(d.Last<Wake>().at > d.now);
  d.now += seconds(1);
  d.Handle(Tick{});
  d.CompleteAppends();
  CHECK(d.Starts().size() == 1);
}

// Guards against cancellations that are withdrawn while they wait behind a slow
// write, so that repeated attempts to cancel have no effect and the tasks run
// on.
TEST_CASE("a cancellation is not withdrawn while an earlier write is pending") {
  Options options = RecordFirstOptions();
  options.append_timeout = Duration(300);
  options.unknown_outcome_timeout = Duration(2'500);
  Driver d({"vm-0"}, false, options);
  d.Submit(1, OneStepWorkflow(1));
  d.CompleteAppends();
  const AttemptId attempt = d.Starts()[0].second.attempt;
  // A write that takes longer than the caller's deadline allows.
  d.Submit(2, OneStepWorkflow(1), kTeam, RequestId("00000000000000aa"));
  d.Handle(RequestReceived{RequestToken{3},
                           CancelWorkflow{kPartition, kTeam, kRequest},
                           d.now + seconds(1)});
  d.actions.clear();
  d.now += seconds(1);
  d.Handle(Tick{});
  CHECK(std::get<Refusal>(d.Last<Answer>().response).effect ==
        Effect::kUnknown);
  d.CompleteAppends();
  const auto& orders = d.Last<SendOrders>().orders;
  REQUIRE(!orders.empty());
  CHECK(std::get<StopTask>(orders[0]).attempt == attempt);
}

TEST_CASE("an owner that knows the queue accepts requests of any revision") {
  Driver d({"vm-0"}, false, RecordFirstOptions());
  d.Handle(RequestReceived{RequestToken{1},
                           SubmitWorkflow{kPartition, kTeam, kRequest,
                                          OneStepWorkflow(1), Revision{1'000}},
                           d.now + seconds(10)});
  d.CompleteAppends();
  CHECK(std::holds_alternative<WorkflowView>(d.Last<Answer>().response));
  WorkflowSpec unknown = OneStepWorkflow(1);
  unknown.queue = QueueId("new");
  d.Handle(RequestReceived{
      RequestToken{2},
      SubmitWorkflow{kPartition, kTeam, RequestId("00000000000000ab"), unknown,
                     Revision{1'000}},
      d.now + seconds(10)});
  CHECK(std::get<Refusal>(d.Last<Answer>().response).code ==
        RefusalCode::kStaleConfiguration);
}

// While the owner waits for other workers' sessions, a worker lists a running
// attempt and then reports its end. Guards against an owner that processes the
// list after the end: it orders a stop of the attempt and waits for it, so that
// the worker never gets a start again.
TEST_CASE(
    "an attempt that ends while the owner opens sessions is not stopped") {
  Options options = PlatformOptions();
  options.record_starts_first = false;
  Driver d({"vm-0", "vm-1"}, /*permits=*/false, options);
  d.Submit(1, TwoStepWorkflow());
  d.CompleteAppends();
  REQUIRE(!d.Starts().empty());
  const auto [vm, start] = d.Starts().front();
  const std::vector<Batch> batches = d.batches;
  d.TakeOver(2, std::nullopt, batches, {});
  d.OpenWorkerSession(vm.value(), {start.attempt});
  d.Report(vm.value(), 1, start.attempt, WorkerEventKind::kSucceeded);
  d.actions.clear();
  d.OpenWorkerSession(vm == VmId("vm-0") ? "vm-1" : "vm-0");
  d.CompleteAppends();
  for (const Action& action : d.actions) {
    const auto* sent = std::get_if<SendOrders>(&action);
    if (sent == nullptr) continue;
    for (const Order& order : sent->orders) {
      const auto* stop = std::get_if<StopTask>(&order);
      CHECK((stop == nullptr || stop->attempt != start.attempt));
    }
  }
}

}  // namespace
}  // namespace azurepass::partition
