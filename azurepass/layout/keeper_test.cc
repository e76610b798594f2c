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

Options TestOptions(Duration max_jitter = Duration(5)) {
  Options options;
  options.partition_workers = kPartitionWorkers;
  options.stable_for = Duration(60);
  options.stable_for_if_empty = Duration(200);
  options.max_jitter = max_jitter;
  options.min_backoff = Duration(2);
  options.max_backoff = Duration(10);
  return options;
}

configuration::Update ConfigurationWithService() {
  Configuration configuration;
  configuration.services[kService].service = kService;
  configuration::Update update;
  update.configuration = std::make_shared<Configuration>(configuration);
  return update;
}

// Returns a list with one worker in each rack.
vmlist::Update RackList(int64_t racks, int64_t first = 0) {
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
class KeeperCell {
 public:
  explicit KeeperCell(int64_t keepers, Options options = TestOptions())
      : fake_(loop_), updates(keepers) {
    for (int64_t i = 0; i < keepers; ++i) {
      options.seed = i + 1;
      keepers_.push_back(
          std::make_unique<Keeper>(loop_, options, fake_.Port(i)));
    }
    loop_.Start();
    for (int64_t i = 0; i < keepers; ++i) {
      keepers_[i]->address().Send(Subscribe{updates[i].address()});
      keepers_[i]->address().Send(ConfigurationWithService());
    }
  }
  ~KeeperCell() { loop_.Stop(); }
  KeeperCell(const KeeperCell&) = delete;
  KeeperCell& operator=(const KeeperCell&) = delete;

  void SendList(int64_t keeper, vmlist::Update update) {
    keepers_[keeper]->address().Send(std::move(update));
  }
  Layout TakeLayoutWithRacks(int64_t keeper, size_t racks) {
    const Update update = updates[keeper].TakeUntil([&](const Update& u) {
      const auto found = u.layouts->find(kService);
      return found != u.layouts->end() && found->second.racks.size() >= racks;
    });
    return update.layouts->at(kService);
  }
  // Returns whether no layout arrives within `time`.
  bool HasNoLayoutFor(int64_t keeper, Duration time) {
    const MonotonicTime until = BootClock::now() + time;
    while (true) {
      const auto left = std::chrono::ceil<Duration>(until - BootClock::now());
      if (left <= Duration(0)) return true;
      const auto update = updates[keeper].TakeWithin(left);
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
  std::vector<Inbox<Update>> updates;
};

// Guards against two different layouts of one service.
TEST_CASE("keepers that write at the same time end up with one layout") {
  constexpr int64_t kKeepers = 8;
  KeeperCell cell(kKeepers, TestOptions(Duration(0)));
  // Each sees the fleet at a different moment.
  for (int64_t i = 0; i < kKeepers; ++i) cell.SendList(i, RackList(6 + i % 3));
  CHECK(cell.TakeLayoutWithRacks(0, 6).partitions >= 3);
  for (int64_t i = 0; i < kKeepers; ++i) cell.SendList(i, RackList(8));
  const Layout first = cell.TakeLayoutWithRacks(0, 8);
  for (int64_t i = 1; i < kKeepers; ++i) {
    const Layout other = cell.TakeLayoutWithRacks(i, 8);
    CHECK(other.partitions == first.partitions);
    CHECK(other.racks == first.racks);
  }
}

TEST_CASE("the first layout waits until the list has stopped growing") {
  KeeperCell cell(1);
  cell.SendList(0, RackList(1));
  CHECK(cell.HasNoLayoutFor(0, Duration(40)));
  cell.SendList(0, RackList(8));
  CHECK(cell.HasNoLayoutFor(0, Duration(40)));
  CHECK(cell.TakeLayoutWithRacks(0, 8).partitions == 4);
}

TEST_CASE("a service without workers gets one partition after a longer wait") {
  KeeperCell cell(1);
  cell.SendList(0, RackList(0));
  CHECK(cell.HasNoLayoutFor(0, Duration(120)));
  CHECK(cell.TakeLayoutWithRacks(0, 0).partitions == 1);
}

TEST_CASE("later racks are added, and one keeper's write is enough") {
  KeeperCell cell(2);
  for (int64_t i = 0; i < 2; ++i) cell.SendList(i, RackList(8));
  const Layout before = cell.TakeLayoutWithRacks(0, 8);
  CHECK(cell.TakeLayoutWithRacks(1, 8) == before);
  for (int64_t i = 0; i < 2; ++i) cell.SendList(i, RackList(4, 6));
  const Layout after = cell.TakeLayoutWithRacks(0, 10);
  CHECK(cell.TakeLayoutWithRacks(1, 10) == after);
  CHECK(after.partitions == before.partitions);
  for (const auto& [rack, index] : before.racks) {
    CHECK(after.racks.at(rack) == index);
  }
  // A list with nothing new causes no request.
  const int64_t requests = cell.Requests();
  for (int64_t i = 0; i < 2; ++i) cell.SendList(i, RackList(10));
  cell.HasNoLayoutFor(1, Duration(30));
  CHECK(cell.Requests() == requests);
}

TEST_CASE("an outage and a lost reply delay a layout without changing it") {
  KeeperCell cell(2);
  cell.SetFaults({.outage = true});
  for (int64_t i = 0; i < 2; ++i) cell.SendList(i, RackList(8));
  CHECK(cell.HasNoLayoutFor(0, Duration(150)));
  cell.SetFaults({.lost_answers = 1});
  const Layout layout = cell.TakeLayoutWithRacks(0, 8);
  CHECK(layout.partitions == 4);
  CHECK(cell.TakeLayoutWithRacks(1, 8) == layout);
}

}  // namespace
}  // namespace azurepass::layout
