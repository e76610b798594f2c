// Measures the speed and the memory of decisions.
//
//   * Fill: an empty cell starts tasks until 24 run on each worker.
//   * Churn: on a full cell with a backlog, one task ends and Decide is called
//     once. `p50_us` and `p99_us` measure the call of Decide alone.
//   * Burst: as Churn, but 64 tasks end before each call of Decide.
//     `starts_per_s` is the rate of starts.
//
// Memory is the number of bytes in use by malloc, divided by the number of
// running tasks, or by the number of workers for an empty cell.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "azurepass/placement/placement.h"
#include "azurepass/placement/testing/deployments.h"

namespace azurepass::placement {
namespace {

using testing::Deployment;
using testing::Random;

constexpr int32_t kTasksPerJob = 20;
constexpr int64_t kFillQueue = 400;  // Waiting tasks while the cell fills up.

double AllocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

Resources RandomSize(const Resources& capacity, Random& random) {
  const int64_t parts = capacity[Dimension::kSlots];
  Resources size(1, random.Below(6), 0, 0, 0);
  // A worker's capacity divided by its slots, times a factor from 0.5 to 1.5
  // that is about 1 on average.
  for (Dimension d : {Dimension::kMillicores, Dimension::kMemoryMib}) {
    const int64_t part = capacity[d] / parts;
    size[d] = part / 2 + random.Below(8) * part / 8;
  }
  const bool accelerated =
      capacity[Dimension::kAccelerators] > 0 && random.Below(12) == 0;
  size[Dimension::kAccelerators] = accelerated ? 1 : 0;
  return size;
}

Policy RandomPolicy(Random& random) {
  const int64_t draw = random.Below(100);
  if (draw < 20) return ServicePolicy{};
  if (draw < 98) return BatchPolicy{};
  return GangPolicy{};
}

// A cell with teams, jobs and a list of the running tasks.
class Load {
 public:
  Load(const Deployment& deployment, int64_t teams)
      : deployment_(deployment), teams_(teams), random_(7), cell_(Options()) {
    for (const WorkerSpec& worker : testing::WorkersOf(deployment)) {
      cell_.AddWorker(worker, WorkerAdmission::kOpen);
    }
    for (int64_t t = 0; t < teams; ++t) {
      cell_.SetTeam(TeamId(absl::StrCat("team-", t)),
                    {1 + t % 5, deployment.zones, kUnlimited});
    }
  }

  // Adds jobs until `waiting` tasks wait.
  void QueueTasks(int64_t waiting) {
    while (waiting_ < waiting) {
      JobSpec spec;
      spec.queue = QueueId("q");
      spec.policy = RandomPolicy(random_);
      spec.tasks = kTasksPerJob;
      spec.task = RandomSize(deployment_.capacity, random_);
      spec.declared_run_time = std::chrono::seconds(10);
      const TeamId team(absl::StrCat("team-", random_.Below(teams_)));
      cell_.AddJob(JobId(absl::StrCat("p.", ++jobs_)), team, spec, now_);
      waiting_ += spec.tasks;
    }
  }

  // Calls Decide and records its duration. Returns the number of starts.
  int64_t Decide() {
    now_ += std::chrono::microseconds(50);
    const auto begin = BootClock::now();
    const std::vector<Decision> decisions = cell_.Decide(now_, {});
    times_.push_back(BootClock::now() - begin);
    int64_t starts = 0;
    for (const Decision& decision : decisions) {
      const auto* start = std::get_if<Start>(&decision);
      if (start == nullptr) continue;
      running_.push_back(start->task);
      ++starts;
    }
    waiting_ -= starts;
    return starts;
  }

  void Fill() {
    while (static_cast<int64_t>(running_.size()) < Slots()) {
      QueueTasks(kFillQueue);
      if (Decide() == 0) break;
    }
  }

  void EndOne() {
    const int64_t i = random_.Below(static_cast<int64_t>(running_.size()));
    cell_.Release(running_[i], AttemptOutcome::kSucceeded, false, now_);
    std::swap(running_[i], running_.back());
    running_.pop_back();
  }

  int64_t Slots() const {
    return deployment_.workers * deployment_.capacity[Dimension::kSlots];
  }
  int64_t running() const { return static_cast<int64_t>(running_.size()); }

  void ClearTimes() { times_.clear(); }
  double QuantileMicroseconds(double quantile) {
    if (times_.empty()) return 0;
    const auto rank =
        static_cast<int64_t>(quantile * static_cast<double>(times_.size() - 1));
    std::nth_element(times_.begin(), times_.begin() + rank, times_.end());
    return std::chrono::duration<double, std::micro>(times_[rank]).count();
  }

 private:
  Deployment deployment_;
  int64_t teams_;
  Random random_;
  Cell cell_;
  MonotonicTime now_{std::chrono::hours(1)};
  int64_t jobs_ = 0;
  int64_t waiting_ = 0;
  std::vector<TaskId> running_;
  std::vector<BootClock::duration> times_;
};

void Report(benchmark::State& state, Load& load, int64_t starts) {
  state.counters["starts_per_s"] = benchmark::Counter(
      static_cast<double>(starts), benchmark::Counter::kIsRate);
  state.counters["p50_us"] = load.QuantileMicroseconds(0.5);
  state.counters["p99_us"] = load.QuantileMicroseconds(0.99);
  state.counters["max_us"] = load.QuantileMicroseconds(1);
  state.counters["running"] = static_cast<double>(load.running());
}

void Churn(benchmark::State& state, const Deployment& deployment,
           int64_t waiting, int64_t teams, int ends) {
  Load load(deployment, teams);
  load.Fill();
  load.QueueTasks(waiting);
  for (int i = 0; i < 200; ++i) {
    load.EndOne();
    load.Decide();
    load.QueueTasks(waiting);
  }
  load.ClearTimes();
  int64_t starts = 0;
  for (auto _ : state) {
    for (int i = 0; i < ends; ++i) load.EndOne();
    starts += load.Decide();
    state.PauseTiming();
    load.QueueTasks(waiting);
    state.ResumeTiming();
  }
  Report(state, load, starts);
}

void BM_ChurnToday(benchmark::State& state) {
  const Deployment deployments[] = {testing::Intake(), testing::Vision(),
                                    testing::RegistroRuta(),
                                    testing::TallerIa()};
  const Deployment& deployment = deployments[state.range(0)];
  state.SetLabel(deployment.name);
  Churn(state, deployment, 1'000, 6, 1);
}
BENCHMARK(BM_ChurnToday)->DenseRange(0, 3)->Iterations(20'000);

// Arguments: workers, waiting tasks, teams.
void BM_Churn(benchmark::State& state) {
  Churn(state, testing::LargeDeployment(static_cast<int32_t>(state.range(0))),
        state.range(1), state.range(2), 1);
}
BENCHMARK(BM_Churn)
    ->ArgNames({"workers", "waiting", "teams"})
    ->Args({500, 2'000, 190})
    ->Args({2'000, 2'000, 190})
    ->Args({7'500, 2'000, 190})
    ->Args({7'500, 10'000, 190})
    ->Args({7'500, 50'000, 190})
    ->Args({7'500, 2'000, 10})
    ->Args({7'500, 2'000, 50})
    ->Iterations(20'000);

// Arguments: workers, waiting tasks, teams.
void BM_Burst(benchmark::State& state) {
  Churn(state, testing::LargeDeployment(static_cast<int32_t>(state.range(0))),
        state.range(1), state.range(2), 64);
}
BENCHMARK(BM_Burst)
    ->ArgNames({"workers", "waiting", "teams"})
    ->Args({500, 2'000, 190})
    ->Args({2'000, 2'000, 190})
    ->Args({7'500, 2'000, 190})
    ->Iterations(1'000);

void BM_Fill(benchmark::State& state) {
  const Deployment deployment =
      testing::LargeDeployment(static_cast<int32_t>(state.range(0)));
  for (auto _ : state) {
    const double before = AllocatedBytes();
    Load load(deployment, 190);
    const double empty = AllocatedBytes();
    load.Fill();
    const double full = AllocatedBytes();
    state.counters["bytes_per_worker"] = (empty - before) / deployment.workers;
    state.counters["bytes_per_task"] =
        (full - empty) / static_cast<double>(load.running());
    Report(state, load, load.running());
  }
}
BENCHMARK(BM_Fill)->Arg(500)->Arg(2'000)->Arg(7'500)->Iterations(1)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace azurepass::placement
