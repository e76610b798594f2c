// A job is larger than the others. Is all of what was accepted run before the
// job is shown as completed?
//   large REPOSITORY FOLDER
// With TROUBLE=0 the jobs are smaller.
#include <cstdlib>
#include <set>

#include "cell.hpp"

using namespace review;

namespace {

constexpr int64_t kIntervalMs = 40;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool large = trouble == nullptr || std::string(trouble) != "0";
  const int tasks = large ? 10'100 : 1'000;
  const int runs = large ? 1'060 : 900;
  Options options;
  options.root = argv[1];
  options.folder = argv[2];
  Cell& cell = *new Cell(options);
  Record& record = cell.record();
  if (!cell.Begin({{"r-one", "/lohu930/", "intake"}})) cell.Finish(2);

  const std::string wide = NewId(), repeated = NewId();
  const int64_t first = WallMs() + 2'000;
  const Json wide_job = {{"spec", "ms=100"},
                         {"steps", {{{"count", tasks}, {"cpu", 50}, {"memMb", 8}, {"estimateMs", 100}}}}};
  const Json repeated_job = {{"spec", "ms=10"},
                             {"repetitions", runs},
                             {"initialDelayMs", first},
                             {"intervalMs", kIntervalMs},
                             {"steps", {{{"count", 1}, {"cpu", 50}, {"memMb", 8}, {"estimateMs", 10}}}}};
  if (!cell.Submit("/lohu930/" + wide, wide_job)) cell.Finish(2);
  if (!cell.Submit("/lohu930/" + repeated, repeated_job)) cell.Finish(2);

  const int64_t until = SteadyMs() + 95'000;
  const auto await_end = [&](const std::string& id) {
    std::string state;
    while (SteadyMs() < until) {
      state = cell.StateOf("/lohu930/" + id);
      if (state == "completed" || state == "failed") break;
      SleepMs(1'000);
    }
    return state;
  };
  const std::string wide_state = await_end(wide);
  const std::string repeated_state = await_end(repeated);
  std::set<std::string> done;
  {
    const std::lock_guard lock(cell.history().mutex);
    for (const End& end : cell.history().ends) {
      if (end.how == "done") done.insert(end.task);
    }
  }
  const auto count = [&](const std::string& id) {
    int found = 0;
    for (const std::string& task : done) found += task.starts_with(id + ".") ? 1 : 0;
    return found;
  };
  const int wide_done = count(wide), repeated_done = count(repeated);
  record.Line("the job of " + std::to_string(tasks) + " tasks is shown as " + wide_state + ", " +
              std::to_string(wide_done) + " of them have ended as done");
  record.Line("the job of " + std::to_string(runs) + " repetitions is shown as " + repeated_state +
              ", " + std::to_string(repeated_done) + " of them have ended as done");
  const bool broken = (wide_state == "completed" && wide_done < tasks) ||
                      (repeated_state == "completed" && repeated_done < runs);
  if (broken) record.Line("MIXED BROKEN");
  const bool ran = wide_state == "completed" && repeated_state == "completed";
  cell.Finish(broken ? 1 : ran ? 0 : 2);
}
