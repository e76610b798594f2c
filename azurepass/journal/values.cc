// The keys of the journal in the store, and the encoding of its values.

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <limits>
#include <utility>

#include "azurepass/journal/internal/record_formats.h"
#include "azurepass/journal/journal.h"

namespace azurepass::journal {
namespace {

using codec::Json;
using partition::Batch;
using partition::JobSnapshot;
using partition::JobSubmitted;
using partition::Record;
using partition::Snapshot;
using partition::TaskSnapshot;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr int64_t kMaxAttempt = std::numeric_limits<int32_t>::max();
constexpr size_t kMaxValueBytes = size_t{1} << 20;
constexpr Duration kMaxStoppedIn = std::chrono::hours(1);
constexpr size_t kTasksPerPiece = 500;

// Returns a fixed width, so that keys sort by number.
std::string Padded(int64_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "%012lld", static_cast<long long>(number));
  return text;
}

}  // namespace
}  // namespace azurepass::journal

namespace azurepass::codec {

template <>
struct Format<partition::Batch> {
  static partition::Batch Read(ObjectReader& reader) {
    partition::Batch batch;
    batch.number = reader.Int("number", 1, journal::kMaxInt);
    batch.epoch = Epoch{reader.Int("epoch", 0, journal::kMaxInt)};
    batch.nonce = static_cast<uint64_t>(reader.Int(
        "nonce", std::numeric_limits<int64_t>::min(), journal::kMaxInt));
    batch.records = reader.Objects<partition::Record>("records");
    return batch;
  }
};

template <>
struct Format<journal::Manifest> {
  static journal::Manifest Read(ObjectReader& reader) {
    journal::Manifest manifest;
    manifest.epoch = Epoch{reader.Int("epoch", 0, journal::kMaxInt)};
    manifest.through = reader.Int("through", 0, journal::kMaxInt);
    manifest.next_job_number =
        reader.Int("next_job_number", 1, journal::kMaxInt);
    manifest.chunks = reader.Int("chunks", 0, journal::kMaxInt);
    return manifest;
  }
};

template <>
struct Format<std::pair<VmId, Duration>> {
  static std::pair<VmId, Duration> Read(ObjectReader& reader) {
    std::pair<VmId, Duration> silent;
    silent.first = reader.Name<VmId>("vm");
    silent.second =
        reader.Millis("stopped_in_ms", Duration(0), journal::kMaxStoppedIn);
    return silent;
  }
  static Json Write(const std::pair<VmId, Duration>& value) {
    return {{"vm", value.first.value()},
            {"stopped_in_ms", value.second.count()}};
  }
};

template <>
struct Format<partition::SilenceRecord> {
  static partition::SilenceRecord Read(ObjectReader& reader) {
    partition::SilenceRecord record;
    record.epoch = Epoch{reader.Int("epoch", 0, journal::kMaxInt)};
    for (auto& silent : reader.Objects<std::pair<VmId, Duration>>("workers")) {
      record.stopped_in.insert(std::move(silent));
    }
    return record;
  }
};

// A consecutive part of a job's tasks. The first piece also holds the job
// itself; the others follow it in order.
struct JobPiece {
  std::optional<partition::JobSubmitted> submitted;  // In the first piece only.
  bool cancelled = false;
  int32_t failed_attempt = 0;
  std::vector<partition::TaskSnapshot> tasks;
};
template <>
struct Format<JobPiece> {
  static JobPiece Read(ObjectReader& reader) {
    JobPiece piece;
    if (reader.Has("submitted")) {
      piece.submitted = reader.Object<partition::JobSubmitted>("submitted");
    }
    piece.cancelled = reader.Bool("cancelled", false);
    piece.failed_attempt = static_cast<int32_t>(
        reader.Int("failed_attempt", 0, journal::kMaxAttempt, 0));
    piece.tasks = reader.Objects<partition::TaskSnapshot>("tasks");
    return piece;
  }
};

// A value of a snapshot. In a sequence of chunks, all workflows come before the
// pieces of the jobs.
struct Chunk {
  std::vector<partition::WorkflowSnapshot> workflows;
  std::vector<JobPiece> pieces;
};
template <>
struct Format<Chunk> {
  static Chunk Read(ObjectReader& reader) {
    Chunk chunk;
    chunk.workflows =
        reader.Objects<partition::WorkflowSnapshot>("workflows", false);
    chunk.pieces = reader.Objects<JobPiece>("jobs", false);
    return chunk;
  }
};

}  // namespace azurepass::codec

namespace azurepass::journal {

std::string EncodeBatch(const Batch& batch) {
  const Json document = {{"number", batch.number},
                         {"epoch", batch.epoch.value},
                         {"nonce", static_cast<int64_t>(batch.nonce)},
                         {"records", codec::WriteAll(batch.records)}};
  return document.dump();
}

leaf::result<Batch> DecodeBatch(std::string_view value) {
  return codec::Decode<Batch>(value, {.max_bytes = kMaxValueBytes});
}

std::string EncodeManifest(const Manifest& manifest) {
  const Json document = {{"epoch", manifest.epoch.value},
                         {"through", manifest.through},
                         {"next_job_number", manifest.next_job_number},
                         {"chunks", manifest.chunks}};
  return document.dump();
}

leaf::result<Manifest> DecodeManifest(std::string_view value) {
  return codec::Decode<Manifest>(value);
}

std::vector<std::string> EncodeChunks(const Snapshot& snapshot,
                                      size_t chunk_bytes) {
  std::vector<std::string> chunks;
  std::string pieces;
  std::string_view list = "workflows";
  const auto flush = [&] {
    if (pieces.empty()) return;
    chunks.push_back("{\"" + std::string(list) + "\":[" +
                     std::exchange(pieces, {}) + "]}");
  };
  const auto add = [&](const Json& piece) {
    const std::string text = piece.dump();
    if (pieces.size() + text.size() > chunk_bytes) flush();
    pieces += (pieces.empty() ? "" : ",") + text;
  };
  for (const partition::WorkflowSnapshot& workflow : snapshot.workflows) {
    add(codec::Write(workflow));
  }
  flush();
  list = "jobs";
  for (const JobSnapshot& job : snapshot.jobs) {
    for (size_t from = 0; from == 0 || from < job.tasks.size();
         from += kTasksPerPiece) {
      Json piece = {{"tasks", Json::array()}};
      if (from == 0) piece["submitted"] = codec::Write(job.submitted);
      if (from == 0 && job.cancelled) piece["cancelled"] = true;
      if (from == 0 && job.failed_attempt > 0) {
        piece["failed_attempt"] = job.failed_attempt;
      }
      for (size_t i = from;
           i < std::min(from + kTasksPerPiece, job.tasks.size()); ++i) {
        piece["tasks"].push_back(codec::Write(job.tasks[i]));
      }
      add(piece);
    }
  }
  flush();
  return chunks;
}

leaf::result<void> DecodeChunk(std::string_view value, Snapshot& snapshot) {
  BOOST_LEAF_AUTO(
      chunk, codec::Decode<codec::Chunk>(value, {.max_bytes = kMaxValueBytes}));
  std::move(chunk.workflows.begin(), chunk.workflows.end(),
            std::back_inserter(snapshot.workflows));
  for (codec::JobPiece& piece : chunk.pieces) {
    if (piece.submitted) {
      snapshot.jobs.push_back({*std::move(piece.submitted),
                               piece.cancelled,
                               {},
                               piece.failed_attempt});
    } else if (snapshot.jobs.empty()) {
      return leaf::new_error(codec::Error{codec::ErrorCode::kMissingField,
                                          "jobs[0].submitted",
                                          "the first piece has no job"});
    }
    std::vector<TaskSnapshot>& tasks = snapshot.jobs.back().tasks;
    tasks.insert(tasks.end(), piece.tasks.begin(), piece.tasks.end());
  }
  return {};
}

std::string EncodeSilence(const partition::SilenceRecord& record) {
  Json workers = Json::array();
  for (const auto& silent : record.stopped_in) {
    workers.push_back(codec::Write(std::pair<VmId, Duration>(silent)));
  }
  const Json document = {{"epoch", record.epoch.value}, {"workers", workers}};
  return document.dump();
}

leaf::result<partition::SilenceRecord> DecodeSilence(std::string_view value) {
  return codec::Decode<partition::SilenceRecord>(value,
                                                 {.max_bytes = kMaxValueBytes});
}

std::string BatchPrefix(const PartitionId& partition) {
  return "journal/" + partition.value() + "/";
}

std::string BatchKey(const PartitionId& partition, int64_t slot) {
  return BatchPrefix(partition) + Padded(slot);
}

std::string SnapshotPrefix(const PartitionId& partition) {
  return "snapshot/" + partition.value() + "/";
}

std::string ManifestKey(const PartitionId& partition) {
  return SnapshotPrefix(partition) + "manifest";
}

std::string ChunkKey(const PartitionId& partition, Epoch epoch, int64_t through,
                     int64_t index) {
  return SnapshotPrefix(partition) + Padded(epoch.value) + "-" +
         Padded(through) + "/" + Padded(index);
}

std::string SilenceKey(const PartitionId& partition) {
  return "silence/" + partition.value();
}

}  // namespace azurepass::journal
