// The decision logic under recorded load in virtual time: what each choice of
// policy does to waiting time, packing, share and work done. Every choice runs
// on the same load. Prints one table a question; with a name (packing,
// waiting, share, quarantine, zone) that one alone.

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
constexpr int kDrawsWithoutFit = 1'000;  // Then nothing fits the free total.

struct Choice {
  std::string name;
  Options options;
};

std::vector<Deployment> Deployments() {
  return {Intake(), Vision(), RegistroRuta(), TallerIa()};
}

// A size between a 32nd and a quarter of a worker in processors and memory,
// in 32nds; on workers with accelerators also one, two or (seldom) four.
Resources AnySize(const Resources& capacity, Random& random) {
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

Arrival AnyArrival(const Deployment& deployment, Random& random) {
  Arrival arrival;
  arrival.spec.queue = QueueId("q");
  arrival.spec.task = AnySize(deployment.capacity, random);
  arrival.spec.tasks = 1 + static_cast<int32_t>(random.Below(4));
  if (random.Below(20) == 0) {
    arrival.spec.policy = GangPolicy{};
    arrival.spec.tasks = 4 + static_cast<int32_t>(random.Below(9));
  }
  for (int32_t t = 0; t < arrival.spec.tasks; ++t) {
    const double run = 0.2 + random.Exponential(kMeanRunSeconds);
    arrival.run_times.emplace_back(static_cast<int64_t>(run * 1'000));
  }
  // Declared run times are off by up to five times either way.
  const double off = std::pow(5, 2 * random.Unit() - 1);
  arrival.spec.declared_run_time =
      Duration(static_cast<int64_t>(kMeanRunSeconds * 1'000 * off));
  return arrival;
}

// Of the cell, what the arrival takes for a second, by its largest dimension.
double CellSeconds(const Deployment& deployment, const Arrival& arrival) {
  const Resources capacity = deployment.capacity * deployment.workers;
  double run = 0;
  for (Duration time : arrival.run_times) {
    run += std::chrono::duration<double>(time).count();
  }
  return arrival.spec.task.DominantShare(capacity) * run;
}

// Team 0 has most of the demand, and the others little; `load` is the demand
// against the capacity. One task in fifty of the small teams is urgent.
RecordedLoad DominantLoad(const Deployment& deployment, double load,
                          Duration length) {
  RecordedLoad recorded{deployment, {3, 1, 1, 1, 1, 1}, {}, length};
  Random random(17);
  double asked = 0;
  while (true) {
    Arrival arrival = AnyArrival(deployment, random);
    const bool dominant = random.Below(100) < 85;
    arrival.team = dominant ? 0 : 1 + static_cast<int32_t>(random.Below(5));
    const bool gang = std::holds_alternative<GangPolicy>(arrival.spec.policy);
    if (!dominant && !gang && random.Below(4) == 0) {
      arrival.spec.priority = Priority::kUrgent;
    }
    asked += CellSeconds(deployment, arrival);
    arrival.at = Duration(static_cast<int64_t>(asked / load * 1'000));
    if (arrival.at >= length) return recorded;
    recorded.arrivals.push_back(std::move(arrival));
  }
}

// All teams ask for more than there is from the start.
RecordedLoad BackloggedLoad(const Deployment& deployment, Duration length) {
  RecordedLoad recorded{deployment, {5, 3, 2, 1, 1, 1}, {}, length};
  Random random(23);
  std::vector<double> asked(kTeams);
  const double wanted = std::chrono::duration<double>(length).count() * 0.8;
  for (int32_t team = 0; team < kTeams; ++team) {
    while (asked[team] < wanted) {
      Arrival arrival = AnyArrival(deployment, random);
      arrival.team = team;
      asked[team] += CellSeconds(deployment, arrival);
      recorded.arrivals.push_back(std::move(arrival));
    }
  }
  return recorded;
}

double SecondsAt(std::vector<Duration> waits, double quantile) {
  if (waits.empty()) return 0;
  const auto rank =
      static_cast<int64_t>(quantile * static_cast<double>(waits.size() - 1));
  std::nth_element(waits.begin(), waits.begin() + rank, waits.end());
  return std::chrono::duration<double>(waits[rank]).count();
}

// The waits of all teams but the dominant one.
std::vector<Duration> SmallTeams(const RunResult& result) {
  std::vector<Duration> waits;
  for (size_t t = 1; t < result.team_waits.size(); ++t) {
    waits.insert(waits.end(), result.team_waits[t].begin(),
                 result.team_waits[t].end());
  }
  return waits;
}

void PrintWaits(const std::string& name, const RunResult& result) {
  const std::vector<Duration> small = SmallTeams(result);
  std::printf(
      "  %-34s urgent p50 %6.2f p99 %6.2f | small p50 %6.2f p99 %6.2f | "
      "dominant p50 %6.2f p99 %6.2f | gangs p99 %6.2f max %6.2f s | done %6ld "
      "work %8.0f s\n",
      name.c_str(), SecondsAt(result.urgent_waits, 0.5),
      SecondsAt(result.urgent_waits, 0.99), SecondsAt(small, 0.5),
      SecondsAt(small, 0.99), SecondsAt(result.team_waits[0], 0.5),
      SecondsAt(result.team_waits[0], 0.99), SecondsAt(result.gang_waits, 0.99),
      SecondsAt(result.gang_waits, 1), result.succeeded, result.work_seconds);
}

// ---------------------------------------------------------------------------
// Questions

void CompareOrders(const Deployment& deployment) {
  const RecordedLoad load = DominantLoad(deployment, 1.5, minutes(3));
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
  const RecordedLoad load = BackloggedLoad(deployment, minutes(2));
  std::vector<Choice> choices = {{"fair order", {}}, {"submission order", {}}};
  choices[1].options.order = SubmissionOrder{};
  std::printf("distance from share, %s, after 10 s of backlog, points\n",
              deployment.name.c_str());
  for (const Choice& choice : choices) {
    RunResult result = VirtualRun(load, choice.options, {}).Run();
    std::vector<double>& distances = result.share_distances;
    distances.erase(
        distances.begin(),
        distances.begin() + std::min<int64_t>(9, std::ssize(distances)));
    double sum = 0;
    for (double distance : distances) sum += distance;
    std::sort(distances.begin(), distances.end());
    const auto samples = static_cast<double>(distances.size());
    std::printf("  %-34s mean %5.2f median %5.2f max %5.2f (%zu samples)\n",
                choice.name.c_str(), samples > 0 ? sum / samples : 0,
                distances.empty() ? 0 : distances[distances.size() / 2],
                distances.empty() ? 0 : distances.back(), distances.size());
  }
}

// Tasks arrive and never end, until the first is refused that would fit the
// free total. Returns the used part of the dominant dimension.
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
  int too_large = 0;  // Draws in a row.
  for (int i = 0;; ++i) {
    JobSpec spec;
    spec.task = AnySize(deployment.capacity, random);
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
  RecordedLoad load = DominantLoad(deployment, 0.9, minutes(10));
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
  const RecordedLoad load = DominantLoad(deployment, 0.9, minutes(6));
  std::vector<Choice> choices = {
      {"ramp of 10 s", {}}, {"ramp of 30 s", {}}, {"no ramp", {}}};
  choices[1].options.zone_ramp = seconds(30);
  choices[2].options.zone_ramp = Duration(0);
  Faults faults;
  faults.zone_out = deployment.zones[0];
  faults.out_from = minutes(2);
  faults.out_to = minutes(4);
  std::printf("zone out from minute 2 to 4 of 6, %s, demand 0.9\n",
              deployment.name.c_str());
  PrintWaits("(no outage)", VirtualRun(load, {}, {}).Run());
  for (const Choice& choice : choices) {
    const RunResult result = VirtualRun(load, choice.options, faults).Run();
    PrintWaits(choice.name, result);
    std::printf("  %-34s most starts in a second in the zone %ld\n", "",
                result.most_starts_in_zone);
  }
}

// With a name, asks that question alone.
void Ask(const std::string& only) {
  const std::pair<std::string, std::function<void(const Deployment&)>>
      questions[] = {{"packing", ComparePacking},
                     {"waiting", CompareOrders},
                     {"share", CompareShares},
                     {"quarantine", CompareQuarantines},
                     {"zone", CompareZoneReturns}};
  for (const auto& [name, question] : questions) {
    if (!only.empty() && name != only) continue;
    for (const Deployment& deployment : Deployments()) question(deployment);
    std::printf("\n");
  }
}

}  // namespace
}  // namespace azurepass::placement::testing

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  azurepass::placement::testing::Ask(argc > 1 ? argv[1] : "");
  return 0;
}
