// Formats of the journal. An old record must stay readable: a field that is
// added later gets a default, none is ever renamed.

#include "azurepass/journal/internal/formats.h"

#include <limits>
#include <utility>

namespace azurepass::codec {
namespace {

using partition::Record;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr int32_t kMaxInt32 = std::numeric_limits<int32_t>::max();

enum class RecordKind {
  kSubmitted,
  kStarted,
  kRequeued,
  kEnded,
  kCancelled,
  kForgotten
};
constexpr std::pair<std::string_view, RecordKind> kRecordKinds[] = {
    {"submitted", RecordKind::kSubmitted},
    {"started", RecordKind::kStarted},
    {"requeued", RecordKind::kRequeued},
    {"ended", RecordKind::kEnded},
    {"cancelled", RecordKind::kCancelled},
    {"forgotten", RecordKind::kForgotten}};

constexpr std::pair<std::string_view, placement::AttemptOutcome> kOutcomes[] = {
    {"succeeded", placement::AttemptOutcome::kSucceeded},
    {"failed", placement::AttemptOutcome::kFailed},
    {"stopped", placement::AttemptOutcome::kStopped},
    {"lost", placement::AttemptOutcome::kLost}};

constexpr std::pair<std::string_view, TaskState> kTaskStates[] = {
    {"queued", TaskState::kQueued},       {"running", TaskState::kRunning},
    {"succeeded", TaskState::kSucceeded}, {"failed", TaskState::kFailed},
    {"cancelled", TaskState::kCancelled}, {"expired", TaskState::kExpired},
    {"unknown", TaskState::kUnknown}};

std::string_view OutcomeName(placement::AttemptOutcome outcome) {
  for (const auto& [name, value] : kOutcomes) {
    if (value == outcome) return name;
  }
  return kOutcomes[0].first;
}

int64_t ToMillis(WallTime at) {
  return std::chrono::duration_cast<Duration>(at.time_since_epoch()).count();
}

partition::JobSubmitted ReadSubmitted(ObjectReader& reader) {
  partition::JobSubmitted submitted;
  submitted.job = reader.Name<JobId>("job");
  submitted.team = reader.Name<TeamId>("team");
  submitted.request = reader.Name<RequestId>("req");
  submitted.spec = reader.Object<JobSpec>("spec");
  submitted.accepted = WallTime(Duration(reader.Int("at", 0, kMaxInt, 0)));
  return submitted;
}

void WriteSubmitted(const partition::JobSubmitted& submitted, Json& out) {
  out["job"] = submitted.job.value();
  out["team"] = submitted.team.value();
  out["req"] = submitted.request.value();
  out["spec"] = Write(submitted.spec);
  out["at"] = ToMillis(submitted.accepted);
}

TaskId ReadTask(ObjectReader& reader) {
  TaskId task;
  task.job = reader.Name<JobId>("job");
  task.index = static_cast<int32_t>(reader.Int("task", 0, kMaxTasksPerJob - 1));
  return task;
}

Record ReadRequeued(ObjectReader& reader) {
  partition::TaskRequeued requeued;
  requeued.attempt = ReadAttemptId(reader, "attempt");
  requeued.outcome = reader.Choice("outcome", kOutcomes);
  requeued.from_checkpoint = reader.Bool("ckpt", false);
  return requeued;
}

Record ReadEnded(ObjectReader& reader) {
  partition::TaskEnded ended;
  ended.task = ReadTask(reader);
  ended.state = reader.Choice("state", kTaskStates);
  ended.reason = reader.String("why", "");
  return ended;
}

Json WriteSubmittedRecord(const partition::JobSubmitted& submitted) {
  Json out = {{"r", "submitted"}};
  WriteSubmitted(submitted, out);
  return out;
}

}  // namespace

Record Format<Record>::Read(ObjectReader& reader) {
  switch (reader.Choice("r", kRecordKinds)) {
    case RecordKind::kSubmitted:
      return ReadSubmitted(reader);
    case RecordKind::kStarted: {
      partition::TaskStarted started;
      started.attempt = ReadAttemptId(reader, "attempt");
      started.vm = reader.Name<VmId>("vm");
      return started;
    }
    case RecordKind::kRequeued:
      return ReadRequeued(reader);
    case RecordKind::kEnded:
      return ReadEnded(reader);
    case RecordKind::kCancelled:
      return partition::JobCancelled{reader.Name<JobId>("job")};
    case RecordKind::kForgotten:
      return partition::JobForgotten{reader.Name<JobId>("job")};
  }
  return partition::JobForgotten{};
}

Json Format<Record>::Write(const Record& value) {
  return std::visit(
      Visitor{[](const partition::JobSubmitted& r) {
                return WriteSubmittedRecord(r);
              },
              [](const partition::TaskStarted& r) -> Json {
                return {{"r", "started"},
                        {"attempt", ToString(r.attempt)},
                        {"vm", r.vm.value()}};
              },
              [](const partition::TaskRequeued& r) -> Json {
                return {{"r", "requeued"},
                        {"attempt", ToString(r.attempt)},
                        {"outcome", OutcomeName(r.outcome)},
                        {"ckpt", r.from_checkpoint}};
              },
              [](const partition::TaskEnded& r) -> Json {
                return {{"r", "ended"},
                        {"job", r.task.job.value()},
                        {"task", r.task.index},
                        {"state", TaskStateName(r.state)},
                        {"why", r.reason}};
              },
              [](const partition::JobCancelled& r) -> Json {
                return {{"r", "cancelled"}, {"job", r.job.value()}};
              },
              [](const partition::JobForgotten& r) -> Json {
                return {{"r", "forgotten"}, {"job", r.job.value()}};
              }},
      value);
}

// A nonce is a full unsigned number, which JSON readers may not keep: text.
partition::Batch Format<partition::Batch>::Read(ObjectReader& reader) {
  partition::Batch batch;
  batch.number = reader.Int("n", 1, kMaxInt);
  batch.epoch = Epoch{reader.Int("epoch", 0, kMaxInt)};
  batch.nonce = std::strtoull(reader.String("nonce").c_str(), nullptr, 16);
  batch.records = reader.Objects<Record>("records");
  return batch;
}

Json Format<partition::Batch>::Write(const partition::Batch& value) {
  constexpr int kNonceBytes = 24;
  char nonce[kNonceBytes];
  std::snprintf(nonce, sizeof(nonce), "%llx",
                static_cast<unsigned long long>(value.nonce));
  return {{"n", value.number},
          {"epoch", value.epoch.value},
          {"nonce", nonce},
          {"records", WriteAll(value.records)}};
}

partition::TaskSnapshot Format<partition::TaskSnapshot>::Read(
    ObjectReader& reader) {
  partition::TaskSnapshot task;
  task.state = reader.Choice("s", kTaskStates);
  task.vm = reader.Name<VmId>("vm", VmId());
  task.attempt = static_cast<int32_t>(reader.Int("a", 0, kMaxInt32, 0));
  task.attempts = static_cast<int32_t>(reader.Int("n", 0, kMaxInt32, 0));
  task.failures = static_cast<int32_t>(reader.Int("f", 0, kMaxInt32, 0));
  task.from_checkpoint = reader.Bool("ckpt", false);
  task.reason = reader.String("why", "");
  return task;
}

Json Format<partition::TaskSnapshot>::Write(
    const partition::TaskSnapshot& value) {
  Json out = {{"s", TaskStateName(value.state)}};
  if (!value.vm.empty()) out["vm"] = value.vm.value();
  if (value.attempt != 0) out["a"] = value.attempt;
  if (value.attempts != 0) out["n"] = value.attempts;
  if (value.failures != 0) out["f"] = value.failures;
  if (value.from_checkpoint) out["ckpt"] = true;
  if (!value.reason.empty()) out["why"] = value.reason;
  return out;
}

partition::JobSnapshot Format<partition::JobSnapshot>::Read(
    ObjectReader& reader) {
  partition::JobSnapshot job;
  job.submitted = ReadSubmitted(reader);
  job.cancelled = reader.Bool("cancelled", false);
  job.tasks = reader.Objects<partition::TaskSnapshot>("tasks");
  return job;
}

Json Format<partition::JobSnapshot>::Write(
    const partition::JobSnapshot& value) {
  Json out = {{"cancelled", value.cancelled}, {"tasks", WriteAll(value.tasks)}};
  WriteSubmitted(value.submitted, out);
  return out;
}

journal::internal::Chunk Format<journal::internal::Chunk>::Read(
    ObjectReader& reader) {
  return {reader.Objects<partition::JobSnapshot>("jobs")};
}

Json Format<journal::internal::Chunk>::Write(
    const journal::internal::Chunk& value) {
  return {{"jobs", WriteAll(value.jobs)}};
}

journal::internal::Manifest Format<journal::internal::Manifest>::Read(
    ObjectReader& reader) {
  journal::internal::Manifest manifest;
  manifest.through = reader.Int("through", 0, kMaxInt);
  manifest.next_job_number = reader.Int("next_job", 1, kMaxInt);
  manifest.id = reader.String("id");
  manifest.chunks = reader.Int("chunks", 0, kMaxInt);
  return manifest;
}

Json Format<journal::internal::Manifest>::Write(
    const journal::internal::Manifest& value) {
  return {{"through", value.through},
          {"next_job", value.next_job_number},
          {"id", value.id},
          {"chunks", value.chunks}};
}

}  // namespace azurepass::codec

namespace azurepass::journal {
namespace {

// What a chunk costs beside its jobs.
constexpr int64_t kChunkOverheadBytes = 16;

codec::ParseLimits StoreLimits() {
  codec::ParseLimits limits;
  limits.max_bytes = size_t{4} << 20;
  return limits;
}

}  // namespace

std::string EncodeBatch(const partition::Batch& batch) {
  return codec::Write(batch).dump();
}

std::optional<partition::Batch> DecodeBatch(std::string_view text) {
  auto batch = codec::Try(
      [&] { return codec::Decode<partition::Batch>(text, StoreLimits()); });
  if (auto* decoded = std::get_if<partition::Batch>(&batch)) {
    return std::move(*decoded);
  }
  return std::nullopt;
}

// Jobs are put together as text, so that none is encoded twice.
std::vector<std::string> EncodeSnapshot(const partition::Snapshot& snapshot,
                                        int64_t max_chunk_bytes) {
  std::vector<std::string> chunks;
  std::string jobs;
  const auto close = [&] {
    chunks.push_back("{\"jobs\":[" + jobs + "]}");
    jobs.clear();
  };
  for (const partition::JobSnapshot& job : snapshot.jobs) {
    const std::string text = codec::Write(job).dump();
    const auto size = static_cast<int64_t>(jobs.size() + text.size());
    if (!jobs.empty() && size + kChunkOverheadBytes > max_chunk_bytes) close();
    if (!jobs.empty()) jobs += ',';
    jobs += text;
  }
  if (!jobs.empty()) close();
  return chunks;
}

std::optional<partition::Snapshot> DecodeSnapshot(
    int64_t through, int64_t next_job_number,
    const std::vector<std::string>& chunks) {
  partition::Snapshot snapshot{through, next_job_number, {}};
  for (const std::string& text : chunks) {
    auto chunk = codec::Try(
        [&] { return codec::Decode<internal::Chunk>(text, StoreLimits()); });
    auto* decoded = std::get_if<internal::Chunk>(&chunk);
    if (decoded == nullptr) return std::nullopt;
    std::move(decoded->jobs.begin(), decoded->jobs.end(),
              std::back_inserter(snapshot.jobs));
  }
  return snapshot;
}

}  // namespace azurepass::journal
