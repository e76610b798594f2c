// Does work start before its turn after one process was killed?
//   turns REPOSITORY FOLDER
// With TROUBLE=0 nobody is killed.
#include <cstdlib>
#include <map>

#include "cell.hpp"

using namespace review;

namespace {

constexpr int64_t kEarlyMs = 250;  // The bound early_ms.
constexpr int kRuns = 12;
constexpr int64_t kIntervalMs = 3'000;
constexpr int kSteps = 12;

Json Step() { return {{"count", 1}, {"cpu", 500}, {"memMb", 64}, {"estimateMs", 1000}}; }

// Part N of "ID.K.STEP.INDEX".
int PartOf(const std::string& task, int n) {
  size_t at = 0;
  for (int i = 0; i < n; ++i) at = task.find('.', at) + 1;
  return std::atoi(task.c_str() + at);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool kills = trouble == nullptr || std::string(trouble) != "0";
  Options options;
  options.root = argv[1];
  options.folder = argv[2];
  Cell& cell = *new Cell(options);
  Record& record = cell.record();
  if (!cell.Begin({{"r-one", "/lohu930/", "intake"}})) cell.Finish(2);

  // A repeated job, due from 35 s on, every 3 s, and one of twelve steps, each
  // after the one before. The first step takes 25 s.
  const std::string repeated = NewId(), chain = NewId();
  const int64_t first = WallMs() + 35'000;
  Json job = {{"spec", "ms=200"},
              {"repetitions", kRuns},
              {"initialDelayMs", first},
              {"intervalMs", kIntervalMs},
              {"steps", {Step()}}};
  if (!cell.Submit("/lohu930/" + repeated, job)) cell.Finish(2);
  Json steps = Json::array();
  for (int s = 0; s < kSteps; ++s) {
    steps.push_back(Step());
    if (s > 0) steps.back()["after"] = {s - 1};
  }
  job = {{"spec", "ms=1000 s0=25000"}, {"steps", steps}};
  if (!cell.Submit("/lohu930/" + chain, job)) cell.Finish(2);

  // Everyday work: one client, small jobs, one after the other.
  const int64_t kill_at = WallMs() + 20'000;
  int jobs = 0;
  while (WallMs() < kill_at) {
    const Json small = {{"spec", "ms=20"}, {"steps", {{{"count", 1}, {"cpu", 500}, {"memMb", 64}, {"estimateMs", 20}}}}};
    if (cell.Submit("/lohu930/" + NewId(), small)) ++jobs;
    SleepMs(30);
  }
  record.Line(std::to_string(jobs) + " other jobs were accepted");
  if (kills) {
    // The process that last wrote to the store under a condition; it is started
    // again after a second.
    const int node = cell.store().last_conditional_writer();
    cell.Kill(node);
    SleepMs(1'000);
    cell.Spawn(node);
  }
  SleepMs(first + (kRuns - 1) * kIntervalMs + 2'500 - WallMs());

  int early = 0;
  std::map<int, int64_t> done;  // By step of the chain: when it ended.
  size_t started = 0;
  {
    const std::lock_guard lock(cell.history().mutex);
    for (const End& end : cell.history().ends) {
      if (end.how == "done" && end.task.starts_with(chain + ".")) {
        done.try_emplace(PartOf(end.task, 2), end.at);
      }
    }
    for (const Start& start : cell.history().starts) {
      std::string told;
      bool broken = false;
      if (start.task.starts_with(repeated + ".")) {
        const int run = PartOf(start.task, 1);
        const int64_t after = start.wall - (first + run * kIntervalMs);
        broken = after < -kEarlyMs;
        told = "occurrence " + std::to_string(run) + " started " + std::to_string(after) +
               " ms after its time";
      } else if (start.task.starts_with(chain + ".")) {
        const int step = PartOf(start.task, 2);
        const auto before = done.find(step - 1);
        broken = step > 0 && (before == done.end() || before->second > start.at);
        told = "step " + std::to_string(step) + " started at " + std::to_string(start.at) +
               " ms, the step before it ended " +
               (step == 0               ? "-"
                : before == done.end() ? "never"
                                       : "at " + std::to_string(before->second) + " ms");
      } else {
        continue;
      }
      ++started;
      early += broken ? 1 : 0;
      record.Line("task " + start.task + ": " + told + (broken ? "  ORDER BROKEN" : ""));
    }
  }
  record.Line(std::to_string(started) + " starts of the two jobs, " + std::to_string(early) +
              " before their turn");
  cell.Finish(started == 0 ? 2 : early > 0 ? 1 : 0);
}
