// Starts recorded first: what is ordered is in the journal, a new owner waits
// for no worker that is silent, and submissions are refused while the store
// takes no records.

#include <doctest/doctest.h>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

Options RecordingFirst() {
  Options options = ForPlatform();
  options.record_starts_first = true;
  options.refuse_while_stalled = true;
  return options;
}

WorkflowSpec OneStep(int32_t tasks) {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {Step(tasks)};
  return spec;
}

WorkflowSpec Gang(int32_t tasks) {
  WorkflowSpec spec = OneStep(tasks);
  spec.steps[0].job.policy = GangPolicy{.atomic = true};
  return spec;
}

TEST_CASE("a start is ordered once its record is appended") {
  Driver d({"vm-0"}, false, RecordingFirst());
  d.Submit(1, OneStep(2));
  d.AppendOne();  // The submission.
  CHECK(d.Starts().empty());
  d.AppendAll();
  CHECK(d.Starts().size() == 2);
}

TEST_CASE("a new owner starts what waits while a worker is silent") {
  Driver d({"vm-0", "vm-1"}, false, RecordingFirst());
  d.Submit(1, OneStep(12));  // More than one worker takes.
  d.AppendAll();
  CHECK(d.Starts().size() == 12);
  const std::vector<Batch> journal = d.batches;
  d.actions.clear();
  d.Own(2, std::nullopt, journal, {"vm-0"});
  // What runs on the silent worker is not started elsewhere, also when there
  // is room.
  d.Submit(2, OneStep(1), kTeam, RequestId("00000000000000aa"));
  d.AppendAll();
  for (const auto& [vm, start] : d.Starts()) CHECK(vm == VmId("vm-0"));
  CHECK(std::holds_alternative<WorkflowView>(d.Last<Answer>().response));
}

TEST_CASE("what ran on a worker that stays silent starts after its lease") {
  Driver d({"vm-0", "vm-1"}, false, RecordingFirst());
  d.Submit(1, OneStep(1));
  d.AppendAll();
  REQUIRE(d.Starts().size() == 1);
  const VmId was = d.Starts()[0].first;
  const std::string other = was == VmId("vm-0") ? "vm-1" : "vm-0";
  const std::vector<Batch> journal = d.batches;
  d.actions.clear();
  d.Own(2, std::nullopt, journal, {other});
  CHECK(d.Starts().empty());
  d.now += RecordingFirst().worker_lease + RecordingFirst().worker_lease_margin;
  d.Do(Tick{});
  d.AppendAll();
  REQUIRE(d.Starts().size() == 1);
  CHECK(d.Starts()[0].first == VmId(other));
}

TEST_CASE("a new owner stops what was cancelled and not yet told to stop") {
  Driver d({"vm-0"}, false, RecordingFirst());
  d.Submit(1, OneStep(1));
  d.AppendAll();
  const AttemptId attempt = d.Starts()[0].second.attempt;
  d.Do(RequestReceived{RequestToken{2},
                       CancelWorkflow{kPartition, kTeam, kRequest},
                       d.now + seconds(10)});
  // The cancellation reaches the store, and its answer nobody.
  const std::vector<Batch> journal = d.batches;
  d.actions.clear();
  d.Own(2, std::nullopt, journal, {});
  d.Open("vm-0", {attempt});
  d.AppendAll();
  const auto& orders = d.Last<SendOrders>().orders;
  REQUIRE(orders.size() == 1);
  CHECK(std::get<StopTask>(orders[0]).attempt == attempt);
  d.Report("vm-0", 1, attempt, WorkerEventKind::kStopped);
  d.AppendAll();
  CHECK(d.State() == WorkflowState::kCancelled);
}

TEST_CASE("an atomic gang is ordered whole or not at all") {
  Driver d({"vm-0", "vm-1"}, false, RecordingFirst());
  d.Submit(1, Gang(12));
  d.AppendOne();
  // Both workers have tasks of it; one goes silent before the append.
  d.Do(WorkerUnreachable{VmId("vm-1"), Epoch{1}, d.now + seconds(5)});
  d.AppendAll();
  CHECK(d.Starts().empty());
  d.Open("vm-1");
  d.AppendAll();
  CHECK(d.Starts().size() == 12);
}

// Events that came before the owner was ready may be of two lives: the number
// of the first one's last event acknowledged those of the second.
TEST_CASE("of a worker's lives the last one's events are acknowledged") {
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
    Driver d({"vm-0"}, false, RecordingFirst());
    WorkerReported report{VmId("vm-0"), Epoch{1}, {}, {}};
    for (const auto& [life, number] : c.reported) {
      WorkerEvent event;
      event.number = number;
      event.life = life;
      event.attempt = {{JobId("p.1"), 1}, 1};
      event.kind = WorkerEventKind::kStopped;
      report.events.push_back(event);
    }
    d.Do(report);
    d.AppendAll();
    CHECK(d.Last<AcknowledgeEvents>().life == c.life);
    CHECK(d.Last<AcknowledgeEvents>().number == c.number);
  }
}

TEST_CASE("a leaving owner leaves ends to its successor, and is done sooner") {
  Driver d({"vm-0"}, false, RecordingFirst());
  d.Submit(1, OneStep(2));
  d.AppendAll();
  const auto starts = d.Starts();
  REQUIRE(starts.size() == 2);
  d.Report("vm-0", 1, starts[0].second.attempt, WorkerEventKind::kSucceeded);
  d.Do(ReleaseWanted{});
  d.Report("vm-0", 2, starts[1].second.attempt, WorkerEventKind::kSucceeded);
  d.AppendOne();
  CHECK(d.Count<Released>() == 1);
  CHECK(d.Last<AcknowledgeEvents>().number == 1);
}

TEST_CASE("a question waits for an end that is near, and no longer") {
  Options options = RecordingFirst();
  options.completion_wait = Duration(250);
  Driver d({"vm-0"}, false, options);
  d.Submit(1, OneStep(1));
  d.AppendAll();
  const auto ask = [&](int64_t token) {
    d.actions.clear();
    d.Do(RequestReceived{RequestToken{token},
                         GetWorkflow{kPartition, kTeam, kRequest},
                         d.now + seconds(3)});
  };
  const AttemptId attempt = d.Starts()[0].second.attempt;
  ask(2);
  CHECK(d.Count<Answer>() == 0);
  d.now += Duration(250);
  d.Do(Tick{});
  CHECK(std::get<WorkflowView>(d.Last<Answer>().response).state ==
        WorkflowState::kRunning);
  ask(3);
  d.Report("vm-0", 1, attempt, WorkerEventKind::kSucceeded);
  CHECK(d.Count<Answer>() == 0);  // Not before its append.
  d.AppendAll();
  CHECK(std::get<WorkflowView>(d.Last<Answer>().response).state ==
        WorkflowState::kCompleted);
}

TEST_CASE("submissions are refused as not run while the store fails") {
  Driver d({"vm-0"}, false, RecordingFirst());
  d.Submit(1, OneStep(1));
  d.FailAppend();
  d.Submit(2, OneStep(1), kTeam, RequestId("00000000000000aa"));
  const auto& refusal = std::get<Refusal>(d.Last<Answer>().response);
  CHECK(refusal.code == RefusalCode::kStoreUnavailable);
  CHECK(refusal.effect == Effect::kNotRun);
  CHECK(refusal.retry_after.has_value());
  // It sleeps until the store is to be asked again.
  CHECK(d.Last<Wake>().at > d.now);
  d.now += seconds(1);
  d.Do(Tick{});
  d.AppendAll();
  CHECK(d.Starts().size() == 1);
}

// Behind slow writes each try to cancel was withdrawn before its turn came, and
// cancelled tasks ran on.
TEST_CASE("a cancellation outlasts the write before it") {
  Options options = RecordingFirst();
  options.append_timeout = Duration(300);
  options.unknown_outcome_timeout = Duration(2'500);
  Driver d({"vm-0"}, false, options);
  d.Submit(1, OneStep(1));
  d.AppendAll();
  const AttemptId attempt = d.Starts()[0].second.attempt;
  // A write that takes longer than a caller waits.
  d.Submit(2, OneStep(1), kTeam, RequestId("00000000000000aa"));
  d.Do(RequestReceived{RequestToken{3},
                       CancelWorkflow{kPartition, kTeam, kRequest},
                       d.now + seconds(1)});
  d.actions.clear();
  d.now += seconds(1);
  d.Do(Tick{});
  CHECK(std::get<Refusal>(d.Last<Answer>().response).effect ==
        Effect::kUnknown);
  d.AppendAll();
  const auto& orders = d.Last<SendOrders>().orders;
  REQUIRE(!orders.empty());
  CHECK(std::get<StopTask>(orders[0]).attempt == attempt);
}

TEST_CASE("an owner that has all it needs takes requests of any revision") {
  Driver d({"vm-0"}, false, RecordingFirst());
  d.Do(RequestReceived{
      RequestToken{1},
      SubmitWorkflow{kPartition, kTeam, kRequest, OneStep(1), Revision{1'000}},
      d.now + seconds(10)});
  d.AppendAll();
  CHECK(std::holds_alternative<WorkflowView>(d.Last<Answer>().response));
  WorkflowSpec unknown = OneStep(1);
  unknown.queue = QueueId("new");
  d.Do(RequestReceived{
      RequestToken{2},
      SubmitWorkflow{kPartition, kTeam, RequestId("00000000000000ab"), unknown,
                     Revision{1'000}},
      d.now + seconds(10)});
  CHECK(std::get<Refusal>(d.Last<Answer>().response).code ==
        RefusalCode::kStaleConfiguration);
}

// A worker that was heard of twice while the owner waited for others was closed
// for ever: its list was taken in after the end that came later, and the run
// that it names was stopped and waited for.
TEST_CASE("an end that is heard while the owner opens is over") {
  Options options = ForPlatform();
  options.record_starts_first = false;
  Driver d({"vm-0", "vm-1"}, /*permits=*/false, options);
  d.Submit(1, TwoSteps());
  d.AppendAll();
  REQUIRE(!d.Starts().empty());
  const auto [vm, start] = d.Starts().front();
  const std::vector<Batch> batches = d.batches;
  d.Own(2, std::nullopt, batches, {});
  d.Open(vm.value(), {start.attempt});
  d.Report(vm.value(), 1, start.attempt, WorkerEventKind::kSucceeded);
  d.actions.clear();
  d.Open(vm == VmId("vm-0") ? "vm-1" : "vm-0");
  d.AppendAll();
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
