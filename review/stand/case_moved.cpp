// A new configuration sends the jobs of a prefix to another service: one route
// keeps its name and gets another service; another one is removed, and a route
// with its prefix and another service is added. Does an accepted job stay the
// one job that it is?
//   moved REPOSITORY FOLDER
// With TROUBLE=0 the new version has the routes of the one before.
#include <algorithm>
#include <cstdlib>
#include <map>

#include "cell.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool moves = trouble == nullptr || std::string(trouble) != "0";
  Options options;
  options.root = argv[1];
  options.folder = argv[2];
  options.services = {"intake", "vision"};
  options.workers_per_service = 4;
  Cell& cell = *new Cell(options);
  Record& record = cell.record();
  const Route one{"r-one", "/lohu930/", "intake"};
  const Route two{"r-two", "/pufi791/", "intake"};
  const Route other{"r-other", "/cufi504/", "vision"};
  if (!cell.Begin({one, two, other})) cell.Finish(2);

  const Json job = {{"spec", "ms=30000"},
                    {"steps", {{{"count", 2}, {"cpu", 500}, {"memMb", 64}, {"estimateMs", 30000}}}}};
  std::vector<std::string> paths;
  for (int i = 0; i < 6; ++i) {
    paths.push_back((i % 2 == 0 ? one : two).prefix + NewId());
    if (!cell.Submit(paths.back(), job)) cell.Finish(2);
  }
  SleepMs(1'000);
  if (moves) {
    cell.WriteConfiguration(
        {{"r-one", "/lohu930/", "vision"}, {"r-three", "/pufi791/", "vision"}, other});
  } else {
    cell.WriteConfiguration({one, two, other});
  }
  SleepMs(3'000);  // Beyond configApplyMs, and beyond visible_ms since the acceptance.

  // Asked for; then the submission comes once more, some seconds after its 2xx.
  int gone = 0;
  for (const std::string& path : paths) gone += cell.StateOf(path) == "410" ? 1 : 0;
  for (const std::string& path : paths) cell.Ask(0, "POST", path, job);
  SleepMs(3'000);

  int twice = 0;
  {
    const std::lock_guard lock(cell.history().mutex);
    std::map<std::string, std::vector<const Start*>> runs;
    for (const Start& start : cell.history().starts) runs[start.task].push_back(&start);
    for (const auto& [task, starts] : runs) {
      for (size_t i = 1; i < starts.size(); ++i) {
        const Start& before = *starts[i - 1];
        const bool over = std::any_of(
            cell.history().ends.begin(), cell.history().ends.end(), [&](const End& end) {
              return end.task == task && end.worker == before.worker && end.run == before.run &&
                     end.at <= starts[i]->at;
            });
        if (over) continue;
        ++twice;
        record.Line("task " + task + " started on " + starts[i]->worker + " while it runs on " +
                    before.worker + "  TWICE BROKEN");
      }
    }
  }
  record.Line(std::to_string(gone) + " accepted jobs were answered with 410, " +
              std::to_string(twice) + " tasks run on two workers at once");
  cell.Finish(twice > 0 ? 1 : 0);
}
