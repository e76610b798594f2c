// One process is killed; while nobody holds its workers, more tasks end on each
// of them than one answer lists (500). Is any of them started again?
//   ends REPOSITORY FOLDER
// With TROUBLE=0 nobody is killed.
#include <cstdlib>
#include <map>

#include "cell.hpp"

using namespace review;

namespace {

constexpr int kJobs = 200;
constexpr int kWidth = 48;  // Tasks of a job.
constexpr int kTasks = kJobs * kWidth;
constexpr int kClients = 8;
constexpr int64_t kRunMs = 9'000;

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
  SleepMs(2'000);

  // 200 jobs of 48 tasks, each of 9 s on a few hundredths of a core.
  const Json job = {{"spec", "ms=" + std::to_string(kRunMs)},
                    {"steps", {{{"count", kWidth}, {"cpu", 18}, {"memMb", 8}, {"estimateMs", kRunMs}}}}};
  std::vector<std::string> ids(kJobs);
  std::atomic<int> accepted = 0, next = 0;
  std::vector<std::thread> clients;
  const int before = cell.StartsOf("");
  const int64_t begun = SteadyMs();
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      for (int j = next++; j < kJobs; j = next++) {
        ids[static_cast<size_t>(j)] = NewId();
        if (cell.Submit("/lohu930/" + ids[static_cast<size_t>(j)], job)) ++accepted;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  if (accepted != kJobs) cell.Finish(2);
  while (cell.StartsOf("") - before < kTasks) {
    if (SteadyMs() > begun + kRunMs - 2'000) cell.Finish(2);  // Too slow a machine.
    SleepMs(20);
  }
  record.Line("all tasks run");
  SleepMs(begun + kRunMs - 300 - SteadyMs());
  if (kills) {
    const int node = cell.store().last_conditional_writer();
    cell.Kill(node);
    SleepMs(3'500);
    cell.Spawn(node);
  }
  SleepMs(30'000);
  int completed = 0;
  for (const std::string& id : ids) {
    completed += cell.StateOf("/lohu930/" + id) == "completed" ? 1 : 0;
  }

  int twice = 0;
  {
    const std::lock_guard lock(cell.history().mutex);
    std::map<std::string, const End*> done;  // That were taken note of.
    std::map<std::string, int> ends_of;
    for (const End& end : cell.history().ends) {
      if (end.how != "done" || !end.noted) continue;
      done.try_emplace(end.task, &end);
      ++ends_of[end.worker];
    }
    for (const auto& [worker, ends] : ends_of) {
      record.Line(worker + " has ended " + std::to_string(ends) + " runs as done");
    }
    for (const Start& start : cell.history().starts) {
      const auto before = done.find(start.task);
      if (before == done.end() || before->second->at > start.at) continue;
      if (before->second->worker == start.worker && before->second->run == start.run) continue;
      ++twice;
      if (twice <= 20) {
        record.Line("task " + start.task + " was done on " + before->second->worker + " at " +
                    std::to_string(before->second->at) + " ms, which was taken note of; started on " +
                    start.worker + " at " + std::to_string(start.at) + " ms  TWICE BROKEN");
      }
    }
  }
  record.Line(std::to_string(completed) + " of " + std::to_string(kJobs) +
              " jobs are completed; " + std::to_string(twice) +
              " starts of tasks that were done before");
  cell.Finish(twice > 0 ? 1 : completed == 0 ? 2 : 0);
}
