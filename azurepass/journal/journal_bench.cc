// Measures the size of an encoded snapshot and the time to encode and decode
// it, by number of running tasks.

#include <benchmark/benchmark.h>

#include <string>

#include "azurepass/journal/journal.h"

namespace azurepass::journal {
namespace {

constexpr size_t kChunkBytes = 700'000;

partition::Snapshot MakeSnapshot(int64_t jobs, int32_t tasks) {
  partition::Snapshot snapshot{1, jobs + 1, {}};
  for (int64_t i = 1; i <= jobs; ++i) {
    partition::JobSnapshot job;
    job.submitted.job = MakeJobId(PartitionId("bg-south-intake-0"), i);
    job.submitted.team = TeamId("intake");
    job.submitted.request = RequestId("3f6c2f0e-8d0b-4b8e-9a53-1c7f4f6f7a10");
    job.submitted.spec.queue = QueueId("default");
    job.submitted.spec.tasks = tasks;
    job.submitted.spec.task = Resources(1, 1, 1'000, 2'048, 0);
    job.tasks.resize(tasks);
    for (partition::TaskSnapshot& task : job.tasks) {
      task = {
          TaskState::kRunning, VmId("plovdiv-a-r1-17"), 3'073, 1, 0, false, ""};
    }
    snapshot.jobs.push_back(job);
  }
  return snapshot;
}

void BM_Snapshot(benchmark::State& state) {
  const auto tasks = static_cast<int32_t>(state.range(1));
  const auto snapshot = MakeSnapshot(state.range(0) / tasks, tasks);
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = 0;
    for (const std::string& chunk : EncodeChunks(snapshot, kChunkBytes)) {
      bytes += chunk.size();
    }
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["bytes_a_task"] =
      static_cast<double>(bytes) / static_cast<double>(state.range(0));
}
BENCHMARK(BM_Snapshot)
    ->Args({840, 1})
    ->Args({2'400, 1})
    ->Args({7'200, 1})
    ->Args({7'200, 20})
    ->Unit(benchmark::kMillisecond);

void BM_DecodeSnapshot(benchmark::State& state) {
  const auto chunks =
      EncodeChunks(MakeSnapshot(state.range(0), 1), kChunkBytes);
  for (auto _ : state) {
    partition::Snapshot decoded;
    for (const std::string& chunk : chunks) {
      const auto added = codec::Try([&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(DecodeChunk(chunk, decoded));
        return true;
      });
      benchmark::DoNotOptimize(added);
    }
  }
}
BENCHMARK(BM_DecodeSnapshot)
    ->Arg(840)
    ->Arg(2'400)
    ->Arg(7'200)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azurepass::journal
