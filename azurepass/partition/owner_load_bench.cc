// Measures an owner under the load of a large deployment, in virtual time. Jobs
// of ten tasks that need permits arrive at the rate that the workers can carry,
// behind a backlog that keeps all workers full. The store, the workers and the
// permit service answer with their latencies in such a deployment, so that
// events arrive one by one, as in a scheduler process.
//
// Reports the owner's processor time per start and events per start.
// docs/CAPACITY.md shows how they grow with the workers and the waiting jobs.
//
// A second load is that of accounts at their upper limits, with urgent jobs
// that need permits beside wide steps of normal priority that need none; see
// placement/internal/allowance_holds.h. It reports decisions, records and
// processor time per task that was done.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/partition/partition.h"

namespace azurepass::partition {
namespace {

using std::chrono::microseconds;

constexpr int64_t kTeams = 20;
constexpr int64_t kRacks = 14;
constexpr int32_t kTasksPerJob = 10;
constexpr int64_t kTasksPerWorker = 8;
constexpr int64_t kPerpetualJobs = 10;  // Number of jobs with perpetual tasks.
constexpr int64_t kStartsPerSecond = 700;
constexpr int kPermittedPercent = 37;
constexpr int32_t kTasksPerWideStep = 400;
// Of the wide steps' account limits, per account and worker.
constexpr int64_t kLimitedTasksPerWorker = 2;
constexpr int64_t kLimitedTeams = 3;
constexpr Duration kAppendTime{5};
constexpr Duration kOrderTime{2};
constexpr Duration kPermitValidity{4'000};
constexpr Duration kPermitLatency{20};
constexpr Duration kRetention{10'000};
constexpr Duration kRecoverTime{200};
constexpr Duration kWarmUp{2'000};
// Virtual time per benchmark iteration.
constexpr Duration kIterationTime{100};
constexpr Epoch kEpoch{2};
const PartitionId kPartition("service-1");
const QueueId kQueue("queue-1");

constexpr int64_t kTaskMillicores = 500;

VmId Vm(int64_t n) { return VmId("vm" + std::to_string(1'000 + n)); }
TeamId Team(int64_t n) { return TeamId("team-" + std::to_string(n % kTeams)); }

struct ScheduledCall {
  MonotonicTime at;
  int64_t number = 0;  // Orders calls with equal times.
  std::function<void()> run;
  bool operator>(const ScheduledCall& other) const {
    return std::pair(at, number) > std::pair(other.at, other.number);
  }
};

// Simulates the store, workers, permit service and callers of an owner.
class LoadSimulation {
 public:
  LoadSimulation(int64_t workers, int64_t waiting, bool limited = false)
      : workers_(workers), limited_(limited) {
    Options options;
    options.retention_after_end = kRetention;
    options.record_starts_first = true;
    options.keep_running_attempts = true;
    options.placement.preempt_over_allowance = false;
    options.placement.bound_retries = false;
    options.placement.zone_ramp = Duration(0);
    std::vector<WorkerSpec> specs;
    VmListChanged list;
    for (int64_t i = 0; i < workers; ++i) {
      WorkerSpec spec;
      spec.vm = Vm(i);
      spec.zone = ZoneId("zone-" + std::to_string(i % 2));
      spec.rack = RackId("rack-" + std::to_string(i % kRacks));
      spec.capacity = Resources(1'000, 1'000, kTasksPerWorker * 500 + 500,
                                kTasksPerWorker * 512 + 512, 0);
      spec.labels = {"kind-" + std::to_string(i % 3), spec.rack.value()};
      specs.push_back(spec);
      list.vms[spec.vm] = VmState::kLive;
    }
    last_event_.resize(workers, 0);
    owner_.emplace(options, kPartition, specs, 7);
    Configure();
    Handle(std::move(list));
    Handle(ClaimWon{kEpoch});
    RunFor(kRecoverTime);
    const int64_t perpetual = limited ? 0 : kPerpetualJobs;
    for (int64_t i = 0; i < perpetual; ++i) Submit(true);
    for (int64_t i = 0; i < waiting; ++i) Submit(false);
    ScheduleArrival();
    RunFor(kWarmUp);
  }

  void RunFor(Duration time) {
    const MonotonicTime until = now_ + time;
    while (!scheduled_calls_.empty() && scheduled_calls_.top().at <= until) {
      now_ = std::max(now_, scheduled_calls_.top().at);
      const std::function<void()> run = scheduled_calls_.top().run;
      scheduled_calls_.pop();
      run();
    }
    now_ = until;
  }

  int64_t starts() const { return starts_; }
  int64_t done() const { return done_; }
  int64_t records() const { return records_; }
  int64_t start_decisions() const { return start_decisions_; }
  int64_t preempt_decisions() const { return preempt_decisions_; }
  int64_t events() const { return events_; }
  int64_t waiting() const { return owner_->status().cell.queued_tasks; }

 private:
  void Configure() {
    auto configuration = std::make_shared<Configuration>();
    Allowances allowances;
    for (int64_t i = 0; i < kTeams; ++i) {
      Contract contract;
      contract.team = Team(i);
      contract.zones = {ZoneId("zone-0"), ZoneId("zone-1")};
      configuration->contracts[contract.team] = contract;
      allowances[contract.team] = kUnlimited;
      if (limited_) {
        allowances[contract.team][Dimension::kMillicores] =
            workers_ * kLimitedTasksPerWorker * kTaskMillicores;
      }
    }
    QueueRecord queue;
    queue.queue = kQueue;
    queue.service = ServiceId("service-1");
    queue.stretch = 3;
    queue.objective = Duration(2'000);
    queue.permits =
        PermitTerms{Duration(10), microseconds(100), kPermitValidity};
    configuration->queues[kQueue] = queue;
    ServiceRecord service;
    service.service = queue.service;
    configuration->services[service.service] = service;
    Handle(ConfigurationChanged{configuration});
    Handle(FreshnessChanged{true});
    Handle(AllowancesChanged{allowances});
  }

  // Jobs arrive at a fixed rate. RunTime() is such that the workers can carry
  // them.
  void ScheduleArrival() {
    constexpr microseconds kInterval{int64_t{1'000'000} * kTasksPerJob /
                                     kStartsPerSecond};
    ScheduleAfter(kInterval, [this] {
      Submit(false);
      ScheduleArrival();
    });
  }

  void Submit(bool perpetual) {
    char request[17];
    std::snprintf(request, sizeof request, "%016llx",
                  static_cast<unsigned long long>(random_()));
    SubmitWorkflow submit;
    submit.partition = kPartition;
    submit.request = RequestId(request);
    submit.team = Team(++submitted_);
    submit.spec.queue = kQueue;
    submit.spec.payload = "what the tasks are to do, in some words";
    WorkflowStep step;
    step.job.queue = kQueue;
    step.job.tasks = kTasksPerJob;
    step.job.task = Resources(1, 0, kTaskMillicores, 512, 0);
    step.job.declared_run_time = RunTime();
    step.job.counts_losses = false;
    step.job.perpetual = perpetual;
    if (perpetual) step.job.policy = ServicePolicy{};
    step.job.constraints.needs_permit = !perpetual;
    if (limited_) {
      submit.team = Team(submitted_ % kLimitedTeams);
      const bool urgent = submitted_ % 2 == 0;
      step.job.priority = urgent ? Priority::kUrgent : Priority::kNormal;
      step.job.constraints.needs_permit = urgent;
      step.job.checkpoints = !urgent;
      if (!urgent) step.job.tasks = kTasksPerWideStep;
    }
    submit.spec.steps = {step};
    Handle(RequestReceived{RequestToken{submitted_}, std::move(submit),
                           now_ + Duration(5'000)});
  }

  Duration RunTime() const {
    return Duration(workers_ * kTasksPerWorker * 1'000 / kStartsPerSecond);
  }

  void ScheduleAfter(microseconds delay, std::function<void()> run) {
    scheduled_calls_.push({now_ + delay, ++last_call_, std::move(run)});
  }

  void Handle(Event event) {
    ++events_;
    for (Action& action : owner_->Handle(std::move(event), now_)) {
      std::visit([this](auto& a) { Perform(a); }, action);
    }
  }

  void Perform(const LoadJournal& a) {
    Handle(JournalLoaded{a.epoch, std::nullopt, {}});
  }
  void Perform(const LogDecision& a) {
    start_decisions_ += a.kind == "start" ? 1 : 0;
    preempt_decisions_ += a.kind == "preempt" ? 1 : 0;
  }
  void Perform(const AppendBatch& a) {
    records_ += std::ssize(a.batch.records);
    ScheduleAfter(kAppendTime, [this, number = a.batch.number] {
      Handle(Appended{kEpoch, number});
    });
  }
  void Perform(const WriteSnapshot& a) {
    ScheduleAfter(kAppendTime, [this, through = a.snapshot.through] {
      Handle(SnapshotWritten{kEpoch, through, true});
    });
  }
  void Perform(const OpenSession& a) {
    ScheduleAfter(kOrderTime, [this, vm = a.worker.vm] {
      Handle(WorkerSessionOpened{vm, kEpoch, {}});
    });
  }
  void Perform(const SendOrders& a) {
    for (const Order& order : a.orders) {
      if (const auto* start = std::get_if<StartTask>(&order)) {
        Start(a.vm, *start);
      } else if (const auto* stop = std::get_if<StopTask>(&order)) {
        stopped_.insert(stop->attempt);
        ScheduleAfter(kOrderTime, [this, vm = a.vm, attempt = stop->attempt] {
          ReportEnd(vm, attempt, WorkerEventKind::kCheckpointed);
        });
      }
    }
  }
  void Start(const VmId& vm, const StartTask& start) {
    ++starts_;
    ScheduleAfter(kOrderTime, [this, vm, attempt = start.attempt] {
      Handle(WorkerReported{
          vm, kEpoch, {{0, attempt, WorkerEventKind::kStarted, ""}}, {}});
    });
    const bool ends = limited_ || !start.permit.empty();
    if (start.run_time != RunTime() || !ends) return;
    // Between 0.5 and 1.5 times the declared run time.
    const auto run =
        microseconds(start.run_time) / 2 +
        microseconds(random_() % static_cast<uint64_t>(
                                     microseconds(start.run_time).count()));
    ScheduleAfter(run, [this, vm, attempt = start.attempt] {
      if (stopped_.erase(attempt) > 0) return;
      ++done_;
      ReportEnd(vm, attempt, WorkerEventKind::kSucceeded);
    });
  }
  void ReportEnd(const VmId& vm, const AttemptId& attempt,
                 WorkerEventKind kind) {
    int64_t& events = last_event_[std::stoll(vm.value().substr(2)) - 1'000];
    Handle(WorkerReported{vm, kEpoch, {{++events, attempt, kind, ""}}, {}});
  }
  void Perform(const RequestPermits& a) {
    PermitsIssued issued{a.job, a.workers, std::vector<Permit>(), {}};
    for (const VmId& vm : a.workers) {
      // The decision is the same for each request about this job and worker.
      const size_t hash =
          std::hash<std::string>()(a.job.value() + vm.value()) % 100;
      if (hash < kPermittedPercent) {
        issued.permits->push_back({vm, "permit-for-" + vm.value()});
      }
    }
    ScheduleAfter(kPermitLatency, [this, issued]() mutable {
      issued.valid_until = now_ + kPermitValidity;
      Handle(issued);
    });
  }
  void Perform(const Wake& a) {
    const int64_t wake = ++wakes_;
    // Timers of a scheduler process have a resolution of one millisecond.
    const auto delay = std::chrono::ceil<Duration>(a.at - now_);
    ScheduleAfter(std::max(Duration(0), delay), [this, wake] {
      if (wake == wakes_) Handle(Tick{});
    });
  }
  template <class Other>
  void Perform(const Other& /*other*/) {}

  const int64_t workers_;
  const bool limited_;
  std::mt19937_64 random_{20261204};
  std::optional<Owner> owner_;
  MonotonicTime now_{std::chrono::seconds(1'000)};
  std::priority_queue<ScheduledCall, std::vector<ScheduledCall>, std::greater<>>
      scheduled_calls_;
  std::vector<int64_t> last_event_;  // Latest event number, by worker.
  int64_t last_call_ = 0;
  int64_t wakes_ = 0;
  int64_t submitted_ = 0;
  int64_t starts_ = 0;
  int64_t events_ = 0;
  int64_t done_ = 0;  // Tasks.
  int64_t records_ = 0;
  int64_t start_decisions_ = 0;
  int64_t preempt_decisions_ = 0;
  std::set<AttemptId> stopped_;
};

// Arguments: number of workers, number of jobs that wait at the beginning.
void BM_Load(benchmark::State& state) {
  LoadSimulation load(state.range(0), state.range(1));
  const int64_t starts = load.starts();
  const int64_t events = load.events();
  for (auto _ : state) load.RunFor(kIterationTime);
  const auto started = static_cast<double>(load.starts() - starts);
  state.counters["cpu_per_start"] = benchmark::Counter(
      started, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  state.counters["events_per_start"] =
      static_cast<double>(load.events() - events) / started;
  state.counters["starts_per_s"] =
      started * 10 / static_cast<double>(state.iterations());
  state.counters["waiting"] = static_cast<double>(load.waiting());
}
BENCHMARK(BM_Load)
    ->Args({63, 100})
    ->Args({252, 100})
    ->Args({252, 1'500})
    ->Args({252, 4'000})
    ->Args({504, 1'500})
    ->Iterations(50)
    ->Unit(benchmark::kMillisecond);

// Arguments: as for BM_Load; every second job is urgent, the others are wide.
void BM_LoadAtLimit(benchmark::State& state) {
  LoadSimulation load(state.range(0), state.range(1), /*limited=*/true);
  const int64_t done = load.done();
  const int64_t records = load.records();
  const int64_t starts = load.start_decisions();
  const int64_t preempted = load.preempt_decisions();
  for (auto _ : state) load.RunFor(kIterationTime);
  const auto tasks = static_cast<double>(load.done() - done);
  state.counters["cpu_per_task"] = benchmark::Counter(
      tasks, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  state.counters["tasks"] = tasks;
  state.counters["starts_per_task"] =
      static_cast<double>(load.start_decisions() - starts) / tasks;
  state.counters["preempts_per_task"] =
      static_cast<double>(load.preempt_decisions() - preempted) / tasks;
  state.counters["records_per_task"] =
      static_cast<double>(load.records() - records) / tasks;
}
BENCHMARK(BM_LoadAtLimit)
    ->Args({63, 10})
    ->Args({252, 10})
    ->Iterations(50)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azurepass::partition
