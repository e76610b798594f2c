// Measures the owner's time per event and its recovery time for several numbers
// of workers, each with 24 running tasks. 300 workers is the design size of a
// partition.

#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <vector>

#include "azurepass/partition/internal/attempt_numbers.h"
#include "azurepass/partition/partition.h"

namespace azurepass::partition {
namespace {

constexpr int64_t kTasksPerWorker = 24;
constexpr int64_t kTailBatches = 200;
constexpr int64_t kTailRecords = 7;  // Per batch, at 64 starts per second.
const TeamId kTeam("intake");

VmId Vm(int64_t n) { return VmId("vm-" + std::to_string(n)); }

JobSubmitted MakeJob(int64_t number) {
  JobSubmitted job;
  job.job = MakeJobId(PartitionId("p"), number);
  job.team = kTeam;
  job.request = RequestId("r" + std::to_string(number));
  job.spec.queue = QueueId("default");
  job.spec.task = Resources(1, 1, 1'000, 2'048, 0);
  return job;
}

// Simulates the store, workers and callers of an owner. Everything is answered
// at once.
class OwnerSimulation {
 public:
  explicit OwnerSimulation(int64_t workers) : workers_(workers) {
    std::vector<WorkerSpec> specs;
    VmListChanged list;
    for (int64_t i = 0; i < workers; ++i) {
      WorkerSpec spec;
      spec.vm = Vm(i);
      spec.zone = ZoneId("zone-" + std::to_string(i % 3));
      spec.rack = RackId("rack-" + std::to_string(i / 30));
      spec.capacity = Resources(32, 64, 32'000, 65'536, 0);
      specs.push_back(spec);
      list.vms[spec.vm] = VmState::kLive;
    }
    Options options;
    options.retention_after_end = Duration(1'000);
    options.snapshot_every = int64_t{1} << 40;
    owner_.emplace(options, PartitionId("p"), specs, 7);
    auto configuration = std::make_shared<Configuration>();
    Contract contract;
    contract.team = kTeam;
    contract.zones = {ZoneId("zone-0"), ZoneId("zone-1"), ZoneId("zone-2")};
    contract.queues = {{QueueId("default"), ServiceId("sorting")}};
    configuration->contracts[kTeam] = contract;
    Handle(ConfigurationChanged{configuration});
    Handle(FreshnessChanged{true});
    Handle(AllowancesChanged{{{kTeam, kUnlimited}}});
    Handle(std::move(list));
  }

  // Returns a journal with kTasksPerWorker tasks running on each worker. The
  // latest starts are in batches after the snapshot.
  JournalLoaded Journal() const {
    JournalLoaded loaded{Epoch{2}, Snapshot{}, {}};
    const int64_t tasks = workers_ * kTasksPerWorker;
    const int64_t tail = std::min(tasks / 2, kTailBatches * kTailRecords);
    for (int64_t n = 1; n <= tasks; ++n) {
      JobSnapshot job{MakeJob(n), false, {TaskSnapshot{}}};
      if (n <= tasks - tail) {
        job.tasks[0] = {
            TaskState::kRunning, Vm(n % workers_), 1'025, 1, 0, false, ""};
      }
      loaded.snapshot->jobs.push_back(std::move(job));
    }
    loaded.snapshot->through = 1;
    loaded.snapshot->next_job_number = tasks + 1;
    for (int64_t n = 0; n < tail; ++n) {
      if (n % kTailRecords == 0) {
        loaded.batches.push_back(
            {std::ssize(loaded.batches) + 2, Epoch{1}, 1, {}});
      }
      const int64_t number = tasks - n;
      loaded.batches.back().records.push_back(
          TaskStarted{{{MakeJobId(PartitionId("p"), number), 0}, 1'025},
                      Vm(number % workers_)});
    }
    return loaded;
  }

  void Recover(JournalLoaded journal) {
    const int64_t tasks = workers_ * kTasksPerWorker;
    Handle(ClaimWon{Epoch{2}});
    Handle(std::move(journal));
    CompleteAppends();
    std::vector<std::vector<AttemptId>> running(workers_);
    for (int64_t n = 1; n <= tasks; ++n) {
      running[n % workers_].push_back(
          {{MakeJobId(PartitionId("p"), n), 0}, 1'025});
    }
    for (int64_t i = 0; i < workers_; ++i) {
      Handle(WorkerSessionOpened{Vm(i), Epoch{2}, std::move(running[i])});
    }
    CompleteAppends();
  }

  // Runs one task from its submission through its start to its end. Returns the
  // number of events that this took.
  int64_t RunOneTask(int64_t number) {
    events_ = 0;
    now_ += Duration(10);
    const JobSubmitted job = MakeJob(number);
    Handle(RequestReceived{
        RequestToken{number},
        SubmitJob{PartitionId("p"), kTeam, job.request, job.spec, {}},
        now_ + Duration(5'000)});
    CompleteAppends();
    if (!started_) return events_;
    const auto [attempt, vm] = *std::exchange(started_, std::nullopt);
    Handle(WorkerReported{
        vm, Epoch{2}, {{1, attempt, WorkerEventKind::kStarted, ""}}, {}});
    Handle(WorkerReported{
        vm, Epoch{2}, {{2, attempt, WorkerEventKind::kSucceeded, ""}}, {}});
    CompleteAppends();
    return events_;
  }

  bool owns() const { return owner_->owns(); }

 private:
  void Handle(Event event) {
    ++events_;
    for (Action& action : owner_->Handle(std::move(event), now_)) {
      if (auto* append = std::get_if<AppendBatch>(&action)) {
        append_ = append->batch.number;
      }
      if (auto* orders = std::get_if<SendOrders>(&action)) {
        if (auto* start = std::get_if<StartTask>(&orders->orders.back())) {
          started_ = {start->attempt, orders->vm};
        }
      }
    }
  }
  void CompleteAppends() {
    while (append_) {
      Handle(Appended{Epoch{2}, *std::exchange(append_, std::nullopt)});
    }
  }

  int64_t workers_;
  std::optional<Owner> owner_;
  MonotonicTime now_{std::chrono::seconds(1'000)};
  std::optional<int64_t> append_;
  std::optional<std::pair<AttemptId, VmId>> started_;
  int64_t events_ = 0;
};

void BM_OneTask(benchmark::State& state) {
  OwnerSimulation bench(state.range(0));
  bench.Recover(bench.Journal());
  int64_t number = state.range(0) * kTasksPerWorker;
  int64_t events = 0;
  for (auto _ : state) events += bench.RunOneTask(++number);
  state.SetItemsProcessed(events);  // Reported as events per second.
  state.counters["owns"] = bench.owns() ? 1 : 0;
}
BENCHMARK(BM_OneTask)->Arg(35)->Arg(100)->Arg(300)->Arg(600);

void BM_Recovery(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    OwnerSimulation bench(state.range(0));
    JournalLoaded journal = bench.Journal();
    state.ResumeTiming();
    bench.Recover(std::move(journal));
  }
}
BENCHMARK(BM_Recovery)
    ->Arg(35)
    ->Arg(100)
    ->Arg(300)
    ->Arg(600)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azurepass::partition
