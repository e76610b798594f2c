// What membership costs each member as their number grows: agents with servers
// and clients of their own, each on a loop of its own as in a real process, on
// sockets of 127.0.0.1, and a fake store. Reports bytes of entry's connections
// and processor time, for each member and second.

#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <memory>
#include <vector>

#include "azurepass/membership/membership.h"
#include "azurepass/testing/fake_store.h"

namespace azurepass::membership {
namespace {

constexpr Duration kWarmUp{3'000};
constexpr Duration kMeasured{10'000};
constexpr Duration kSlack{500};  // For the last samples to be taken.

double ThreadCpuMillis() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto millis = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e3 +
           static_cast<double>(t.tv_usec) / 1e3;
  };
  return millis(usage.ru_utime) + millis(usage.ru_stime);
}

struct Sample {
  double cpu_millis = 0;
  entry::Traffic traffic;
};

// One member: a server that hands gossip to the agent, and a client.
class Node {
 public:
  Node(testing::FakeStore& store, int64_t index)
      : server_(loop_, {"127.0.0.1:0"},
                task::Address<entry::Incoming>(
                    [this](entry::Incoming in) { OnIncoming(std::move(in)); })),
        client_(loop_, {}),
        agent_(loop_, OptionsOf(index), RecordOf(index), {}, store.Port(index),
               client_.address()),
        warm_up_(loop_),
        end_(loop_) {
    warm_up_.After(kWarmUp, [this] { before_ = Take(); });
    end_.After(kWarmUp + kMeasured, [this] { after_ = Take(); });
    loop_.Start();
  }
  void Stop() { loop_.Stop(); }

  // After Stop.
  const Sample& before() const { return before_; }
  const Sample& after() const { return after_; }

 private:
  Sample Take() const { return {ThreadCpuMillis(), client_.traffic()}; }
  static Options OptionsOf(int64_t index) {
    Options options;
    options.seed = static_cast<uint64_t>(index) + 1;
    return options;
  }
  MemberRecord RecordOf(int64_t index) const {
    MemberRecord record;
    record.member = MemberId("scheduler-" + std::to_string(index));
    record.address = server_.listening_on();
    record.incarnation = 1'764'843'000'000;
    record.zone = ZoneId("plovdiv-a");
    return record;
  }
  void OnIncoming(entry::Incoming incoming) {
    agent_.address().Send(
        GossipReceived{std::get<entry::Gossip>(std::move(incoming.request)),
                       std::move(incoming.responder)});
  }

  task::Loop loop_;
  entry::Server server_;
  entry::Client client_;
  Agent agent_;
  task::Timer warm_up_;
  task::Timer end_;
  Sample before_;
  Sample after_;
};

void GossipCost(benchmark::State& state) {
  for (auto unused : state) {
    task::Loop store_loop;
    testing::FakeStore store(store_loop);
    store_loop.Start();
    std::vector<std::unique_ptr<Node>> nodes;
    for (int64_t i = 0; i < state.range(0); ++i) {
      nodes.push_back(std::make_unique<Node>(store, i));
    }
    task::Loop clock;
    task::Timer end(clock);
    end.After(kWarmUp + kMeasured + kSlack, [&] { clock.Quit(); });
    clock.Run();
    const double member_seconds =
        static_cast<double>(state.range(0)) *
        std::chrono::duration<double>(kMeasured).count();
    for (const auto& node : nodes) {
      node->Stop();
      const Sample& from = node->before();
      const Sample& to = node->after();
      const auto add = [&](const char* name, auto amount) {
        state.counters[name] += static_cast<double>(amount) / member_seconds;
      };
      add("calls/s", to.traffic.calls - from.traffic.calls);
      add("sentB/s", to.traffic.sent_bytes - from.traffic.sent_bytes);
      add("recvB/s", to.traffic.received_bytes - from.traffic.received_bytes);
      add("cpu_ms/s", to.cpu_millis - from.cpu_millis);
    }
    store_loop.Stop();
  }
}
BENCHMARK(GossipCost)
    ->Arg(8)
    ->Arg(16)
    ->Arg(32)
    ->Arg(64)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azurepass::membership
