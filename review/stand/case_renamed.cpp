// A new configuration removes a route and adds one with the same prefix,
// service and hint under another name. Does an accepted job go on?
//   renamed REPOSITORY FOLDER
// With TROUBLE=0 the new version has the route of the one before.
#include <cstdlib>

#include "cell.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool renames = trouble == nullptr || std::string(trouble) != "0";
  Options options;
  options.root = argv[1];
  options.folder = argv[2];
  Cell& cell = *new Cell(options);
  Record& record = cell.record();
  Route route{"r-one", "/lohu930/", "intake"};
  route.hint = true;
  if (!cell.Begin({route})) cell.Finish(2);

  // Two steps of 6 s, the second one after the first.
  Json steps = Json::array();
  for (int s = 0; s < 2; ++s) {
    steps.push_back({{"count", 2}, {"cpu", 500}, {"memMb", 64}, {"estimateMs", 6000}});
    if (s > 0) steps.back()["after"] = {s - 1};
  }
  const Json job = {{"spec", "ms=6000 ticket"}, {"steps", steps}};
  std::vector<std::string> ids;
  for (int i = 0; i < 4; ++i) {
    ids.push_back(NewId());
    if (!cell.Submit(route.prefix + ids.back(), job)) cell.Finish(2);
  }
  SleepMs(2'000);
  if (renames) route.name = "r-two";
  cell.WriteConfiguration({route});
  SleepMs(5'000);
  // Work that comes after the change finds room at once: there is plenty.
  const std::string later = NewId();
  cell.Submit(route.prefix + later, {{"spec", "ms=1000 ticket"}, {"steps", {steps[0]}}});
  // finish_s (14) after the end of the traffic, and 12 s more.
  SleepMs(26'000);
  const std::string later_state = cell.StateOf(route.prefix + later);
  record.Line("the job handed in after the change is " + later_state);
  int waiting = 0;
  for (const std::string& id : ids) {
    const std::string state = cell.StateOf(route.prefix + id);
    const int first = cell.StartsOf(id + ".0.0."), second = cell.StartsOf(id + ".0.1.");
    if (first > 0 && state != "completed") ++waiting;
    record.Line("job " + id + " is " + state + ": " + std::to_string(first) +
                " starts of its first step, " + std::to_string(second) + " of its second" +
                (second == 0 ? "  LOST BROKEN" : ""));
  }
  cell.Finish(later_state != "completed" ? 2 : waiting > 0 ? 1 : 0);
}
