// Single rules of the owner, event by event. What holds in any order of events
// is in owner_fuzz_test.

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

JobSpec Spec(bool repeatable = true) {
  JobSpec spec;
  spec.queue = QueueId("default");
  spec.task = Resources(1, 1, 100, 100, 0);
  spec.repeatable = repeatable;
  return spec;
}

// Drives one owner by hand. Appends are answered by Append().
class Driver {
 public:
  explicit Driver(Options options = {})
      : owner_(options, PartitionId("p"), OneWorker(), 7) {
    auto configuration = std::make_shared<Configuration>();
    Contract contract;
    contract.team = kTeam;
    contract.zones = {ZoneId("zone-a")};
    contract.queues = {{QueueId("default"), ServiceId("sorting")}};
    configuration->contracts[kTeam] = contract;
    Do(ConfigurationChanged{configuration});
    Do(FreshnessChanged{true});
    Do(AllowancesChanged{{{kTeam, kUnlimited}}});
    Do(VmListChanged{{{kVm, VmState::kLive}}});
  }

  void Own(std::vector<AttemptId> running = {}) {
    Do(ClaimWon{Epoch{3}});
    Do(JournalLoaded{Epoch{3}, std::nullopt, {}});
    Append();
    Do(WorkerSessionOpened{kVm, Epoch{3}, std::move(running)});
    Append();
  }
  void Do(Event event) {
    for (Action& action : owner_.Handle(std::move(event), now)) {
      actions.push_back(std::move(action));
    }
  }
  void Append() { Do(Appended{Epoch{3}, Last<AppendBatch>().batch.number}); }
  void Submit(int64_t token, const std::string& request, const JobSpec& spec) {
    Do(RequestReceived{
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

TEST_CASE("a submission is answered after its append and started then") {
  Driver d;
  d.Own();
  d.Submit(1, "r1", Spec());
  CHECK(d.Count<Answer>() == 0);
  d.Append();
  CHECK(std::get<JobView>(d.Last<Answer>().response).id == JobId("p.1"));
  const auto& order = std::get<StartTask>(d.Last<SendOrders>().orders.front());
  CHECK(order.attempt.attempt == 3 * internal::kAttemptsPerEpoch + 1);
}

TEST_CASE("a non-repeatable start waits for its append") {
  Driver d;
  d.Own();
  d.Submit(1, "r1", Spec(/*repeatable=*/false));
  d.Append();
  CHECK(d.Count<SendOrders>() == 0);
  d.Append();
  CHECK(d.Count<SendOrders>() == 1);
}

TEST_CASE("a request id stands for one body") {
  Driver d;
  d.Own();
  d.Submit(1, "r1", Spec());
  d.Submit(2, "r1", Spec());
  d.Append();
  CHECK(d.Count<Answer>() == 2);
  d.Submit(3, "r1", Spec());
  CHECK(std::get<JobView>(d.Last<Answer>().response).id == JobId("p.1"));
  d.Submit(4, "r1", Spec(/*repeatable=*/false));
  CHECK(d.LastRefusal().code == RefusalCode::kRequestConflict);
}

TEST_CASE("what the caller is told when the store does not answer in time") {
  const struct {
    const char* name;
    bool in_flight;
    Effect effect;
  } cases[] = {{"certainly not written", false, Effect::kNotRun},
               {"may be written", true, Effect::kUnknown}};
  for (const auto& c : cases) {
    CAPTURE(std::string(c.name));
    Driver d;
    d.Own();
    d.Submit(1, "r1", Spec());
    const int64_t number = d.Last<AppendBatch>().batch.number;
    if (c.in_flight) {
      d.Do(AppendUnknown{Epoch{3}, number});
    } else {
      d.Do(AppendUnavailable{Epoch{3}, number});
    }
    d.now += seconds(11);
    d.Do(Tick{});
    REQUIRE(d.Count<Answer>() == 1);
    CHECK(d.LastRefusal().effect == c.effect);
  }
}

TEST_CASE("refusals before anything is recorded") {
  Options options;
  options.max_queued_tasks = 2;
  JobSpec too_many = Spec();
  too_many.tasks = 3;
  JobSpec too_large = Spec();
  too_large.task = Resources(5, 1, 1, 1, 0);
  JobSpec no_queue = Spec();
  no_queue.queue = QueueId("other");
  const struct {
    JobSpec spec;
    RefusalCode code;
  } cases[] = {{too_many, RefusalCode::kQueueFull},
               {too_large, RefusalCode::kNeverFits},
               {no_queue, RefusalCode::kNotFound}};
  for (const auto& c : cases) {
    Driver d(options);
    d.Own();
    const int before = d.Count<AppendBatch>();
    d.Submit(1, "r1", c.spec);
    CHECK(d.LastRefusal().code == c.code);
    CHECK(d.LastRefusal().effect == Effect::kNotRun);
    CHECK(d.Count<AppendBatch>() == before);
  }
}

TEST_CASE("someone else's entry deposes") {
  Driver d;
  d.Own();
  d.Submit(1, "r1", Spec());
  const int64_t number = d.Last<AppendBatch>().batch.number;
  d.Do(AppendFound{Epoch{3}, number, Batch{number, Epoch{4}, 9, {}}});
  CHECK(d.Count<Deposed>() == 1);
  CHECK(d.LastRefusal().code == RefusalCode::kNotOwner);
  CHECK(d.LastRefusal().effect == Effect::kNotRun);
}

// The proof's own write became one with the batch that was dissolved.
TEST_CASE("a session opened during a failing append is proven later") {
  Driver d;
  d.Own();
  d.Submit(1, "r1", Spec());
  const int64_t number = d.Last<AppendBatch>().batch.number;
  d.Do(WorkerSessionOpened{kVm, Epoch{3}, {}});
  d.Do(AppendUnavailable{Epoch{3}, number});
  d.now += seconds(1);
  d.Do(Tick{});
  d.Append();
  CHECK(d.Count<SendOrders>() == 0);
  CHECK(d.Last<AppendBatch>().batch.number == number + 1);
  d.Append();
  CHECK(d.Count<SendOrders>() == 1);
}

// The proof's write had become one with that of a submission, which was given
// up, and the workers got no starts until somebody added another record.
TEST_CASE("a session is proven although the record beside is withdrawn") {
  Options options;
  options.append_timeout = Duration(300);
  Driver d(options);
  d.Own();
  d.Do(WorkerSessionOpened{kVm, Epoch{3}, {}});
  const int64_t number = d.Last<AppendBatch>().batch.number;
  d.Do(AppendUnavailable{Epoch{3}, number});
  d.Submit(1, "r1", Spec());
  d.now += Duration(100);
  d.Do(Tick{});
  REQUIRE(d.Last<AppendBatch>().batch.records.size() == 1);
  d.Do(AppendUnavailable{Epoch{3}, number});
  d.now += seconds(1);
  d.Do(Tick{});
  CHECK(d.LastRefusal().effect == Effect::kNotRun);
  CHECK(d.Last<AppendBatch>().batch.number == number);
  REQUIRE(d.Last<AppendBatch>().batch.records.empty());
  d.Append();
  d.Submit(2, "r2", Spec());
  d.Append();
  CHECK(d.Count<SendOrders>() == 1);
}

TEST_CASE("what succeeded under a former owner is not run again") {
  const AttemptId attempt{{JobId("p.1"), 0},
                          2 * internal::kAttemptsPerEpoch + 1};
  for (const bool succeeded : {true, false}) {
    CAPTURE(succeeded);
    Driver d;
    d.Do(ClaimWon{Epoch{3}});
    const JobSubmitted job{JobId("p.1"), kTeam, RequestId("r1"), Spec(), {}};
    d.Do(JournalLoaded{Epoch{3}, std::nullopt, {{1, Epoch{2}, 9, {job}}}});
    d.Append();
    const auto kind =
        succeeded ? WorkerEventKind::kSucceeded : WorkerEventKind::kStopped;
    d.Do(WorkerReported{kVm, Epoch{3}, {{1, attempt, kind, ""}}, {}});
    d.Do(WorkerSessionOpened{kVm, Epoch{3}, {}});
    d.Append();
    d.Do(Tick{});
    CHECK(d.Count<SendOrders>() == (succeeded ? 0 : 1));
    const auto& records = d.Last<AppendBatch>().batch.records;
    REQUIRE(!records.empty());
    const auto* ended = std::get_if<TaskEnded>(&records.back());
    CHECK((ended != nullptr) == succeeded);
    if (ended != nullptr) CHECK(ended->state == TaskState::kSucceeded);
  }
}

TEST_CASE("a late answer to an earlier ownership settles nothing") {
  Driver d;
  d.Own();
  d.Submit(1, "r1", Spec());
  d.Do(Appended{Epoch{2}, d.Last<AppendBatch>().batch.number});
  CHECK(d.Count<Answer>() == 0);
}

// An answer that tells nothing freezes the batch: read back empty, it is
// written again unchanged, although more records wait by then.
TEST_CASE("a batch that may be written is written again unchanged") {
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

}  // namespace
}  // namespace azurepass::partition
