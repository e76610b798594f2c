// An owner under the load of a grown deployment, in virtual time: jobs of ten
// tasks that need permits arrive as fast as the workers can carry, behind a
// backlog that keeps all workers full. Everything around the owner answers
// after the time that it takes there, so that events come one by one, as they
// do in a process.
//
// Reported: the owner's processor time a start, and events a start. The slopes
// against workers and waiting jobs stand in docs/CAPACITY.md.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
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
constexpr int64_t kServices = 10;  // Jobs of perpetual tasks.
constexpr int64_t kStartsPerSecond = 700;
constexpr int kPermittedPercent = 37;
constexpr Duration kAppendTime{5};
constexpr Duration kOrderTime{2};
constexpr Duration kPermitValidity{4'000};
constexpr Duration kPermitCall{20};
constexpr Duration kKept{10'000};
constexpr Duration kRecoverTime{200};
constexpr Duration kWarmUp{2'000};
constexpr Duration kStep{100};  // Of virtual time in one iteration.
constexpr Epoch kEpoch{2};
const PartitionId kPartition("service-1");
const QueueId kQueue("queue-1");

VmId Vm(int64_t n) { return VmId("vm" + std::to_string(1'000 + n)); }
TeamId Team(int64_t n) { return TeamId("team-" + std::to_string(n % kTeams)); }

struct Later {
  MonotonicTime at;
  int64_t number = 0;  // Keeps the order of equal times.
  std::function<void()> run;
  bool operator>(const Later& other) const {
    return std::pair(at, number) > std::pair(other.at, other.number);
  }
};

// The owner's surroundings.
class Load {
 public:
  Load(int64_t workers, int64_t waiting) : workers_(workers) {
    Options options;
    options.retention_after_end = kKept;
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
    events_of_.resize(workers, 0);
    owner_.emplace(options, kPartition, specs, 7);
    Configure();
    Do(std::move(list));
    Do(ClaimWon{kEpoch});
    RunFor(kRecoverTime);
    for (int64_t i = 0; i < kServices; ++i) Submit(true);
    for (int64_t i = 0; i < waiting; ++i) Submit(false);
    ScheduleArrival();
    RunFor(kWarmUp);
  }

  void RunFor(Duration time) {
    const MonotonicTime until = now_ + time;
    while (!later_.empty() && later_.top().at <= until) {
      now_ = std::max(now_, later_.top().at);
      const std::function<void()> run = later_.top().run;
      later_.pop();
      run();
    }
    now_ = until;
  }

  int64_t starts() const { return starts_; }
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
    Do(ConfigurationChanged{configuration});
    Do(FreshnessChanged{true});
    Do(AllowancesChanged{allowances});
  }

  // As many jobs as the workers can carry; the run time follows from the room.
  void ScheduleArrival() {
    constexpr microseconds kInterval{int64_t{1'000'000} * kTasksPerJob /
                                     kStartsPerSecond};
    At(kInterval, [this] {
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
    step.job.task = Resources(1, 0, 500, 512, 0);
    step.job.declared_run_time = RunTime();
    step.job.counts_losses = false;
    step.job.perpetual = perpetual;
    if (perpetual) step.job.policy = ServicePolicy{};
    step.job.constraints.needs_permit = !perpetual;
    submit.spec.steps = {step};
    Do(RequestReceived{RequestToken{submitted_}, std::move(submit),
                       now_ + Duration(5'000)});
  }

  Duration RunTime() const {
    return Duration(workers_ * kTasksPerWorker * 1'000 / kStartsPerSecond);
  }

  void At(microseconds delay, std::function<void()> run) {
    later_.push({now_ + delay, ++scheduled_, std::move(run)});
  }

  void Do(Event event) {
    ++events_;
    for (Action& action : owner_->Handle(std::move(event), now_)) {
      std::visit([this](auto& a) { Perform(a); }, action);
    }
  }

  void Perform(const LoadJournal& a) {
    Do(JournalLoaded{a.epoch, std::nullopt, {}});
  }
  void Perform(const AppendBatch& a) {
    At(kAppendTime, [this, number = a.batch.number] {
      Do(Appended{kEpoch, number});
    });
  }
  void Perform(const WriteSnapshot& a) {
    At(kAppendTime, [this, through = a.snapshot.through] {
      Do(SnapshotWritten{kEpoch, through, true});
    });
  }
  void Perform(const OpenSession& a) {
    At(kOrderTime, [this, vm = a.worker.vm] {
      Do(WorkerSessionOpened{vm, kEpoch, {}});
    });
  }
  void Perform(const SendOrders& a) {
    for (const Order& order : a.orders) {
      if (const auto* start = std::get_if<StartTask>(&order)) {
        Start(a.vm, *start);
      }
    }
  }
  void Start(const VmId& vm, const StartTask& start) {
    ++starts_;
    At(kOrderTime, [this, vm, attempt = start.attempt] {
      Do(WorkerReported{
          vm, kEpoch, {{0, attempt, WorkerEventKind::kStarted, ""}}, {}});
    });
    if (start.run_time != RunTime() || start.permit.empty()) return;
    // Between half and one and a half of what was declared.
    const auto run =
        microseconds(start.run_time) / 2 +
        microseconds(random_() % static_cast<uint64_t>(
                                     microseconds(start.run_time).count()));
    At(run, [this, vm, attempt = start.attempt] {
      int64_t& events = events_of_[std::stoll(vm.value().substr(2)) - 1'000];
      Do(WorkerReported{vm,
                        kEpoch,
                        {{++events, attempt, WorkerEventKind::kSucceeded, ""}},
                        {}});
    });
  }
  void Perform(const RequestPermits& a) {
    PermitsIssued issued{a.job, a.workers, std::vector<Permit>(), {}};
    for (const VmId& vm : a.workers) {
      // The same for each question about the same job and worker.
      const size_t hash =
          std::hash<std::string>()(a.job.value() + vm.value()) % 100;
      if (hash < kPermittedPercent) {
        issued.permits->push_back({vm, "permit-for-" + vm.value()});
      }
    }
    At(kPermitCall, [this, issued]() mutable {
      issued.valid_until = now_ + kPermitValidity;
      Do(issued);
    });
  }
  void Perform(const Wake& a) {
    const int64_t wake = ++wakes_;
    // A timer of a process counts in milliseconds.
    const auto delay = std::chrono::ceil<Duration>(a.at - now_);
    At(std::max(Duration(0), delay), [this, wake] {
      if (wake == wakes_) Do(Tick{});
    });
  }
  template <class Other>
  void Perform(const Other& /*other*/) {}

  const int64_t workers_;
  std::mt19937_64 random_{20261204};
  std::optional<Owner> owner_;
  MonotonicTime now_{std::chrono::seconds(1'000)};
  std::priority_queue<Later, std::vector<Later>, std::greater<>> later_;
  std::vector<int64_t> events_of_;  // Numbers of events, by worker.
  int64_t scheduled_ = 0;
  int64_t wakes_ = 0;
  int64_t submitted_ = 0;
  int64_t starts_ = 0;
  int64_t events_ = 0;
};

// Arguments: workers, jobs that wait at the beginning.
void BM_Load(benchmark::State& state) {
  Load load(state.range(0), state.range(1));
  const int64_t starts = load.starts();
  const int64_t events = load.events();
  for (auto _ : state) load.RunFor(kStep);
  const auto made = static_cast<double>(load.starts() - starts);
  state.counters["cpu_per_start"] = benchmark::Counter(
      made, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  state.counters["events_per_start"] =
      static_cast<double>(load.events() - events) / made;
  state.counters["starts_per_s"] =
      made * 10 / static_cast<double>(state.iterations());
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

}  // namespace
}  // namespace azurepass::partition
