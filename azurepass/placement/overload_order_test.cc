// Tests the order of jobs that can no longer be on time, on a worker that has
// room for one task at a time and too much work, and compares it with the best
// order, found by trying all.

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

using std::chrono::seconds;

const TeamId kTeam("a");
const MonotonicTime kStart{seconds(1'000)};

// A job that is late already and useful if it starts within `useful_for`.
struct LateJob {
  seconds runs{0};
  seconds useful_for{0};
};

// Returns how many of the jobs are started while they are useful.
int ServedBy(const LateOrder& order, const std::vector<LateJob>& jobs) {
  Options options;
  options.late_order = order;
  Cell cell(options);
  cell.AddWorker({.vm = VmId("w"),
                  .zone = ZoneId("z"),
                  .rack = RackId("r"),
                  .service = ServiceId("s"),
                  .address = "",
                  .capacity = Resources(1, 0, 1'000, 1'024, 0)},
                 WorkerAdmission::kOpen);
  cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  MonotonicTime now = kStart;
  for (size_t i = 0; i < jobs.size(); ++i) {
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.tasks = 1;
    spec.task = Resources(1, 0, 1'000, 1'024, 0);
    spec.declared_run_time = jobs[i].runs;
    cell.AddJob(JobId(std::to_string(i)), kTeam, spec, now,
                StartBy{now - seconds(1), now + jobs[i].useful_for});
  }
  int served = 0;
  for (size_t started = 0; started < jobs.size(); ++started) {
    const std::vector<Decision> decisions = cell.Decide(now, {});
    REQUIRE(decisions.size() == 1);
    const auto& start = std::get<Start>(decisions[0]);
    const LateJob& job = jobs[std::stoul(start.task.job.value())];
    served += now < kStart + job.useful_for ? 1 : 0;
    now += job.runs;
    cell.Release(start.task, AttemptOutcome::kSucceeded, false, now);
  }
  return served;
}

// The same for the best order.
int MostServed(const std::vector<LateJob>& jobs) {
  std::vector<size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), 0);
  int most = 0;
  do {
    seconds now{0};
    int served = 0;
    for (const size_t i : order) {
      if (now >= jobs[i].useful_for) continue;
      ++served;
      now += jobs[i].runs;
    }
    most = std::max(most, served);
  } while (std::next_permutation(order.begin(), order.end()));
  return most;
}

std::vector<LateJob> RandomJobs(std::mt19937& random) {
  std::vector<LateJob> jobs(2 + random() % 6);
  for (LateJob& job : jobs) {
    job = {seconds(1 + random() % 10), seconds(1 + random() % 20)};
  }
  return jobs;
}

// Guards against a large job whose time runs out, and that is started before
// several small ones, which are useless then.
TEST_CASE("under overload small late jobs start before a large one") {
  const std::vector<LateJob> jobs = {{seconds(9), seconds(2)},
                                     {seconds(1), seconds(4)},
                                     {seconds(1), seconds(4)},
                                     {seconds(1), seconds(4)}};
  CHECK(ServedBy(LeastWork{}, jobs) == 3);
  CHECK(ServedBy(EarliestDeadline{}, jobs) == 1);
  CHECK(MostServed(jobs) == 3);
}

// Of the jobs of the best order that are not started here before, at most one
// begins while a job runs here, since none of them is shorter. So the best
// order serves at most twice as many.
TEST_CASE("least work first serves at least half of what the best order does") {
  std::mt19937 random(20'261'206);
  int64_t least_work = 0;
  int64_t earliest_deadline = 0;
  int64_t best = 0;
  for (int trial = 0; trial < 1'000; ++trial) {
    CAPTURE(trial);
    const std::vector<LateJob> jobs = RandomJobs(random);
    const int served = ServedBy(LeastWork{}, jobs);
    const int most = MostServed(jobs);
    REQUIRE(served <= most);
    REQUIRE(2 * served >= most);
    least_work += served;
    earliest_deadline += ServedBy(EarliestDeadline{}, jobs);
    best += most;
  }
  MESSAGE("served: least work ", least_work, ", earliest deadline ",
          earliest_deadline, ", best ", best);
  CHECK(least_work > earliest_deadline);
}

}  // namespace
}  // namespace azurepass::placement
