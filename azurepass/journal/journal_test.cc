// Tests the encoding of values, and the writer with an in-memory store that can
// lose replies.

#include "azurepass/journal/journal.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace azurepass::journal {
namespace {

using partition::AppendBatch;
using partition::Appended;
using partition::AppendFound;
using partition::AppendUnavailable;
using partition::AppendUnknown;
using partition::Batch;
using partition::JournalLoaded;
using partition::LoadJournal;
using partition::ReadBack;
using partition::ReadSilence;
using partition::SilenceRead;
using partition::SilenceRecord;
using partition::SilenceWritten;
using partition::Snapshot;
using partition::SnapshotWritten;
using partition::WriteSilence;
using partition::WriteSnapshot;

const PartitionId kPartition("p");

Snapshot MakeSnapshot(int64_t through, int jobs, int32_t tasks) {
  Snapshot snapshot{through, jobs + 1, {}};
  for (int i = 1; i <= jobs; ++i) {
    partition::JobSnapshot job;
    job.submitted.job = MakeJobId(kPartition, i);
    job.submitted.team = TeamId("intake");
    job.submitted.request = RequestId("r" + std::to_string(i));
    job.submitted.spec.tasks = tasks;
    job.submitted.spec.task = Resources(1, 1, 500, 512, 0);
    job.tasks.resize(tasks);
    for (partition::TaskSnapshot& task : job.tasks) {
      task = {TaskState::kRunning, VmId("vm-17"), 3'073, 2, 1, true, "why"};
    }
    job.failed_attempt = i - 1;  // None of the first job.
    snapshot.jobs.push_back(job);
  }
  return snapshot;
}

bool Same(const Snapshot& a, const Snapshot& b) {
  bool same = a.through == b.through && a.jobs.size() == b.jobs.size() &&
              a.next_job_number == b.next_job_number;
  for (size_t i = 0; same && i < a.jobs.size(); ++i) {
    same = a.jobs[i].submitted == b.jobs[i].submitted &&
           a.jobs[i].failed_attempt == b.jobs[i].failed_attempt &&
           a.jobs[i].tasks == b.jobs[i].tasks;
  }
  return same;
}

// Replies at once. A fault applies to the next write only.
struct FakeStore {
  enum class Fault { kNone, kAnswerLost, kRefused };

  task::Address<store::Request> address() {
    return task::Address<store::Request>([this](store::Request request) {
      std::visit([this](const auto& r) { On(r); }, request);
    });
  }
  void On(const store::Get& r) {
    auto found = entries.find(r.key);
    store::Value value;
    if (found != entries.end()) value.entry = found->second;
    r.reply_to.Send(store::GetReply(value));
  }
  void On(const store::List& r) {
    store::Listing listing;
    for (auto it = entries.lower_bound(r.prefix);
         it != entries.end() && it->first.starts_with(r.prefix); ++it) {
      listing.entries.push_back(it->second);
    }
    r.reply_to.Send(store::ListReply(listing));
  }
  void On(const store::Put& r) {
    const Fault now = std::exchange(fault, Fault::kNone);
    ++writes;
    largest_value = std::max(largest_value, r.value.size());
    auto found = entries.find(r.key);
    const store::Version there =
        found == entries.end() ? store::kAbsent : found->second.version;
    if (now == Fault::kRefused) {
      r.reply_to.Send(store::Error{store::ErrorCode::kUnavailable, ""});
    } else if (r.expected && *r.expected != there) {
      store::Conflict conflict;
      if (found != entries.end()) conflict.current = found->second;
      r.reply_to.Send(store::WriteReply(conflict));
    } else {
      entries[r.key] = {r.key, r.value, ++version};
      if (now == Fault::kAnswerLost) {
        r.reply_to.Send(store::Error{store::ErrorCode::kOutcomeUnknown, ""});
      } else {
        r.reply_to.Send(store::WriteReply(store::Written{version}));
      }
    }
  }
  void On(const store::Delete& r) { entries.erase(r.key); }
  template <class Other>
  void On(const Other& /*request*/) {}

  std::map<std::string, store::Entry> entries;
  store::Version version = 0;
  Fault fault = Fault::kNone;
  int writes = 0;
  size_t largest_value = 0;
};

// A process with its writer. Call returns the single event that answers.
class Process {
 public:
  Process(FakeStore& store, Options options)
      : writer_(loop_, options, kPartition, store.address(),
                task::Address<partition::Event>([this](partition::Event event) {
                  events_.push_back(std::move(event));
                })) {}

  partition::Event Call(Request request) {
    events_.clear();
    writer_.address().Send(std::move(request));
    while (g_main_context_iteration(loop_.context(), FALSE) != FALSE) {
    }
    REQUIRE(events_.size() == 1);
    return events_.front();
  }
  JournalLoaded Load(int64_t epoch) {
    return std::get<JournalLoaded>(Call(LoadJournal{Epoch{epoch}}));
  }
  template <class T>
  bool Appends(int64_t number, int64_t epoch) {
    return std::holds_alternative<T>(
        Call(AppendBatch{{number, Epoch{epoch}, 9, {}}}));
  }
  bool Saves(int64_t epoch, const Snapshot& snapshot) {
    return std::get<SnapshotWritten>(
               Call(WriteSnapshot{Epoch{epoch}, snapshot}))
        .ok;
  }

 private:
  task::Loop loop_;
  std::vector<partition::Event> events_;
  Writer writer_;
};

constexpr Options kSmallOptions{.slots = 8, .chunk_bytes = 4'000};

TEST_CASE("a decoded batch equals the encoded one") {
  const Snapshot job = MakeSnapshot(0, 1, 3);
  const AttemptId attempt{{JobId("p.1"), 2}, 3'073};
  Batch batch{17, Epoch{3}, ~uint64_t{4}, {}};
  batch.records = {
      job.jobs[0].submitted,
      partition::TaskStarted{attempt, VmId("vm-1")},
      partition::TaskRequeued{attempt, placement::AttemptOutcome::kLost, true},
      partition::TaskEnded{attempt.task, TaskState::kFailed, "why"},
      partition::JobCancelled{JobId("p.1")},
      partition::JobForgotten{JobId("p.1")}};
  const std::string value = EncodeBatch(batch);
  const auto decoded = codec::Try([&] { return DecodeBatch(value); });
  REQUIRE(std::holds_alternative<Batch>(decoded));
  const Batch& back = std::get<Batch>(decoded);
  CHECK(back.number == batch.number);
  CHECK(back.epoch == batch.epoch);
  CHECK(back.nonce == batch.nonce);
  CHECK(EncodeBatch(back) == value);
}

TEST_CASE("a loaded journal equals the written one") {
  FakeStore store;
  Process first(store, kSmallOptions);
  CHECK(!first.Load(1).snapshot);
  for (int64_t n = 1; n <= 6; ++n) CHECK(first.Appends<Appended>(n, 1));
  const Snapshot snapshot = MakeSnapshot(4, 20, 7);
  CHECK(first.Saves(1, snapshot));
  CHECK(store.largest_value <= kSmallOptions.chunk_bytes + 100);
  Process second(store, kSmallOptions);
  const JournalLoaded loaded = second.Load(2);
  REQUIRE(loaded.snapshot);
  CHECK(Same(*loaded.snapshot, snapshot));
  REQUIRE(loaded.batches.size() == 2);
  CHECK(loaded.batches.back().number == 6);
}

TEST_CASE("a gang of the largest size fits in values below a megabyte") {
  const Snapshot snapshot = MakeSnapshot(1, 2, kMaxTasksPerJob);
  Snapshot back{1, 3, {}};
  for (const std::string& chunk : EncodeChunks(snapshot, 700'000)) {
    CHECK(chunk.size() < 1'000'000);
    const auto added = codec::Try([&]() -> leaf::result<bool> {
      BOOST_LEAF_CHECK(DecodeChunk(chunk, back));
      return true;
    });
    CHECK(std::holds_alternative<bool>(added));
  }
  CHECK(Same(snapshot, back));
}

// Guards against a stale append that succeeds after its slot was reused: the
// successor's batch of the same number is then no longer in the store.
TEST_CASE(
    "a former owner's append fails however far the journal has advanced") {
  for (int64_t ahead = 1; ahead <= 20; ++ahead) {
    CAPTURE(ahead);
    FakeStore store;
    Process stale(store, kSmallOptions);
    stale.Load(1);
    CHECK(stale.Appends<Appended>(1, 1));
    Process owner(store, kSmallOptions);
    owner.Load(2);
    for (int64_t n = 2; n < 2 + ahead; ++n) {
      CHECK(owner.Appends<Appended>(n, 2));
      CHECK(owner.Saves(2, MakeSnapshot(n, 1, 1)));
    }
    const partition::Event event =
        stale.Call(AppendBatch{{2, Epoch{1}, 5, {}}});
    REQUIRE(std::holds_alternative<AppendFound>(event));
    CHECK(std::get<AppendFound>(event).existing->epoch == Epoch{2});
    CHECK(!stale.Saves(1, MakeSnapshot(1, 1, 1)));
    Process third(store, kSmallOptions);
    CHECK(third.Load(3).snapshot->through == 1 + ahead);
  }
}

TEST_CASE("a batch that a load may need is not replaced") {
  FakeStore store;
  Process process(store, kSmallOptions);
  process.Load(1);
  for (int64_t n = 1; n <= 8; ++n) CHECK(process.Appends<Appended>(n, 1));
  CHECK(process.Appends<AppendUnavailable>(9, 1));
  CHECK(process.Saves(1, MakeSnapshot(5, 1, 1)));
  CHECK(process.Appends<Appended>(9, 1));
}

TEST_CASE("a lost reply is resolved by reading back") {
  FakeStore store;
  Process process(store, kSmallOptions);
  process.Load(1);
  CHECK(process.Appends<Appended>(1, 1));
  store.fault = FakeStore::Fault::kAnswerLost;
  CHECK(process.Appends<AppendUnknown>(2, 1));
  auto found = std::get<AppendFound>(process.Call(ReadBack{Epoch{1}, 2}));
  REQUIRE(found.existing);
  CHECK(found.existing->nonce == 9);
  CHECK(process.Appends<Appended>(3, 1));
  // Once around the ring: the version of slot 2 is known from reading back.
  CHECK(process.Saves(1, MakeSnapshot(3, 1, 1)));
  for (int64_t n = 4; n <= 11; ++n) CHECK(process.Appends<Appended>(n, 1));
  found = std::get<AppendFound>(process.Call(ReadBack{Epoch{1}, 12}));
  CHECK(!found.existing);
  store.fault = FakeStore::Fault::kRefused;
  CHECK(process.Appends<AppendUnavailable>(12, 1));
}

TEST_CASE("a manifest whose reply was lost is recognized as written") {
  FakeStore store;
  Process process(store, kSmallOptions);
  process.Load(1);
  CHECK(process.Appends<Appended>(1, 1));
  const Snapshot empty{1, 1, {}};
  store.fault = FakeStore::Fault::kAnswerLost;
  CHECK(process.Saves(1, empty));
  CHECK(process.Load(1).snapshot->through == 1);
}

TEST_CASE("older chunks are removed, but not by a former owner") {
  FakeStore store;
  Process stale(store, kSmallOptions);
  stale.Load(1);
  CHECK(stale.Appends<Appended>(1, 1));
  CHECK(stale.Saves(1, MakeSnapshot(1, 40, 3)));
  Process owner(store, kSmallOptions);
  owner.Load(2);
  CHECK(owner.Appends<Appended>(2, 2));
  CHECK(owner.Saves(2, MakeSnapshot(2, 3, 3)));
  CHECK(!stale.Saves(1, MakeSnapshot(1, 40, 3)));
  CHECK(owner.Appends<Appended>(3, 2));
  CHECK(owner.Saves(2, MakeSnapshot(3, 3, 3)));
  Process third(store, kSmallOptions);
  CHECK(third.Load(3).snapshot->through == 3);
  int64_t kept = 0;
  for (const auto& [key, entry] : store.entries) {
    kept += key.starts_with(SnapshotPrefix(kPartition)) ? 1 : 0;
  }
  CHECK(kept == 2);  // The manifest and one chunk.
}

SilenceRecord MakeSilence(int64_t epoch) {
  return {Epoch{epoch}, {{VmId("vm-1"), Duration(epoch)}, {VmId("vm-2"), {}}}};
}

std::optional<SilenceRecord> Read(Process& process, int64_t epoch) {
  const auto read =
      std::get<SilenceRead>(process.Call(ReadSilence{Epoch{epoch}}));
  CHECK(read.ok);
  return read.record;
}

bool Writes(Process& process, const SilenceRecord& record) {
  return std::get<SilenceWritten>(process.Call(WriteSilence{record})).ok;
}

TEST_CASE("a silence record that was read equals the written one") {
  FakeStore store;
  Process process(store, kSmallOptions);
  CHECK_FALSE(Read(process, 1));
  REQUIRE(Writes(process, MakeSilence(1)));
  CHECK(Read(process, 1) == MakeSilence(1));
  store.entries[SilenceKey(kPartition)].value = "{";
  CHECK_FALSE(Read(process, 1));
  CHECK(Writes(process, MakeSilence(2)));
}

// Guards against a silence record that stays behind what its owner does, and
// against one that a former owner writes late.
TEST_CASE(
    "a silence record is replaced after a lost answer, never a later one") {
  FakeStore store;
  Process former(store, kSmallOptions);
  Read(former, 1);
  store.fault = FakeStore::Fault::kAnswerLost;
  CHECK_FALSE(Writes(former, MakeSilence(1)));
  CHECK_FALSE(Writes(former, MakeSilence(1)));
  CHECK(Writes(former, MakeSilence(1)));
  Process successor(store, kSmallOptions);
  CHECK(Read(successor, 2) == MakeSilence(1));
  REQUIRE(Writes(successor, MakeSilence(2)));
  for (int i = 0; i < 2; ++i) CHECK_FALSE(Writes(former, MakeSilence(1)));
  CHECK(Read(successor, 2) == MakeSilence(2));
}

}  // namespace
}  // namespace azurepass::journal
