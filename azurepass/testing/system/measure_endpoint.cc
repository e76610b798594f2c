// Opens all sessions, lets them settle, and compares two readings.

#include "azurepass/testing/system/measure_endpoint.h"

#include <chrono>
#include <future>
#include <memory>
#include <set>
#include <vector>

#include "azurepass/endpoint/endpoint.h"
#include "azurepass/testing/system/pause.h"
#include "azurepass/testing/system/process_usage.h"

namespace azurepass::testing {
namespace {

using Clock = BootClock;

constexpr Duration kSettle{6'000};
constexpr Duration kSpan{16'000};  // Four times what an answer is held.
constexpr double kMib = 1'048'576;

// Counts the sessions that opened.
class OpenCounter {
 public:
  explicit OpenCounter(task::Loop& loop)
      : mailbox_(loop, [this](const Message& m) { Handle(m); }) {}

  task::Address<endpoint::Update> updates() const { return mailbox_.address(); }
  int Count() const {
    auto promise = std::make_shared<std::promise<int>>();
    mailbox_.address().Send(
        Ask{task::Address<int>([promise](int n) { promise->set_value(n); })});
    return promise->get_future().get();
  }

 private:
  struct Ask {
    task::Address<int> reply_to;
  };
  using Message = std::variant<endpoint::Update, Ask>;

  void Handle(const Message& message) {
    std::visit(Visitor{[this](const endpoint::Update& update) {
                         const auto* opened =
                             std::get_if<endpoint::SessionOpened>(&update);
                         if (opened != nullptr) opened_.insert(opened->vm);
                       },
                       [this](const Ask& ask) {
                         ask.reply_to.Send(static_cast<int>(opened_.size()));
                       }},
               message);
  }

  std::set<VmId> opened_;
  task::Mailbox<Message> mailbox_;
};

endpoint::Counters ReadCounters(const endpoint::Client& client) {
  auto promise = std::make_shared<std::promise<endpoint::Counters>>();
  client.counters().Send(task::Address<endpoint::Counters>(
      [promise](endpoint::Counters c) { promise->set_value(c); }));
  return promise->get_future().get();
}

struct Reading {
  MonotonicTime at;
  endpoint::Counters counters;
  ProcessUsage client;
  ProcessUsage workers;
};

using Clients = std::vector<std::unique_ptr<endpoint::Client>>;

Reading Read(const Clients& clients, Cluster& cluster) {
  Reading reading{Clock::now(),
                  {},
                  ReadProcessUsage("self"),
                  ReadProcessUsage(cluster.standin().id())};
  for (const auto& client : clients) {
    const endpoint::Counters counters = ReadCounters(*client);
    reading.counters.exchanges += counters.exchanges;
    reading.counters.failures += counters.failures;
    reading.counters.bytes_sent += counters.bytes_sent;
    reading.counters.bytes_received += counters.bytes_received;
  }
  return reading;
}

EndpointPoint Compare(const Reading& from, const Reading& to, size_t workers) {
  EndpointPoint point;
  const double seconds = std::chrono::duration<double>(to.at - from.at).count();
  const auto each = [&](int64_t a, int64_t b) {
    return static_cast<double>(b - a) / seconds / static_cast<double>(workers);
  };
  const auto rate = [&](Duration a, Duration b) {
    return static_cast<double>((b - a).count()) / seconds;
  };
  point.exchanges = each(from.counters.exchanges, to.counters.exchanges);
  point.failures = each(from.counters.failures, to.counters.failures);
  point.bytes_to_worker =
      each(from.counters.bytes_sent, to.counters.bytes_sent);
  point.bytes_from_worker =
      each(from.counters.bytes_received, to.counters.bytes_received);
  point.client = rate(from.client.processor, to.client.processor);
  point.workers = rate(from.workers.processor, to.workers.processor);
  return point;
}

}  // namespace

EndpointPoint MeasureEndpoint(Cluster& cluster, int clients) {
  const ProcessUsage before = ReadProcessUsage("self");
  task::Loop loop;
  OpenCounter counter(loop);
  Clients sessions;
  for (int i = 0; i < clients; ++i) {
    sessions.push_back(
        std::make_unique<endpoint::Client>(loop, endpoint::Options{}));
  }
  loop.Start();
  size_t next = 0;
  for (const VmId& vm : cluster.vms()) {
    WorkerSpec worker;
    worker.vm = vm;
    worker.address = cluster.worker_address(vm);
    sessions[next++ % sessions.size()]->address().Send(
        endpoint::Open{worker, Epoch{1}, counter.updates()});
  }
  Pause(kSettle);
  const Reading begin = Read(sessions, cluster);
  Pause(kSpan);
  const Reading end = Read(sessions, cluster);
  EndpointPoint point = Compare(begin, end, cluster.vms().size());
  point.opened = counter.Count();
  point.client_mib =
      static_cast<double>(end.client.resident_bytes - before.resident_bytes) /
      kMib;
  loop.Stop();
  return point;
}

}  // namespace azurepass::testing
