// What the owner makes of each kind of news in each of its phases, as a table.
//
// The rule behind the table: an owner draws conclusions about attempts only
// while it also takes note of the ends that workers report. An owner that hands
// over takes note of none, so that its release comes to an end; its successor
// hears of them from the workers.

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <set>
#include <string>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

enum class Phase { kIdle, kLoading, kFencing, kOpening, kOwning, kReleasing };

constexpr Phase kPhases[] = {Phase::kIdle,    Phase::kLoading,
                             Phase::kFencing, Phase::kOpening,
                             Phase::kOwning,  Phase::kReleasing};

const char* NameOf(Phase phase) {
  static const std::map<Phase, const char*> names{
      {Phase::kIdle, "Idle"},       {Phase::kLoading, "Loading"},
      {Phase::kFencing, "Fencing"}, {Phase::kOpening, "Opening"},
      {Phase::kOwning, "Owning"},   {Phase::kReleasing, "Releasing"}};
  return names.at(phase);
}

const RequestId kWaitingRequest("00000000000000aa");
constexpr RequestToken kCancellation{50};
constexpr Duration kDeadline{5'000};

WorkflowSpec OneTask() {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {MakeStep(1)};
  return spec;
}

// No worker has room for it.
WorkflowSpec WaitingTask() {
  WorkflowSpec spec = OneTask();
  spec.steps[0].job.task = Resources(1, 0, 100'000, 512, 0);
  spec.steps[0].job.deadline = kDeadline;
  return spec;
}

// An owner of epoch 2 with one attempt that the former owner started, and one
// task that waits.
struct Scenario {
  Driver d{{"vm-0", "vm-1"}};
  std::string vm;       // Runs the attempt.
  std::string idle_vm;  // The other worker.
  AttemptId attempt;

  Scenario() {
    d.Submit(1, OneTask());
    d.Submit(2, WaitingTask(), kTeam, kWaitingRequest);
    d.CompleteAppends();
    REQUIRE(d.Starts().size() == 1);
    vm = d.Starts()[0].first.value();
    idle_vm = vm == "vm-0" ? "vm-1" : "vm-0";
    attempt = d.Starts()[0].second.attempt;
  }

  // Brings the owner into the phase. `before` happens while it still owns the
  // partition, before it is asked to release it.
  void Enter(Phase phase, const std::function<void(Scenario&)>& before) {
    const std::vector<Batch> journal = d.batches;
    if (phase == Phase::kIdle) return d.Handle(ReleaseWanted{});
    d.Claim(2);
    if (phase == Phase::kLoading) return;
    d.Load(std::nullopt, journal);
    if (phase == Phase::kFencing) return;
    d.CompleteAppends();
    if (phase == Phase::kOpening) return;
    d.OpenWorkerSession(vm, {attempt});
    d.OpenWorkerSession(idle_vm);
    d.CompleteAppends();
    if (phase == Phase::kReleasing) {
      // The append of this one holds the release up.
      d.Submit(3, WaitingTask(), kTeam, RequestId("00000000000000bb"));
    }
    if (before) before(*this);
    if (phase == Phase::kReleasing) d.Handle(ReleaseWanted{});
  }

  void ReportEnd() { d.Report(vm, 1, attempt, WorkerEventKind::kSucceeded); }
  void Wait(MonotonicTime::duration time) {
    d.now += time;
    d.Handle(Tick{});
  }
  // The worker's lease lapses within 3 s.
  void Lapse() {
    d.Handle(WorkerUnreachable{VmId(vm), d.epoch(), d.now + seconds(2), d.now});
    Wait(seconds(3));
  }
};

struct Row {
  const char* name;
  std::function<void(Scenario&)> before;  // See Enter. Empty: nothing.
  std::function<void(Scenario&)> news;
  // The words of OutcomeSince. A phase that is not listed makes nothing of it.
  std::map<Phase, std::set<std::string>> outcomes;
};

std::set<std::string> WordsOf(const Record& record) {
  using Words = std::set<std::string>;
  return std::visit(
      Visitor{
          [](const TaskStarted&) { return Words{"started"}; },
          [](const TaskRequeued&) { return Words{"requeued"}; },
          [](const TaskEnded& r) {
            return Words{std::string(TaskStateName(r.state))};
          },
          [](const WorkflowCancelled&) { return Words{"cancelled"}; },
          [](const WorkflowForgotten&) { return Words{"forgotten"}; },
          [](const auto&) { return Words{}; },
      },
      record);
}

// Describes the records and orders that the owner has made since `first`.
std::set<std::string> OutcomeSince(const Driver& d, size_t first) {
  std::set<std::string> words;
  for (size_t i = first; i < d.actions.size(); ++i) {
    std::visit(
        Visitor{
            [&](const AppendBatch& append) {
              for (const Record& record : append.batch.records) {
                words.merge(WordsOf(record));
              }
            },
            [&](const SendOrders& sent) {
              for (const Order& order : sent.orders) {
                if (std::holds_alternative<StopTask>(order)) {
                  words.insert("stop");
                }
              }
            },
            [&](const AcknowledgeEvents&) { words.insert("acknowledged"); },
            [&](const OpenSession&) { words.insert("opens"); },
            [&](const Answer& answer) {
              if (answer.token == kCancellation &&
                  std::holds_alternative<Refusal>(answer.response)) {
                words.insert("refused");
              }
            },
            [](const auto&) {},
        },
        d.actions[i]);
  }
  return words;
}

AttemptId Next(AttemptId attempt) {
  ++attempt.attempt;
  return attempt;
}

AttemptId Former(AttemptId attempt) {
  --attempt.attempt;
  return attempt;
}

void Cancel(Scenario& s) {
  s.d.Handle(RequestReceived{kCancellation,
                             CancelWorkflow{kPartition, kTeam, kRequest},
                             s.d.now + seconds(30)});
}

const std::vector<Row>& Rows() {
  constexpr auto kOpening = Phase::kOpening;
  constexpr auto kOwning = Phase::kOwning;
  constexpr auto kReleasing = Phase::kReleasing;
  static const std::vector<Row> rows{
      {"an end is reported",
       {},
       [](Scenario& s) { s.ReportEnd(); },
       {{kOwning, {"succeeded", "acknowledged"}}}},
      {"a list lacks the attempt",
       {},
       [](Scenario& s) {
         s.d.OpenWorkerSession(s.vm);
         s.Wait(seconds(3));
       },
       {{kOwning, {"requeued", "started"}}}},
      {"the attempt becomes overdue that a former list lacked",
       [](Scenario& s) { s.d.OpenWorkerSession(s.vm); },
       [](Scenario& s) { s.Wait(seconds(3)); },
       // Without the list there is nothing to be overdue.
       {{kOwning, {"requeued", "started"}}}},
      {"an order becomes overdue",
       [](Scenario& s) {
         s.d.Submit(4, OneTask(), kTeam, RequestId("00000000000000cc"));
         s.d.CompleteAppends();
         s.d.Submit(5, WaitingTask(), kTeam, RequestId("00000000000000dd"));
       },
       [](Scenario& s) { s.Wait(seconds(16)); },
       // In Opening all former leases lapse meanwhile.
       {{kOpening, {"requeued", "expired"}}, {kOwning, {"opens", "expired"}}}},
      {"a list names a start of the former owner",
       {},
       [](Scenario& s) { s.d.OpenWorkerSession(s.vm, {Next(s.attempt)}); },
       {{kOwning, {"requeued", "started"}}}},
      {"a list names an attempt that the ledger has not",
       {},
       [](Scenario& s) {
         s.d.OpenWorkerSession(s.vm, {s.attempt, Former(s.attempt)});
       },
       {{kOwning, {"stop"}}}},
      {"a silent worker's lease lapses",
       {},
       [](Scenario& s) { s.Lapse(); },
       {{kOwning, {"requeued", "started", "opens"}},
        // All that the worker told is in the ledger.
        {kReleasing, {"requeued", "opens"}}}},
      {"a silent worker's lease lapses after it has reported a start",
       {},
       [](Scenario& s) {
         s.d.Report(s.vm, 1, s.attempt, WorkerEventKind::kStarted);
         s.Lapse();
       },
       {{kOwning, {"requeued", "started", "opens", "acknowledged"}},
        {kReleasing, {"requeued", "opens"}}}},
      {"the lease lapses of a worker that has reported",
       {},
       [](Scenario& s) {
         s.ReportEnd();
         s.Lapse();
       },
       {{kOwning, {"succeeded", "acknowledged", "opens"}},
        {kReleasing, {"opens"}}}},
      {"the lease lapses of a worker that has listed",
       {},
       [](Scenario& s) {
         s.d.OpenWorkerSession(s.vm);
         s.Lapse();
       },
       {{kOpening, {"opens"}},
        {kOwning, {"requeued", "started", "opens"}},
        {kReleasing, {"opens"}}}},
      {"a worker is replaced",
       {},
       [](Scenario& s) {
         s.d.Handle(WorkerReplaced{VmId(s.vm), s.d.epoch(), s.d.now});
       },
       {{kOwning, {"requeued", "started", "opens"}},
        {kReleasing, {"requeued", "opens"}}}},
      {"a worker is replaced that has reported",
       {},
       [](Scenario& s) {
         s.ReportEnd();
         s.d.Handle(WorkerReplaced{VmId(s.vm), s.d.epoch(), s.d.now});
       },
       {{kOwning, {"succeeded", "acknowledged", "opens"}},
        {kReleasing, {"opens"}}}},
      {"a worker leaves",
       {},
       [](Scenario& s) {
         VmListChanged list;
         for (const std::string& vm : {s.vm, s.idle_vm}) {
           list.vms[VmId(vm)] = vm == s.vm ? VmState::kLeaving : VmState::kLive;
           list.workers[VmId(vm)] = MakeWorker(vm);
         }
         s.d.Handle(list);
       },
       {{kOpening, {"stop"}}, {kOwning, {"stop"}}}},
      {"a cancellation arrives",
       {},
       Cancel,
       {{Phase::kIdle, {"refused"}},
        {kOwning, {"cancelled", "stop"}},
        {kReleasing, {"refused"}}}},
      {"a cancellation that was under way is appended",
       Cancel,
       [](Scenario& /*s*/) {},
       {{kOwning, {"stop"}}, {kReleasing, {"cancelled", "stop"}}}},
      {"a deadline passes",
       {},
       [](Scenario& s) { s.Wait(kDeadline + Duration(1)); },
       {{kOwning, {"expired"}}}},
      {"the account's allowance is taken away",
       {},
       [](Scenario& s) {
         s.d.Handle(AllowancesChanged{{{kTeam, Resources()}}});
       },
       {{kOwning, {"stop"}}}},
  };
  return rows;
}

std::string Text(const std::set<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += word + " ";
  return text;
}

// Guards against tasks that run twice because an owner that hands over drops
// the ends that workers report, and concludes from their lists that the
// attempts are lost.
TEST_CASE("each kind of news has its outcome in each phase") {
  for (const Row& row : Rows()) {
    for (const Phase phase : kPhases) {
      CAPTURE(std::string(row.name));
      CAPTURE(std::string(NameOf(phase)));
      Scenario s;
      s.Enter(phase, row.before);
      const size_t first = s.d.actions.size();
      row.news(s);
      const bool loaded = phase != Phase::kIdle && phase != Phase::kLoading &&
                          phase != Phase::kFencing;
      if (loaded) s.d.CompleteAppends();
      const auto expected = row.outcomes.find(phase);
      CHECK(Text(OutcomeSince(s.d, first)) ==
            Text(expected == row.outcomes.end() ? std::set<std::string>()
                                                : expected->second));
      CHECK(s.d.Count<Released>() ==
            (phase == Phase::kIdle || phase == Phase::kReleasing ? 1 : 0));
    }
  }
}

// A wake in the past would have the loop call the owner without a pause.
TEST_CASE("an owner that hands over sleeps until it has something to do") {
  for (const Row& row : Rows()) {
    CAPTURE(std::string(row.name));
    Scenario s;
    s.Enter(Phase::kReleasing, row.before);
    row.news(s);
    const size_t first = s.d.actions.size();
    s.d.Handle(Tick{});
    for (size_t i = first; i < s.d.actions.size(); ++i) {
      const auto* wake = std::get_if<Wake>(&s.d.actions[i]);
      if (wake != nullptr) CHECK(wake->at > s.d.now);
    }
  }
}

TEST_CASE("an end that came while the owner handed over counts afterwards") {
  for (const Row& row : Rows()) {
    const std::string name = row.name;
    const bool ended = name == "an end is reported" ||
                       name == "a list lacks the attempt" ||
                       name.starts_with("the attempt becomes overdue") ||
                       name.starts_with("the lease lapses of a worker");
    if (!ended) continue;
    CAPTURE(name);
    Scenario s;
    s.Enter(Phase::kReleasing, row.before);
    row.news(s);
    s.d.CompleteAppends();
    REQUIRE(s.d.Count<Released>() == 1);
    const size_t starts = s.d.Starts().size();
    const std::vector<Batch> journal = s.d.batches;
    s.d.TakeOver(3, std::nullopt, journal, {});
    s.d.OpenWorkerSession(s.vm);
    s.ReportEnd();
    s.d.OpenWorkerSession(s.idle_vm);
    s.d.CompleteAppends();
    CHECK(s.d.Starts().size() == starts);
    CHECK(s.d.State() == WorkflowState::kCompleted);
    CHECK(s.d.Count<AcknowledgeEvents>() == 1);
  }
}

}  // namespace
}  // namespace azurepass::partition
