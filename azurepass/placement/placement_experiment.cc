// Compares the options of Cell in virtual time: their effect on waiting times,
// packing, shares and the work done. All options run under the same load.
// Prints a table for each comparison and deployment; an argument (packing,
// waiting, share, quarantine or zone) selects one comparison.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "azurepass/placement/testing/virtual_run.h"

namespace azurepass::placement::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kTeams = 6;
constexpr double kMeanRunSeconds = 4;
constexpr int kPackingSeeds = 40;
// After so many consecutive random sizes that exceed the free total, the cell
// counts as full.
constexpr int kDrawsWithoutFit = 1'000;

struct Choice {
  std::string name;
  Options options;
};

std::vector<Deployment> Deployments() {
  return {Intake(), Vision(), RegistroRuta(), TallerIa()};
}

// Returns a size of one to eight 32nds of a worker in processors and memory. On
// workers with accelerators it mostly has one or two of these, and rarely none
// or four.
Resources RandomSize(const Resources& capacity, Random& random) {
  const auto parts = [&] { return 1 + random.Below(4) + random.Below(5); };
  Resources size(1, random.Below(8), 0, 0, 0);
  size[Dimension::kMillicores] =
      capacity[Dimension::kMillicores] / 32 * parts();
  size[Dimension::kMemoryMib] = capacity[Dimension::kMemoryMib] / 32 * parts();
  if (capacity[Dimension::kAccelerators] > 0) {
    const int64_t counts[] = {0, 1, 1, 1, 2, 2, 1, 0, 1, 4};
    size[Dimension::kAccelerators] = counts[random.Below(10)];
  }
  return size;
}

Arrival RandomArrival(const Deployment& deployment, Random& random) {
  Arrival arrival;
  arrival.spec.queue = QueueId("q");
  arrival.spec.task = RandomSize(deployment.capacity, random);
  arrival.spec.tasks = 1 + static_cast<int32_t>(random.Below(4));
  if (random.Below(20) == 0) {
    arrival.spec.policy = GangPolicy{};
    arrival.spec.tasks = 4 + static_cast<int32_t>(random.Below(9));
  }
  for (int32_t t = 0; t < arrival.spec.tasks; ++t) {
    const double run = 0.2 + random.Exponential(kMeanRunSeconds);
    arrival.run_times.emplace_back(static_cast<int64_t>(run * 1'000));
  }
  // The declared run time is off by a factor of up to five in either direction.
  const double factor = std::pow(5, 2 * random.Uniform() - 1);
  arrival.spec.declared_run_time =
      Duration(static_cast<int64_t>(kMeanRunSeconds * 1'000 * factor));
  return arrival;
}

// Returns the run time of all tasks of the arrival, in seconds, multiplied by a
// task's dominant share of the cell.
double CellSeconds(const Deployment& deployment, const Arrival& arrival) {
  const Resources capacity = deployment.capacity * deployment.workers;
  double run = 0;
  for (Duration time : arrival.run_times) {
    run += std::chrono::duration<double>(time).count();
  }
  return arrival.spec.task.DominantShare(capacity) * run;
}

// Returns a load in which team 0 submits 85% of the jobs. `load` is the demand
// divided by the capacity. Of the other teams' jobs that are not gangs, one in
// four is urgent.
LoadTrace DominantLoad(const Deployment& deployment, double load,
                       Duration length) {
  LoadTrace trace{deployment, {3, 1, 1, 1, 1, 1}, {}, length};
  Random random(17);
  double demand = 0;
  while (true) {
    Arrival arrival = RandomArrival(deployment, random);
    const bool dominant = random.Below(100) < 85;
    arrival.team = dominant ? 0 : 1 + static_cast<int32_t>(random.Below(5));
    const bool gang = std::holds_alternative<GangPolicy>(arrival.spec.policy);
    if (!dominant && !gang && random.Below(4) == 0) {
      arrival.spec.priority = Priority::kUrgent;
    }
    demand += CellSeconds(deployment, arrival);
    arrival.at = Duration(static_cast<int64_t>(demand / load * 1'000));
    if (arrival.at >= length) return trace;
    trace.arrivals.push_back(std::move(arrival));
  }
}

// Returns a load in which every team submits, at the start, at least 0.8 of
// what the whole cell can run in `length`.
LoadTrace BackloggedLoad(const Deployment& deployment, Duration length) {
  LoadTrace trace{deployment, {5, 3, 2, 1, 1, 1}, {}, length};
  Random random(23);
  std::vector<double> demand(kTeams);
  const double wanted = std::chrono::duration<double>(length).count() * 0.8;
  for (int32_t team = 0; team < kTeams; ++team) {
    while (demand[team] < wanted) {
      Arrival arrival = RandomArrival(deployment, random);
      arrival.team = team;
      demand[team] += CellSeconds(deployment, arrival);
      trace.arrivals.push_back(std::move(arrival));
    }
  }
  return trace;
}

double QuantileSeconds(std::vector<Duration> waits, double quantile) {
  if (waits.empty()) return 0;
  const auto rank =
      static_cast<int64_t>(quantile * static_cast<double>(waits.size() - 1));
  std::nth_element(waits.begin(), waits.begin() + rank, waits.end());
  return std::chrono::duration<double>(waits[rank]).count();
}

// Returns the waits of all teams but the dominant one.
std::vector<Duration> SmallTeamWaits(const RunResult& result) {
  std::vector<Duration> waits;
  for (size_t t = 1; t < result.team_waits.size(); ++t) {
    waits.insert(waits.end(), result.team_waits[t].begin(),
                 result.team_waits[t].end());
  }
  return waits;
}

void PrintWaits(const std::string& name, const RunResult& result) {
  const std::vector<Duration> small = SmallTeamWaits(result);
  std::printf(
      "  %-34s urgent p50 %6.2f p99 %6.2f | small p50 %6.2f p99 %6.2f | "
      "dominant p50 %6.2f p99 %6.2f | gangs p99 %6.2f max %6.2f s | done %6ld "
      "work %8.0f s\n",
      name.c_str(), QuantileSeconds(result.urgent_waits, 0.5),
      QuantileSeconds(result.urgent_waits, 0.99), QuantileSeconds(small, 0.5),
      QuantileSeconds(small, 0.99), QuantileSeconds(result.team_waits[0], 0.5),
      QuantileSeconds(result.team_waits[0], 0.99),
      QuantileSeconds(result.gang_waits, 0.99),
      QuantileSeconds(result.gang_waits, 1), result.succeeded,
      result.work_seconds);
}

// ---------------------------------------------------------------------------
// Comparisons

void CompareOrders(const Deployment& deployment) {
  const LoadTrace load = DominantLoad(deployment, 1.5, minutes(3));
  std::vector<Choice> choices = {{"fair order, best fit", {}},
                                 {"fair order, first fit", {}},
                                 {"submission order, best fit", {}},
                                 {"fair order, no reservations", {}},
                                 {"fair order, reserve after 10 s", {}}};
  choices[1].options.packing = FirstFit{};
  choices[2].options.order = SubmissionOrder{};
  choices[3].options.reservation_after = std::chrono::hours(1);
  choices[4].options.reservation_after = seconds(10);
  std::printf("waiting, %s, demand 1.5 of capacity\n", deployment.name.c_str());
  for (const Choice& choice : choices) {
    const RunResult result = VirtualRun(load, choice.options, {}).Run();
    PrintWaits(choice.name, result);
  }
}

void CompareShares(const Deployment& deployment) {
  const LoadTrace load = BackloggedLoad(deployment, minutes(2));
  std::vector<Choice> choices = {{"fair order", {}}, {"submission order", {}}};
  choices[1].options.order = SubmissionOrder{};
  std::printf("distance from share, %s, after 10 s of backlog, points\n",
              deployment.name.c_str());
  for (const Choice& choice : choices) {
    RunResult result = VirtualRun(load, choice.options, {}).Run();
    std::vector<double>& deviations = result.share_deviations;
    deviations.erase(
        deviations.begin(),
        deviations.begin() + std::min<int64_t>(9, std::ssize(deviations)));
    double sum = 0;
    for (double deviation : deviations) sum += deviation;
    std::sort(deviations.begin(), deviations.end());
    const auto samples = static_cast<double>(deviations.size());
    std::printf("  %-34s mean %5.2f median %5.2f max %5.2f (%zu samples)\n",
                choice.name.c_str(), samples > 0 ? sum / samples : 0,
                deviations.empty() ? 0 : deviations[deviations.size() / 2],
                deviations.empty() ? 0 : deviations.back(), deviations.size());
  }
}

// Adds tasks that never end, until one is not started although it would fit the
// sum of the free resources, or until kDrawsWithoutFit sizes in a row exceed
// that sum. Returns the used part of the dominant dimension.
double PackUntilRefused(const Deployment& deployment, const Options& options,
                        uint64_t seed) {
  Cell cell(options);
  for (const WorkerSpec& worker : WorkersOf(deployment)) {
    cell.AddWorker(worker, WorkerAdmission::kOpen);
  }
  const TeamId team("team");
  cell.SetTeam(team, {1, deployment.zones, kUnlimited});
  Random random(seed * 1'000'003);
  const MonotonicTime now(std::chrono::hours(1));
  const Resources capacity = deployment.capacity * deployment.workers;
  int too_large = 0;  // Consecutive sizes that exceeded the free total.
  for (int i = 0;; ++i) {
    JobSpec spec;
    spec.task = RandomSize(deployment.capacity, random);
    const Resources used = cell.CommittedOf(team);
    if (!spec.task.FitsIn(capacity - used)) {
      if (++too_large == kDrawsWithoutFit) return used.DominantShare(capacity);
      continue;
    }
    too_large = 0;
    cell.AddJob(JobId(absl::StrCat("p.", i)), team, spec, now);
    if (cell.Decide(now, {}).empty()) return used.DominantShare(capacity);
  }
}

void ComparePacking(const Deployment& deployment) {
  std::vector<Choice> choices = {{"best fit", {}}, {"first fit", {}}};
  choices[1].options.packing = FirstFit{};
  std::printf("packing at the first refusal, %s, %d seeds\n",
              deployment.name.c_str(), kPackingSeeds);
  for (const Choice& choice : choices) {
    std::vector<double> packed;
    double sum = 0;
    for (int seed = 0; seed < kPackingSeeds; ++seed) {
      packed.push_back(100 *
                       PackUntilRefused(deployment, choice.options, seed));
      sum += packed.back();
    }
    std::sort(packed.begin(), packed.end());
    std::printf("  %-34s mean %6.2f%% median %6.2f%% least %6.2f%%\n",
                choice.name.c_str(), sum / kPackingSeeds,
                packed[kPackingSeeds / 2], packed.front());
  }
}

void CompareQuarantines(const Deployment& deployment) {
  LoadTrace load = DominantLoad(deployment, 0.9, minutes(10));
  for (size_t i = 0; i < load.arrivals.size(); i += 100) {
    load.arrivals[i].poison = true;
  }
  std::vector<Choice> choices = {
      {"windowed with probes", {}}, {"hair trigger", {}}, {"none", {}}};
  choices[1].options.quarantine = FirstFailureQuarantine{};
  choices[2].options.quarantine = NoQuarantine{};
  for (int32_t bad : {0, 2}) {
    Faults faults;
    faults.bad_workers = bad;
    faults.failure_rate = 0.01;
    std::printf(
        "quarantine, %s, demand 0.9, %d bad workers, 1%% failures, poison\n",
        deployment.name.c_str(), bad);
    for (const Choice& choice : choices) {
      const RunResult result = VirtualRun(load, choice.options, faults).Run();
      PrintWaits(choice.name, result);
      std::printf("  %-34s failed attempts %ld, quarantined at the end %ld\n",
                  "", result.failed_attempts, result.quarantined_at_end);
    }
  }
}

void CompareZoneReturns(const Deployment& deployment) {
  const LoadTrace load = DominantLoad(deployment, 0.9, minutes(6));
  std::vector<Choice> choices = {
      {"ramp of 10 s", {}}, {"ramp of 30 s", {}}, {"no ramp", {}}};
  choices[1].options.zone_ramp = seconds(30);
  choices[2].options.zone_ramp = Duration(0);
  Faults faults;
  faults.outage_zone = deployment.zones[0];
  faults.outage_begin = minutes(2);
  faults.outage_end = minutes(4);
  std::printf("zone out from minute 2 to 4 of 6, %s, demand 0.9\n",
              deployment.name.c_str());
  PrintWaits("(no outage)", VirtualRun(load, {}, {}).Run());
  for (const Choice& choice : choices) {
    const RunResult result = VirtualRun(load, choice.options, faults).Run();
    PrintWaits(choice.name, result);
    std::printf("  %-34s most starts in a second in the zone %ld\n", "",
                result.max_zone_starts_per_second);
  }
}

// Runs all comparisons, or only the one called `only`.
void RunComparisons(const std::string& only) {
  const std::pair<std::string, std::function<void(const Deployment&)>>
      comparisons[] = {{"packing", ComparePacking},
                       {"waiting", CompareOrders},
                       {"share", CompareShares},
                       {"quarantine", CompareQuarantines},
                       {"zone", CompareZoneReturns}};
  for (const auto& [name, compare] : comparisons) {
    if (!only.empty() && name != only) continue;
    for (const Deployment& deployment : Deployments()) compare(deployment);
    std::printf("\n");
  }
}

}  // namespace
}  // namespace azurepass::placement::testing

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  azurepass::placement::testing::RunComparisons(argc > 1 ? argv[1] : "");
  return 0;
}
