// The platform's store is down for 4.2 s. A client that gets no answer to its
// submission gives up and cancels. Does the job run after its cancelling was
// acknowledged?
//   cancelled REPOSITORY FOLDER
// With TROUBLE=0 the store stays up; the client does the same.
#include <cstdlib>

#include "cell.hpp"

using namespace review;

namespace {

constexpr int64_t kCancelMs = 3'000;   // The bound cancel_ms.
constexpr int64_t kContactMs = 3'000;  // The bound contactMs.
constexpr int64_t kDownMs = 4'200;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool down = trouble == nullptr || std::string(trouble) != "0";
  Options options;
  options.root = argv[1];
  options.folder = argv[2];
  Cell& cell = *new Cell(options);
  Record& record = cell.record();
  if (!cell.Begin({{"r-one", "/lohu930/", "intake"}})) cell.Finish(2);
  SleepMs(3'000);

  // Two steps of 6 s, the second one after the first.
  Json steps = Json::array();
  for (int s = 0; s < 2; ++s) {
    steps.push_back({{"count", 2}, {"cpu", 500}, {"memMb", 64}, {"estimateMs", 6000}});
    if (s > 0) steps.back()["after"] = {s - 1};
  }
  const Json job = {{"spec", "ms=6000"}, {"steps", steps}};
  struct Client {
    std::string id;
    int submitted = 0, cancelled = 0;
    int64_t acknowledged = -1;  // When the cancelling was.
  };
  std::vector<Client> clients(12);
  if (down) {
    cell.store().SetSilent(true);
    record.Line("the store is silent");
  }
  std::vector<std::thread> threads;
  for (size_t i = 0; i < clients.size(); ++i) {
    threads.emplace_back([&, i] {
      Client& client = clients[i];
      client.id = NewId();
      const int node = static_cast<int>(i % cell.size());
      SleepMs(static_cast<int64_t>(5 * i));
      client.submitted = cell.Ask(node, "POST", "/lohu930/" + client.id, job, 3'000).status;
      // Rejected: it never runs, and there is nothing to cancel.
      if (client.submitted == 429 || client.submitted == 503) return;
      // At the same node, until it is acknowledged.
      for (int tries = 0; tries < 20 && client.acknowledged < 0; ++tries) {
        client.cancelled = cell.Ask(node, "DELETE", "/lohu930/" + client.id, {}, 1'000).status;
        if (client.cancelled / 100 == 2 || client.cancelled == 410) {
          client.acknowledged = record.Now();
        } else {
          SleepMs(200);
        }
      }
    });
  }
  SleepMs(kDownMs);
  if (down) {
    cell.store().SetSilent(false);
    record.Line("the store answers again");
  }
  const int64_t back = record.Now();
  for (std::thread& thread : threads) thread.join();
  SleepMs(20'000);

  int broken = 0, acknowledged = 0;
  {
    const std::lock_guard lock(cell.history().mutex);
    for (const Client& client : clients) {
      acknowledged += client.acknowledged >= 0 ? 1 : 0;
      record.Line("job " + client.id + ": submission " + std::to_string(client.submitted) +
                  ", cancelling " + std::to_string(client.cancelled) + " at " +
                  std::to_string(client.acknowledged) + " ms");
      for (const Start& start : cell.history().starts) {
        if (!start.task.starts_with(client.id + ".")) continue;
        // The store was calm for contactMs before, so that all are in touch.
        const bool late = client.acknowledged >= 0 &&
                          start.at > client.acknowledged + kCancelMs &&
                          start.at > back + kContactMs;
        broken += late ? 1 : 0;
        record.Line("  task " + start.task + " started at " + std::to_string(start.at) + " ms" +
                    (late ? "  UNASKED BROKEN" : ""));
      }
    }
  }
  record.Line(std::to_string(acknowledged) + " cancellings acknowledged, " +
              std::to_string(broken) + " starts too late after that");
  cell.Finish(acknowledged == 0 ? 2 : broken > 0 ? 1 : 0);
}
