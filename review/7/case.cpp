// Case 7. The node that holds a partition gets SIGTERM while the store is away;
// a worker that was cut off comes back before the node has handed over.

#include "stand.hpp"

using namespace stand;

namespace {

constexpr int64_t kCutMs = 4'300;     // Of one worker of six.
constexpr int64_t kOutageMs = 4'500;  // Of the store.
constexpr int64_t kDownMs = 500;      // From a node's end to its next start.

Json JobOf() {
  return {{"spec", "ms=1000"},
          {"steps",
           {{{"count", 24},
             {"cpu", 4'000},
             {"memMb", 256},
             {"estimateMs", 1'000}}}}};
}

}  // namespace

int main(int /*argc*/, char** argv) {
  Plan plan;
  plan.routes = {{"r-0", "/lohu930/", "intake", 1}};
  plan.tenants = {{"tenant-0", "k3hh2b9wu3fexd9dnn2ct0", 0}};
  for (int i = 0; i < 6; ++i) {
    WorkerOptions worker;
    worker.id = "i-7f3a" + std::to_string(i);
    worker.service = "intake";
    worker.zone = "zone-" + std::to_string(i % 3);
    worker.rack = "r0-" + std::to_string(i / 2);
    plan.workers.push_back(worker);
  }
  Cell cell(argv, plan);
  if (!cell.Begin()) cell.Exit(2, "the cell did not start");
  const Route& route = plan.routes[0];

  // A job of 24 tasks each 500 ms, until the end of the disruption.
  std::atomic<bool> sending{true};
  std::vector<std::thread> clients;
  std::thread traffic([&] {
    for (int i = 0; sending; ++i) {
      clients.emplace_back([&cell, &route, &plan, i] {
        cell.SubmitUntilAccepted(route, plan.tenants[0], Cell::Id(100 + i),
                                 JobOf(), 10'000);
      });
      SleepMs(500);
    }
  });
  SleepMs(3'000);
  const int owner = cell.OwnerOf("intake");
  if (owner < 0) cell.Exit(2, "nobody holds the partition");
  Node& node = cell.node(static_cast<size_t>(owner));

  // The worker is cut off while it has work that it has just begun.
  const int64_t patience = NowMs() + 3'000;
  while (cell.worker(0).RunsNow() > 0 && NowMs() < patience) SleepMs(2);
  while (cell.worker(0).RunsNow() == 0 && NowMs() < patience) SleepMs(2);
  SleepMs(50);
  const int64_t begin = NowMs();
  const auto at = [&](int64_t ms) {
    SleepMs(std::max<int64_t>(0, begin + ms - NowMs()));
  };
  if (Trouble()) {
    cell.worker(0).SetCut(true);
    cell.record().Line("worker " + cell.worker(0).id() + " is cut off");
    at(700);
    cell.store().SetDown(true);
    cell.record().Line("store: away, no answers");
  }
  at(1'000);
  // Planned work: it is restarted.
  node.Signal(SIGTERM);
  cell.record().Line("platform: SIGTERM to " + node.name());
  std::thread platform([&] {
    const int64_t grace = NowMs() + 6'000;
    while (!node.HasEnded() && NowMs() < grace) SleepMs(10);
    node.Kill();
    cell.record().Line("platform: " + node.name() + " has ended");
    SleepMs(kDownMs);
    node.Start();
    cell.record().Line("platform: " + node.name() + " starts again");
  });
  at(kCutMs);
  if (Trouble()) {
    cell.worker(0).SetCut(false);
    cell.record().Line("worker " + cell.worker(0).id() + " is back");
    at(700 + kOutageMs);
    cell.store().SetDown(false);
    cell.record().Line("store: back");
  }
  sending = false;
  traffic.join();
  for (std::thread& client : clients) client.join();
  platform.join();
  SleepMs(10'000);

  // TWICE: a start after a run has ended `done`, if that end is taken note of
  // then or later, unless the worker's lease lapsed between the two.
  struct Seen {
    int64_t done_at = -1;
    std::string worker;
    int64_t noted_at = -1;
    int64_t started_again = -1;
  };
  std::map<std::string, Seen> tasks;
  std::multimap<std::string, int64_t> lapses;
  for (const RunSeen& seen : cell.runs().All()) {
    if (seen.what == "lease lapsed") {
      lapses.emplace(seen.worker, seen.at);
      continue;
    }
    Seen& task = tasks[seen.task];
    if (seen.what == "start" && task.done_at >= 0) {
      if (task.started_again < 0) task.started_again = seen.at;
    } else if (seen.what == "done" && task.done_at < 0) {
      task.done_at = seen.at;
      task.worker = seen.worker;
    } else if (seen.what == "taken note of" && seen.worker == task.worker &&
               task.noted_at < 0) {
      task.noted_at = seen.at;
    }
  }
  int twice = 0;
  for (const auto& [name, task] : tasks) {
    if (task.started_again < 0 || task.noted_at < 0) continue;
    const auto [first, last] = lapses.equal_range(task.worker);
    const bool excused =
        std::any_of(first, last, [&, &seen = task](const auto& lapse) {
          return lapse.second >= seen.done_at && lapse.second <= seen.noted_at;
        });
    if (excused) continue;
    ++twice;
    cell.record().Line("task " + name + ": done on " + task.worker + " at " +
                       std::to_string(task.done_at) + " ms, taken note of at " +
                       std::to_string(task.noted_at) +
                       " ms, started again at " +
                       std::to_string(task.started_again) + " ms");
  }
  const std::string text = std::to_string(tasks.size()) + " tasks run, " +
                           std::to_string(twice) +
                           " started again after a run had ended done";
  cell.Exit(twice > 0 ? 1 : 0, (twice > 0 ? "broken: " : "held: ") + text);
}
