// Tests keepers that share a store: which one writes a layout, when, and that
// all end up with the same one.

#include <doctest/doctest.h>

#include <memory>
#include <optional>

#include "azurepass/layout/layout.h"
#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::layout {
namespace {

using testing::FakeStore;
using testing::Inbox;

const ServiceId kService("intake");
constexpr int64_t kPartitionWorkers = 2;

Options TestOptions(Duration spread = Duration(5)) {
  Options options;
  options.partition_workers = kPartitionWorkers;
  options.settle = Duration(60);
  options.settle_empty = Duration(200);
  options.spread = spread;
  options.min_backoff = Duration(2);
  options.max_backoff = Duration(10);
  return options;
}

configuration::Update Configured() {
  Configuration configuration;
  configuration.services[kService].service = kService;
  configuration::Update update;
  update.configuration = std::make_shared<Configuration>(configuration);
  return update;
}

// Returns a list with one worker in each rack.
vmlist::Update Listed(int64_t racks, int64_t first = 0) {
  vmlist::Snapshot snapshot;
  for (int64_t i = first; i < first + racks; ++i) {
    WorkerSpec worker;
    worker.vm = VmId("vm-" + std::to_string(i));
    worker.rack = RackId("r" + std::to_string(i));
    worker.zone = ZoneId("z");
    worker.service = kService;
    worker.capacity = Resources::Uniform(1);
    snapshot.workers[worker.vm] = worker;
  }
  return snapshot;
}

// The keepers of a cell, with one store.
class Bench {
 public:
  explicit Bench(int64_t keepers, Options options = TestOptions())
      : fake_(loop_), told(keepers) {
    for (int64_t i = 0; i < keepers; ++i) {
      options.seed = i + 1;
      keepers_.push_back(
          std::make_unique<Keeper>(loop_, options, fake_.Port(i)));
    }
    loop_.Start();
    for (int64_t i = 0; i < keepers; ++i) {
      keepers_[i]->address().Send(Subscribe{told[i].address()});
      keepers_[i]->address().Send(Configured());
    }
  }
  ~Bench() { loop_.Stop(); }
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  void List(int64_t keeper, vmlist::Update update) {
    keepers_[keeper]->address().Send(std::move(update));
  }
  Layout TakeCovering(int64_t keeper, size_t racks) {
    const Update update = told[keeper].TakeUntil([&](const Update& u) {
      const auto found = u.layouts->find(kService);
      return found != u.layouts->end() && found->second.racks.size() >= racks;
    });
    return update.layouts->at(kService);
  }
  // Returns whether no layout arrives within `time`.
  bool StaysWithout(int64_t keeper, Duration time) {
    const MonotonicTime until = BootClock::now() + time;
    while (true) {
      const auto left = std::chrono::ceil<Duration>(until - BootClock::now());
      if (left <= Duration(0)) return true;
      const auto update = told[keeper].TakeWithin(left);
      if (update && update->layouts->contains(kService)) return false;
    }
  }
  int64_t Requests() {
    Inbox<int64_t> count;
    fake_.control().Send(testing::CountRequests{count.address()});
    return count.Take();
  }
  void SetFaults(testing::Faults faults) {
    fake_.control().Send(testing::SetFaults{std::nullopt, faults});
  }

 private:
  task::Loop loop_;
  FakeStore fake_;
  std::vector<std::unique_ptr<Keeper>> keepers_;

 public:
  std::vector<Inbox<Update>> told;
};

// Guards against two different layouts of one service.
TEST_CASE("keepers that write at the same time end up with one layout") {
  constexpr int64_t kKeepers = 8;
  Bench bench(kKeepers, TestOptions(Duration(0)));
  // Each sees the fleet at a different moment.
  for (int64_t i = 0; i < kKeepers; ++i) bench.List(i, Listed(6 + i % 3));
  CHECK(bench.TakeCovering(0, 6).partitions >= 3);
  for (int64_t i = 0; i < kKeepers; ++i) bench.List(i, Listed(8));
  const Layout first = bench.TakeCovering(0, 8);
  for (int64_t i = 1; i < kKeepers; ++i) {
    const Layout other = bench.TakeCovering(i, 8);
    CHECK(other.partitions == first.partitions);
    CHECK(other.racks == first.racks);
  }
}

TEST_CASE("the first layout waits until the list has stopped growing") {
  Bench bench(1);
  bench.List(0, Listed(1));
  CHECK(bench.StaysWithout(0, Duration(40)));
  bench.List(0, Listed(8));
  CHECK(bench.StaysWithout(0, Duration(40)));
  CHECK(bench.TakeCovering(0, 8).partitions == 4);
}

TEST_CASE("a service without workers gets one partition after a longer wait") {
  Bench bench(1);
  bench.List(0, Listed(0));
  CHECK(bench.StaysWithout(0, Duration(120)));
  CHECK(bench.TakeCovering(0, 0).partitions == 1);
}

TEST_CASE("later racks are added, and one keeper's write is enough") {
  Bench bench(2);
  for (int64_t i = 0; i < 2; ++i) bench.List(i, Listed(8));
  const Layout before = bench.TakeCovering(0, 8);
  CHECK(bench.TakeCovering(1, 8) == before);
  for (int64_t i = 0; i < 2; ++i) bench.List(i, Listed(4, 6));
  const Layout after = bench.TakeCovering(0, 10);
  CHECK(bench.TakeCovering(1, 10) == after);
  CHECK(after.partitions == before.partitions);
  for (const auto& [rack, index] : before.racks) {
    CHECK(after.racks.at(rack) == index);
  }
  // A list with nothing new causes no request.
  const int64_t requests = bench.Requests();
  for (int64_t i = 0; i < 2; ++i) bench.List(i, Listed(10));
  bench.StaysWithout(1, Duration(30));
  CHECK(bench.Requests() == requests);
}

TEST_CASE("an outage and a lost reply delay a layout without changing it") {
  Bench bench(2);
  bench.SetFaults({.outage = true});
  for (int64_t i = 0; i < 2; ++i) bench.List(i, Listed(8));
  CHECK(bench.StaysWithout(0, Duration(150)));
  bench.SetFaults({.lost_answers = 1});
  const Layout layout = bench.TakeCovering(0, 8);
  CHECK(layout.partitions == 4);
  CHECK(bench.TakeCovering(1, 8) == layout);
}

}  // namespace
}  // namespace azurepass::layout
