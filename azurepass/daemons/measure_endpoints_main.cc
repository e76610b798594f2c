// azurepass-measure-endpoints: what the clients of the platform and of the
// workers cost this process, against stand-ins in another one.
// tools/measure-endpoints runs it.
//
// It prints one line of key=value for a run. Bytes are those of HTTP, without
// the headers of TCP and IP.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <sys/resource.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "azurepass/endpoint/endpoint.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"
#include "azurepass/testing/await.h"

ABSL_FLAG(std::string, listening, "",
          "what azurepass-standin printed: \"listening store=IP:PORT ...\"");
ABSL_FLAG(std::string, mode, "idle", "idle, orders or store");
ABSL_FLAG(int, seconds, 20, "length of the run");
ABSL_FLAG(int, starts_per_second, 400, "mode orders: over all workers");
ABSL_FLAG(int, value_bytes, 300, "mode store: size of a value");

namespace azurepass {
namespace {

using testing::Await;
using testing::Expect;

constexpr int kExitUsage = 2;
constexpr Duration kWarmUp{5'000};
constexpr Duration kTick{50};
constexpr Duration kTaskRunTime{1'000};
constexpr int kStoreCallsInFlight = 16;
constexpr double kNoLimit = 1e6;

struct Peer {
  std::string name;
  std::string address;
};
struct Peers {
  std::string store;
  std::vector<Peer> workers;
};

Peers ParseListening(const std::string& text) {
  Peers peers;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const size_t last = word.rfind('=');
    if (word.starts_with("store=")) peers.store = word.substr(last + 1);
    if (!word.starts_with("worker=")) continue;
    const size_t first = word.find('=') + 1;
    peers.workers.push_back(
        {word.substr(first, last - first), word.substr(last + 1)});
  }
  return peers;
}

// Processor time of this process.
std::chrono::microseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         std::chrono::microseconds(usage.ru_utime.tv_usec +
                                   usage.ru_stime.tv_usec);
}

int64_t ResidentKib() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stoll(line.substr(6));
  }
  return 0;
}

// Lets the other threads work.
void Pass(Duration time) {
  task::Loop loop;
  task::Timer timer(loop);
  timer.After(time, [&loop] { loop.Quit(); });
  loop.Run();
}

struct Sample {
  std::chrono::microseconds processor{0};
  MonotonicTime at;
  endpoint::Counters counters;
};

// Keeps sessions with all workers and counts what they report.
class Owner {
 public:
  Owner(task::Loop& loop, const std::vector<Peer>& workers)
      : workers_(workers),
        client_(loop, {}),
        updates_(loop, [this](const endpoint::Update& u) { Count(u); }),
        starts_(loop, [this](int count) { Start(count); }),
        reports_(loop, [this](const task::Address<int64_t>& to) {
          to.Send(succeeded_);
        }) {
    for (const Peer& worker : workers_) {
      WorkerSpec spec;
      spec.vm = VmId(worker.name);
      spec.address = worker.address;
      client_.address().Send(
          endpoint::Open{spec, Epoch{1}, updates_.address()});
    }
  }

  Sample Now() const {
    auto [to, counters] = Expect<endpoint::Counters>();
    client_.counters().Send(to);
    return {ProcessorTime(), BootClock::now(),
            Await(counters).value_or(endpoint::Counters{})};
  }
  void StartSoon(int count) { starts_.address().Send(count); }
  int64_t Succeeded() const {
    auto [to, succeeded] = Expect<int64_t>();
    reports_.address().Send(to);
    return Await(succeeded).value_or(-1);
  }

 private:
  void Count(const endpoint::Update& update) {
    const auto* events = std::get_if<endpoint::Events>(&update);
    if (events == nullptr) return;
    for (const WorkerEvent& event : events->events) {
      succeeded_ += event.kind == WorkerEventKind::kSucceeded ? 1 : 0;
    }
  }
  void Start(int count) {
    for (int i = 0; i < count; ++i) {
      StartTask start;
      start.attempt = {{JobId("measure.1"), ++started_}, 1};
      start.team = TeamId("team");
      start.size = Resources(1, 1, 100, 100, 0);
      start.run_time = kTaskRunTime;
      const Peer& worker =
          workers_[static_cast<size_t>(started_) % workers_.size()];
      client_.address().Send(endpoint::Send{VmId(worker.name), {start}});
    }
  }

  std::vector<Peer> workers_;
  int32_t started_ = 0;
  int64_t succeeded_ = 0;
  endpoint::Client client_;
  task::Mailbox<endpoint::Update> updates_;
  task::Mailbox<int> starts_;
  task::Mailbox<task::Address<int64_t>> reports_;
};

void PrintDifference(const char* mode, size_t workers, const Sample& before,
                     const Sample& after) {
  const std::chrono::duration<double> time = after.at - before.at;
  const double seconds = time.count();
  const std::chrono::duration<double> busy = after.processor - before.processor;
  auto rate = [seconds](int64_t from, int64_t to) {
    return static_cast<double>(to - from) / seconds;
  };
  std::printf(
      "mode=%s workers=%zu seconds=%.1f exchanges_per_s=%.2f "
      "sent_bytes_per_s=%.0f received_bytes_per_s=%.0f cpu_percent=%.3f "
      "connections=%lld failures=%lld rss_kib=%lld",
      mode, workers, seconds,
      rate(before.counters.exchanges, after.counters.exchanges),
      rate(before.counters.bytes_sent, after.counters.bytes_sent),
      rate(before.counters.bytes_received, after.counters.bytes_received),
      100 * busy.count() / seconds,
      static_cast<long long>(after.counters.connections -
                             before.counters.connections),
      static_cast<long long>(after.counters.failures),
      static_cast<long long>(ResidentKib()));
}

void MeasureIdle(Owner& owner, size_t workers, Duration length) {
  const Sample before = owner.Now();
  Pass(length);
  PrintDifference("idle", workers, before, owner.Now());
  std::printf("\n");
}

void MeasureOrders(Owner& owner, size_t workers, Duration length) {
  const int per_tick = static_cast<int>(absl::GetFlag(FLAGS_starts_per_second) *
                                        kTick.count() / 1'000);
  const Sample before = owner.Now();
  const int64_t succeeded = owner.Succeeded();
  task::Loop loop;
  task::Timer tick(loop);
  task::Timer end(loop);
  tick.Every(kTick, [&] { owner.StartSoon(per_tick); });
  end.After(length, [&loop] { loop.Quit(); });
  loop.Run();
  const Sample after = owner.Now();
  PrintDifference("orders", workers, before, after);
  std::printf(" succeeded=%lld\n",
              static_cast<long long>(owner.Succeeded() - succeeded));
}

// Keeps a fixed number of calls in flight: each answer sends the next.
class StoreLoad {
 public:
  StoreLoad(task::Loop& loop, const std::string& address, bool write)
      : write_(write),
        value_(static_cast<size_t>(absl::GetFlag(FLAGS_value_bytes)), 'v'),
        client_(loop, Options(address)),
        writes_(loop, [this](const store::WriteReply& r) { Note(r); }),
        reads_(loop, [this](const store::GetReply& r) { Note(r); }),
        reports_(loop,
                 [this](const task::Address<int64_t>& to) { to.Send(done_); }) {
    for (int i = 0; i < kStoreCallsInFlight; ++i) Next();
  }

  int64_t Done() const {
    auto [to, done] = Expect<int64_t>();
    reports_.address().Send(to);
    return Await(done).value_or(-1);
  }

 private:
  static store::Options Options(const std::string& address) {
    store::Options options;
    options.address = address;
    options.writes_per_second = kNoLimit;
    options.reads_per_second = kNoLimit;
    return options;
  }
  void Next() {
    const std::string key = "load/" + std::to_string(++sent_ % 1'000);
    if (write_) {
      client_.address().Send(
          store::Put{key, value_, {}, "", writes_.address()});
    } else {
      client_.address().Send(store::Get{key, reads_.address()});
    }
  }
  template <class Reply>
  void Note(const Reply& reply) {
    if (!std::holds_alternative<store::Error>(reply)) ++done_;
    Next();
  }

  bool write_;
  std::string value_;
  int64_t sent_ = 0;
  int64_t done_ = 0;
  store::Client client_;
  task::Mailbox<store::WriteReply> writes_;
  task::Mailbox<store::GetReply> reads_;
  task::Mailbox<task::Address<int64_t>> reports_;
};

void MeasureStore(const std::string& address, bool write, Duration length) {
  task::Loop loop;
  StoreLoad load(loop, address, write);
  loop.Start();
  const int64_t done = load.Done();
  const auto processor = ProcessorTime();
  Pass(length);
  const std::chrono::duration<double, std::micro> busy =
      ProcessorTime() - processor;
  const auto calls = static_cast<double>(load.Done() - done);
  std::printf(
      "mode=store call=%s value_bytes=%d calls_per_s=%.0f cpu_us_per_call=%.1f"
      "\n",
      write ? "put" : "get", absl::GetFlag(FLAGS_value_bytes),
      calls * 1'000 / static_cast<double>(length.count()),
      busy.count() / calls);
  loop.Stop();
}

int Run() {
  const Peers peers = ParseListening(absl::GetFlag(FLAGS_listening));
  const std::string mode = absl::GetFlag(FLAGS_mode);
  const Duration length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  if (mode == "store" && !peers.store.empty()) {
    MeasureStore(peers.store, /*write=*/true, length);
    MeasureStore(peers.store, /*write=*/false, length);
    return 0;
  }
  if ((mode != "idle" && mode != "orders") || peers.workers.empty()) {
    std::fprintf(stderr,
                 "azurepass-measure-endpoints: unknown mode or no such peer\n");
    return kExitUsage;
  }
  task::Loop loop;
  Owner owner(loop, peers.workers);
  loop.Start();
  Pass(kWarmUp);
  if (mode == "idle") {
    MeasureIdle(owner, peers.workers.size(), length);
  } else {
    MeasureOrders(owner, peers.workers.size(), length);
  }
  loop.Stop();
  return 0;
}

}  // namespace
}  // namespace azurepass

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Measures the store client and the endpoint client (tests only).");
  absl::ParseCommandLine(argc, argv);
  return azurepass::Run();
}
