// Case 8. Two customers choose the same id for a job of theirs while the store
// is slow. The second one's POST is answered as if its job had been accepted.

#include "stand.hpp"

using namespace stand;

namespace {

constexpr int64_t kSlowMs = 268;  // 4 ms x 67.
constexpr int64_t kSlowForMs = 5'000;
constexpr int64_t kApartMs = 100;  // From the first POST to the second one.
constexpr int kPairs = 12;
constexpr int64_t kFinishMs = 14'000;

Json JobOf(const std::string& tenant) {
  return {
      {"spec", "ms=100 of " + tenant},
      {"steps",
       {{{"count", 2}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", 100}}}}};
}

}  // namespace

int main(int /*argc*/, char** argv) {
  Plan plan;
  plan.routes = {{"r-0", "/lohu930/", "intake", 1}};
  plan.tenants = {{"tenant-0", "k3hh2b9wu3fexd9dnn2ct0", 0},
                  {"tenant-1", "k3hh2b9wu3fexd9dnn2ct1", 0}};
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

  if (Trouble()) {
    cell.record().Line("store: each call takes 268 ms longer, for 5 s");
    cell.store().SetDelay(kSlowMs);
  }
  // Both customers number their jobs from 1.
  std::vector<std::thread> sending;
  std::mutex mutex;
  std::set<std::pair<size_t, std::string>> accepted;
  std::set<std::pair<size_t, std::string>> refused;
  for (int pair = 0; pair < kPairs; ++pair) {
    char id[17];
    snprintf(id, sizeof id, "%016x", pair + 1);
    for (size_t tenant = 0; tenant < 2; ++tenant) {
      sending.emplace_back([&, tenant, pair, id = std::string(id)] {
        SleepMs(pair * 350 + static_cast<int64_t>(tenant) * kApartMs);
        const Tenant& who = plan.tenants[tenant];
        for (int attempt = 0; attempt < 5; ++attempt) {
          const int node = (pair + static_cast<int>(tenant) + attempt) % 3;
          const Answer answer =
              cell.Submit(node, route, who, id, JobOf(who.name));
          const std::lock_guard<std::mutex> lock(mutex);
          if (answer.status / 100 == 2) {
            accepted.insert({tenant, id});
            return;
          }
          // No answer, 502 and 504 leave it open; all else is a rejection.
          if (answer.status != 0 && answer.status != 502 &&
              answer.status != 504) {
            refused.insert({tenant, id});
            return;
          }
        }
      });
    }
  }
  SleepMs(kSlowForMs);
  cell.store().SetDelay(0);
  for (std::thread& thread : sending) thread.join();

  // Each accepted job has to be known, and to be completed by its own tasks.
  SleepMs(2'000);
  std::set<std::pair<size_t, std::string>> open = accepted;
  const int64_t until = NowMs() + kFinishMs;
  std::map<std::pair<size_t, std::string>, int> last;
  while (!open.empty() && NowMs() < until) {
    const std::set<std::pair<size_t, std::string>> asked = open;
    for (const auto& job : asked) {
      const Answer answer = cell.Send(static_cast<int>(job.first), "GET", route,
                                      plan.tenants[job.first], job.second, "");
      last[job] = answer.status;
      const std::string state =
          answer.status != 200
              ? ""
              : Json::parse(answer.body, nullptr, false).value("state", "");
      if (state == "completed") open.erase(job);
    }
    SleepMs(200);
  }
  for (const auto& [tenant, id] : open) {
    cell.record().Line("client: " + plan.tenants[tenant].name + " job " + id +
                       ", accepted, is not completed; last GET answered " +
                       std::to_string(last[{tenant, id}]));
  }
  std::string text = std::to_string(accepted.size()) + " jobs accepted, " +
                     std::to_string(refused.size()) + " rejected, " +
                     std::to_string(open.size()) +
                     " accepted and never completed";
  cell.Exit(open.empty() ? 0 : 1,
            (open.empty() ? "held: " : "broken: ") + text);
}
