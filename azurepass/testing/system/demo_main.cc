// The demo: a cell on loopback serves services, batch jobs and a gang of two
// teams while a scheduler that owns a partition is killed. Prints what became
// of each job and checks it against the workers' own histories.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "azurepass/testing/system/checks.h"
#include "azurepass/testing/system/cluster.h"

namespace azurepass::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kPatience{30'000};
constexpr int kWaitTries = 60;

struct DemoJob {
  std::string name;
  std::string key;
  Json request;
  std::string id;
  Json last;  // As last seen.

  bool is_service() const { return request["policy"] == "service"; }
  int tasks() const { return request["tasks"].get<int>(); }
};

Json Request(const std::string& id, const std::string& policy, int tasks,
             int64_t slots, int64_t run_time_ms) {
  return {{"request_id", id},
          {"queue", "work"},
          {"policy", policy},
          {"tasks", tasks},
          {"task", {{"slots", slots}, {"millicores", 4'000 * slots}}},
          {"run_time_ms", run_time_ms}};
}

std::vector<DemoJob> MakeJobs(const std::string& intake,
                              const std::string& vision) {
  return {
      {"listings (service)",
       intake,
       Request("svc", "service", 3, 1, 0),
       "",
       {}},
      {"lots (batch)", intake, Request("lots", "batch", 40, 1, 800), "", {}},
      {"photos (batch)",
       vision,
       Request("photos", "batch", 30, 2, 600),
       "",
       {}},
      {"training (gang)", vision, Request("gang", "gang", 6, 2, 1'500), "", {}},
  };
}

bool Fail(const std::string& what) {
  std::printf("WRONG: %s\n", what.c_str());
  return false;
}

bool Submit(Cluster& cluster, DemoJob& job, int frontend) {
  const HttpAnswer answer =
      cluster.Call(frontend, "POST", "/v1/jobs", job.key, job.request);
  if (answer.status / 100 != 2) {
    return Fail(job.name + " refused: " + answer.body.dump());
  }
  job.id = answer.body.value("id", "");
  std::printf("submitted %-20s as %s\n", job.name.c_str(), job.id.c_str());
  return true;
}

int CountTasks(const Json& job, const std::string& state) {
  if (!job.is_object()) return 0;
  int count = 0;
  for (const Json& task : job.value("tasks", Json::array())) {
    if (task.value("state", "") == state) ++count;
  }
  return count;
}

// A service is there when all its tasks run, any other job when it is final.
bool Reached(const DemoJob& job) {
  if (job.is_service()) return CountTasks(job.last, "running") == job.tasks();
  return job.last.is_object() && job.last.value("final", false);
}

bool Await(Cluster& cluster, DemoJob& job) {
  int64_t known = 0;
  for (int i = 0; i < kWaitTries && !Reached(job); ++i) {
    const HttpAnswer answer = cluster.Call(
        i % 2, "GET",
        "/v1/jobs/" + job.id + "?wait=1&known=" + std::to_string(known),
        job.key);
    if (answer.status != SOUP_STATUS_OK) continue;
    job.last = answer.body;
    known = answer.body.value("version", int64_t{0});
  }
  return Reached(job) ||
         Fail(job.name + " did not get there: " + job.last.dump());
}

// The process whose log has the latest claim of the partition.
int OwnerIndex(const Cluster& cluster, int schedulers,
               const PartitionId& partition) {
  const std::string claim = "claim partition=" + partition.value() + " epoch=";
  int owner = -1;
  int64_t latest = 0;
  for (int i = 0; i < schedulers; ++i) {
    std::ifstream log(cluster.folder() + "/scheduler-" + std::to_string(i) +
                      ".log");
    std::string line;
    while (std::getline(log, line)) {
      const size_t found = line.find(claim);
      if (found == std::string::npos) continue;
      const int64_t epoch = std::atoll(line.c_str() + found + claim.size());
      if (epoch <= latest) continue;
      latest = epoch;
      owner = i;
    }
  }
  return owner;
}

void Print(Cluster& cluster, const DemoJob& job) {
  std::printf("\n%s  %s\n", job.name.c_str(), job.id.c_str());
  for (const Json& task : job.last.value("tasks", Json::array())) {
    std::printf("  %-10s %-8s attempts %d, waited %lld ms\n",
                task.value("state", "").c_str(), task.value("vm", "").c_str(),
                task.value("attempts", 0),
                static_cast<long long>(task.value("waited_ms", int64_t{0})));
  }
  const HttpAnswer explained =
      cluster.Call(0, "GET", "/v1/jobs/" + job.id + "/explain", job.key);
  std::printf("  explain: %s\n", explained.body.dump().c_str());
}

// The largest part of all slots that was in use at one moment.
double PeakPacking(const std::vector<AttemptRun>& history,
                   const std::vector<DemoJob>& jobs, int64_t capacity) {
  double peak = 0;
  for (const AttemptRun& at : history) {
    int64_t used = 0;
    for (const AttemptRun& run : history) {
      if (run.started > at.started || run.ended <= at.started) continue;
      for (const DemoJob& job : jobs) {
        if (job.id == run.attempt.task.job.value()) {
          used += job.request["task"]["slots"].get<int64_t>();
        }
      }
    }
    peak = std::max(peak,
                    static_cast<double>(used) / static_cast<double>(capacity));
  }
  return peak;
}

void PrintWaits(const std::vector<DemoJob>& jobs) {
  std::vector<int64_t> waits;
  for (const DemoJob& job : jobs) {
    for (const Json& task : job.last.value("tasks", Json::array())) {
      waits.push_back(task.value("waited_ms", int64_t{0}));
    }
  }
  std::sort(waits.begin(), waits.end());
  std::printf("waiting time: p50 %lld ms, p99 %lld ms, %zu tasks\n",
              static_cast<long long>(waits[waits.size() / 2]),
              static_cast<long long>(waits[waits.size() * 99 / 100]),
              waits.size());
}

bool Check(Cluster& cluster, const std::vector<DemoJob>& jobs) {
  bool good = true;
  const auto history = cluster.History();
  for (const std::string& finding : CheckOnePlace(history))
    good = Fail(finding);
  for (const DemoJob& job : jobs) {
    if (job.is_service()) continue;
    for (const std::string& finding :
         CheckRanOnce(history, JobId(job.id), job.tasks())) {
      good = Fail(finding);
    }
  }
  return good;
}

bool RunDemo(const std::string& binaries) {
  ClusterOptions options;
  options.binaries = binaries;
  options.frontends = 3;
  options.schedulers = 3;
  options.partitions = 2;
  options.workers_per_partition = 4;
  Cluster cluster(options);
  if (!cluster.Start(kPatience)) {
    return Fail("the cell did not start; logs in " + cluster.folder());
  }
  const std::string intake = cluster.AddTeam("rilapak-intake", nullptr);
  const std::string vision = cluster.AddTeam("rilapak-vision", {{"slots", 32}});
  if (intake.empty() || vision.empty()) return Fail("a contract was refused");

  std::vector<DemoJob> jobs = MakeJobs(intake, vision);
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (!Submit(cluster, jobs[i], static_cast<int>(i % 3))) return false;
  }
  const PartitionId partition =
      PartitionOf(JobId(jobs.back().id)).value_or(PartitionId());
  const int owner = OwnerIndex(cluster, options.schedulers, partition);
  if (owner < 0) return Fail("no scheduler claimed " + partition.value());
  std::printf("killing scheduler-%d, which owns %s\n", owner,
              partition.value().c_str());
  cluster.scheduler(owner).Signal(SIGKILL);

  bool good = true;
  for (DemoJob& job : jobs) good = Await(cluster, job) && good;
  for (const DemoJob& job : jobs) Print(cluster, job);
  good = Check(cluster, jobs) && good;

  std::printf("\n");
  PrintWaits(jobs);
  const int64_t slots = options.worker_capacity[Dimension::kSlots] *
                        options.partitions * options.workers_per_partition;
  std::printf("packing: at most %.0f %% of %lld slots in use at once\n",
              100 * PeakPacking(cluster.History(), jobs, slots),
              static_cast<long long>(slots));
  std::printf("store calls: %s\n", cluster.StoreStats().dump().c_str());
  std::printf(good ? "demo: all tasks ran exactly once\n"
                   : "demo: something is off, see above\n");
  return good;
}

}  // namespace
}  // namespace azurepass::testing

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: azurepass-demo FOLDER_OF_BINARIES\n");
    return 2;
  }
  return azurepass::testing::RunDemo(argv[1]) ? 0 : 1;
}
