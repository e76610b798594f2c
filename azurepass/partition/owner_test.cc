// Tests of single rules of the owner, event by event. owner_fuzz_test checks
// the invariants that hold in any order of events.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "azurepass/partition/internal/attempt_numbers.h"
#include "azurepass/partition/internal/group_commit.h"
#include "azurepass/partition/partition.h"

namespace azurepass::partition {
namespace {

using std::chrono::seconds;

const TeamId kTeam("intake");
const VmId kVm("vm-0");

std::vector<WorkerSpec> OneWorker() {
  WorkerSpec spec;
  spec.vm = kVm;
  spec.zone = ZoneId("zone-a");
  spec.capacity = Resources(4, 4, 4'000, 4'096, 0);
  return {spec};
}

JobSpec MakeJobSpec(bool repeatable = true) {
  JobSpec spec;
  spec.queue = QueueId("default");
  spec.task = Resources(1, 1, 100, 100, 0);
  spec.repeatable = repeatable;
  return spec;
}

// Drives one owner event by event. The test answers appends with
// CompleteAppend().
class Driver {
 public:
  explicit Driver(const Options& options = {})
      : owner_(options, PartitionId("p"), OneWorker(), 7) {
    auto configuration = std::make_shared<Configuration>();
    Contract contract;
    contract.team = kTeam;
    contract.zones = {ZoneId("zone-a")};
    contract.queues = {{QueueId("default"), ServiceId("sorting")}};
    configuration->contracts[kTeam] = contract;
    Handle(ConfigurationChanged{configuration});
    Handle(FreshnessChanged{true});
    Handle(AllowancesChanged{{{kTeam, kUnlimited}}});
    Handle(VmListChanged{{{kVm, VmState::kLive}}});
  }

  void TakeOver(std::vector<AttemptId> running = {}) {
    Handle(ClaimWon{Epoch{3}});
    Handle(JournalLoaded{Epoch{3}, std::nullopt, {}});
    CompleteAppend();
    Handle(WorkerSessionOpened{kVm, Epoch{3}, std::move(running)});
    CompleteAppend();
  }
  void Handle(Event event) {
    for (Action& action : owner_.Handle(std::move(event), now)) {
      actions.push_back(std::move(action));
    }
  }
  void CompleteAppend() {
    Handle(Appended{Epoch{3}, Last<AppendBatch>().batch.number});
  }
  void Submit(int64_t token, const std::string& request, const JobSpec& spec) {
    Handle(RequestReceived{
        RequestToken{token},
        SubmitJob{PartitionId("p"), kTeam, RequestId(request), spec, {}},
        now + seconds(10)});
  }

  template <class T>
  int Count() const {
    return static_cast<int>(std::count_if(
        actions.begin(), actions.end(),
        [](const Action& a) { return std::holds_alternative<T>(a); }));
  }
  template <class T>
  const T& Last() const {
    auto found = std::find_if(
        actions.rbegin(), actions.rend(),
        [](const Action& a) { return std::holds_alternative<T>(a); });
    REQUIRE(found != actions.rend());
    return std::get<T>(*found);
  }
  Refusal LastRefusal() const {
    return std::get<Refusal>(Last<Answer>().response);
  }

  MonotonicTime now{seconds(100)};
  std::vector<Action> actions;

 private:
  Owner owner_;
};

TEST_CASE("a submission is answered and started after its append") {
  Driver d;
  d.TakeOver();
  d.Submit(1, "r1", MakeJobSpec());
  CHECK(d.Count<Answer>() == 0);
  d.CompleteAppend();
  CHECK(std::get<JobView>(d.Last<Answer>().response).id == JobId("p.1"));
  const auto& order = std::get<StartTask>(d.Last<SendOrders>().orders.front());
  CHECK(order.attempt.attempt == 3 * internal::kAttemptsPerEpoch + 1);
}

TEST_CASE("a non-repeatable start waits for its append") {
  Driver d;
  d.TakeOver();
  d.Submit(1, "r1", MakeJobSpec(/*repeatable=*/false));
  d.CompleteAppend();
  CHECK(d.Count<SendOrders>() == 0);
  d.CompleteAppend();
  CHECK(d.Count<SendOrders>() == 1);
}

TEST_CASE("a request id identifies one job spec") {
  Driver d;
  d.TakeOver();
  d.Submit(1, "r1", MakeJobSpec());
  d.Submit(2, "r1", MakeJobSpec());
  d.CompleteAppend();
  CHECK(d.Count<Answer>() == 2);
  d.Submit(3, "r1", MakeJobSpec());
  CHECK(std::get<JobView>(d.Last<Answer>().response).id == JobId("p.1"));
  d.Submit(4, "r1", MakeJobSpec(/*repeatable=*/false));
  CHECK(d.LastRefusal().code == RefusalCode::kRequestConflict);
}

TEST_CASE(
    "a refusal says not run only if the record is certainly not written") {
  const struct {
    const char* name;
    bool in_flight;
    Effect effect;
  } cases[] = {{"certainly not written", false, Effect::kNotRun},
               {"may be written", true, Effect::kUnknown}};
  for (const auto& c : cases) {
    CAPTURE(std::string(c.name));
    Driver d;
    d.TakeOver();
    d.Submit(1, "r1", MakeJobSpec());
    const int64_t number = d.Last<AppendBatch>().batch.number;
    if (c.in_flight) {
      d.Handle(AppendUnknown{Epoch{3}, number});
    } else {
      d.Handle(AppendUnavailable{Epoch{3}, number});
    }
    d.now += seconds(11);
    d.Handle(Tick{});
    REQUIRE(d.Count<Answer>() == 1);
    CHECK(d.LastRefusal().effect == c.effect);
  }
}

TEST_CASE("submissions that cannot be accepted are refused without a record") {
  Options options;
  options.max_queued_tasks = 2;
  JobSpec too_many = MakeJobSpec();
  too_many.tasks = 3;
  JobSpec too_large = MakeJobSpec();
  too_large.task = Resources(5, 1, 1, 1, 0);
  JobSpec no_queue = MakeJobSpec();
  no_queue.queue = QueueId("other");
  const struct {
    JobSpec spec;
    RefusalCode code;
  } cases[] = {{too_many, RefusalCode::kQueueFull},
               {too_large, RefusalCode::kNeverFits},
               {no_queue, RefusalCode::kNotFound}};
  for (const auto& c : cases) {
    Driver d(options);
    d.TakeOver();
    const int before = d.Count<AppendBatch>();
    d.Submit(1, "r1", c.spec);
    CHECK(d.LastRefusal().code == c.code);
    CHECK(d.LastRefusal().effect == Effect::kNotRun);
    CHECK(d.Count<AppendBatch>() == before);
  }
}

TEST_CASE("a journal entry of another owner deposes the owner") {
  Driver d;
  d.TakeOver();
  d.Submit(1, "r1", MakeJobSpec());
  const int64_t number = d.Last<AppendBatch>().batch.number;
  d.Handle(AppendFound{Epoch{3}, number, Batch{number, Epoch{4}, 9, {}}});
  CHECK(d.Count<Deposed>() == 1);
  CHECK(d.LastRefusal().code == RefusalCode::kNotOwner);
  CHECK(d.LastRefusal().effect == Effect::kNotRun);
}

// Guards against a session that is never proven: its proof needs the batch
// after the one in flight, but when that one fails and is dissolved, the
// required write is merged into its retry.
TEST_CASE("a session opened during a failing append is proven later") {
  Driver d;
  d.TakeOver();
  d.Submit(1, "r1", MakeJobSpec());
  const int64_t number = d.Last<AppendBatch>().batch.number;
  d.Handle(WorkerSessionOpened{kVm, Epoch{3}, {}});
  d.Handle(AppendUnavailable{Epoch{3}, number});
  d.now += seconds(1);
  d.Handle(Tick{});
  d.CompleteAppend();
  CHECK(d.Count<SendOrders>() == 0);
  CHECK(d.Last<AppendBatch>().batch.number == number + 1);
  d.CompleteAppend();
  CHECK(d.Count<SendOrders>() == 1);
}

// Guards against workers that get no starts until another record is added: the
// write that proves the session is merged with the write of a submission, and
// is dropped when that submission is withdrawn.
TEST_CASE("a session is proven even if the record in its write is withdrawn") {
  Options options;
  options.append_timeout = Duration(300);
  Driver d(options);
  d.TakeOver();
  d.Handle(WorkerSessionOpened{kVm, Epoch{3}, {}});
  const int64_t number = d.Last<AppendBatch>().batch.number;
  d.Handle(AppendUnavailable{Epoch{3}, number});
  d.Submit(1, "r1", MakeJobSpec());
  d.now += Duration(100);
  d.Handle(Tick{});
  REQUIRE(d.Last<AppendBatch>().batch.records.size() == 1);
  d.Handle(AppendUnavailable{Epoch{3}, number});
  d.now += seconds(1);
  d.Handle(Tick{});
  CHECK(d.LastRefusal().effect == Effect::kNotRun);
  CHECK(d.Last<AppendBatch>().batch.number == number);
  REQUIRE(d.Last<AppendBatch>().batch.records.empty());
  d.CompleteAppend();
  d.Submit(2, "r2", MakeJobSpec());
  d.CompleteAppend();
  CHECK(d.Count<SendOrders>() == 1);
}

TEST_CASE("a task that succeeded under a former owner is not run again") {
  const AttemptId attempt{{JobId("p.1"), 0},
                          2 * internal::kAttemptsPerEpoch + 1};
  for (const bool succeeded : {true, false}) {
    CAPTURE(succeeded);
    Driver d;
    d.Handle(ClaimWon{Epoch{3}});
    const JobSubmitted job{
        JobId("p.1"), kTeam, RequestId("r1"), MakeJobSpec(), {}};
    d.Handle(JournalLoaded{Epoch{3}, std::nullopt, {{1, Epoch{2}, 9, {job}}}});
    d.CompleteAppend();
    const auto kind =
        succeeded ? WorkerEventKind::kSucceeded : WorkerEventKind::kStopped;
    d.Handle(WorkerReported{kVm, Epoch{3}, {{1, attempt, kind, ""}}, {}});
    d.Handle(WorkerSessionOpened{kVm, Epoch{3}, {}});
    d.CompleteAppend();
    d.Handle(Tick{});
    CHECK(d.Count<SendOrders>() == (succeeded ? 0 : 1));
    const auto& records = d.Last<AppendBatch>().batch.records;
    REQUIRE(!records.empty());
    const auto* ended = std::get_if<TaskEnded>(&records.back());
    CHECK((ended != nullptr) == succeeded);
    if (ended != nullptr) CHECK(ended->state == TaskState::kSucceeded);
  }
}

TEST_CASE("an append answer for an earlier epoch has no effect") {
  Driver d;
  d.TakeOver();
  d.Submit(1, "r1", MakeJobSpec());
  d.Handle(Appended{Epoch{2}, d.Last<AppendBatch>().batch.number});
  CHECK(d.Count<Answer>() == 0);
}

// After an unknown outcome the batch is frozen: when reading back finds no
// entry, the batch is written again unchanged, even if more records wait by
// then.
TEST_CASE("a batch that may have been written is retried unchanged") {
  internal::GroupCommit commit(Options(), 1);
  MonotonicTime now(seconds(1));
  commit.Begin(Epoch{1}, 5, 1);
  commit.SkipFirstWrite();
  commit.Add(JobForgotten{JobId("p.1")});
  REQUIRE(commit.Next(now));
  commit.Add(JobForgotten{JobId("p.2")});
  commit.OnUnknown({Epoch{1}, 1}, now);
  now += seconds(5);
  REQUIRE(std::holds_alternative<ReadBack>(*commit.Next(now)));
  commit.OnFound({Epoch{1}, 1, std::nullopt}, now);
  const Batch again = std::get<AppendBatch>(*commit.Next(now)).batch;
  CHECK(again.records.size() == 1);
  commit.OnUnavailable({Epoch{1}, 1}, now);
  CHECK(!commit.Withdraw(internal::Sequence{1}));
  CHECK(commit.Withdraw(internal::Sequence{2}));
}

// Guards against an owner that refuses each submission until the next change of
// the configuration, because it read the same one earlier than the frontend,
// when the store's revision was lower.
TEST_CASE("a revision that the owner's copy is complete through is not ahead") {
  struct Case {
    Revision complete_through;
    bool accepted;
  };
  for (const Case& c : {Case{{}, false}, Case{{50}, false}, Case{{51}, true},
                        Case{{60}, true}}) {
    CAPTURE(c.complete_through.value);
    Driver d;
    d.TakeOver();
    d.Handle(FreshnessChanged{true, c.complete_through});
    d.Handle(RequestReceived{RequestToken{1},
                             SubmitJob{PartitionId("p"), kTeam, RequestId("r"),
                                       MakeJobSpec(), Revision{51}},
                             d.now + seconds(10)});
    if (c.accepted) {
      CHECK(d.Count<Answer>() == 0);  // Until it is appended.
    } else {
      CHECK(d.LastRefusal().code == RefusalCode::kStaleConfiguration);
    }
  }
}

}  // namespace
}  // namespace azurepass::partition
