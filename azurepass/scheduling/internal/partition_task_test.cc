// What a partition's task tells its peers, without a network.

#include "azurepass/scheduling/internal/partition_task.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace azurepass::scheduling {
namespace {

const TeamId kTeam("t");
const PartitionId kPartition("p");

// A task whose store never answers, so that its owner goes on loading.
struct Fixture {
  Fixture() {
    PartitionTaskOptions options;
    options.partition.id = kPartition;
    PartitionTaskPeers peers;
    peers.broker = task::Address<escrow::Message>([this](escrow::Message m) {
      if (auto* adopt = std::get_if<escrow::AddPartition>(&m)) {
        allowances = adopt->listener;
      } else if (auto* told = std::get_if<escrow::Demands>(&m)) {
        demands.push_back(std::move(*told));
      }
    });
    task = std::make_unique<PartitionTask>(loop, options, peers);
  }

  void Run() {
    while (g_main_context_iteration(loop.context(), FALSE)) {
    }
  }

  task::Loop loop;
  std::unique_ptr<PartitionTask> task;
  task::Address<escrow::Granted> allowances;
  std::vector<escrow::Demands> demands;
};

// Until the journal is read nobody knows what the former owner has running, so
// that a part of the limit that looks unused may not be given back: an account
// went above its limit after a takeover (QUOTA).
TEST_CASE("an owner that has not read its journal gives no allowance back") {
  Fixture f;
  auto configuration = std::make_shared<Configuration>();
  Contract contract;
  contract.team = kTeam;
  configuration->contracts[kTeam] = contract;
  configuration::Update update;
  update.configuration = configuration;
  f.task->address().Send(update);
  f.task->address().Send(Hold{Epoch{2}});
  f.Run();
  REQUIRE(f.allowances);
  escrow::Granted granted{kPartition, 1, {}};
  granted.allowances[kTeam] = {Resources::Uniform(100), Resources()};
  f.allowances.Send(granted);
  f.Run();
  REQUIRE(!f.demands.empty());
  CHECK(f.demands.back().applied_sequence == 0);
}

}  // namespace
}  // namespace azurepass::scheduling
