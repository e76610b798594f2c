// The journal of a partition as values in the store, and the task that carries
// out an owner's LoadJournal, AppendBatch, ReadBack and WriteSnapshot.
//
// Keys; all keys of a partition share its prefixes:
//
//   journal/PARTITION/SLOT                  one batch; SLOT = number % slots
//   snapshot/PARTITION/manifest             names the current snapshot
//   snapshot/PARTITION/EPOCH-THROUGH/INDEX  its chunks
//
// The fence. An owner may append batch n only if nobody else has appended it.
// If batch n were created under a key of its own, it would have to stay in the
// store forever: once it is removed by compaction, a former owner that was
// paused at n - 1 could create it again. Batches are therefore kept in a ring
// of slots. Batch n replaces batch n - slots by compare-and-swap on the version
// that its writer saw there. Versions are never reused, so:
//   * if anybody wrote n, or any later batch of that slot, the version differs,
//     and the write fails, however late it arrives;
//   * nothing is ever deleted, which saves one of two writes for each batch.
// The cost is that n may be written only when batch n - slots is no longer
// needed, that is, when a snapshot covers it. Until then an append is answered
// with AppendUnavailable. A load has to read all slots.
//
// Snapshots. The chunks are written first, then the manifest, by
// compare-and-swap; older chunks are removed only after that. A manifest is
// replaced only by one of the same or a later epoch that covers more batches,
// so a former owner can't revert it. A writer removes only chunks of its own or
// an earlier epoch, so it can't remove those that its successor is writing.
//
// The silence record is one value, replaced by compare-and-swap. A conflict
// tells whether an earlier write of this owner was late, so that the next one
// replaces that; the record of a later owner is never replaced.
//
// Loading reads the manifest, its chunks, and all slots. If another process
// writes in the meantime, what is read may be inconsistent: there is a gap in
// the numbers, or a chunk is missing. Then the load is repeated. A batch that
// is written after the load makes the first append fail with a conflict.

#ifndef AZUREPASS_JOURNAL_JOURNAL_H_
#define AZUREPASS_JOURNAL_JOURNAL_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::journal {

namespace leaf = boost::leaf;

// --- Values. The Decode functions fail with a codec::Error.

std::string EncodeBatch(const partition::Batch& batch);
leaf::result<partition::Batch> DecodeBatch(std::string_view value);

// Identifies the current snapshot.
struct Manifest {
  Epoch epoch;
  int64_t through = 0;
  int64_t next_job_number = 1;
  int64_t chunks = 0;
};
std::string EncodeManifest(const Manifest& manifest);
leaf::result<Manifest> DecodeManifest(std::string_view value);

// Encodes the workflows and jobs of a snapshot as values of at most about
// `chunk_bytes`. A job with many tasks is split over several values.
std::vector<std::string> EncodeChunks(const partition::Snapshot& snapshot,
                                      size_t chunk_bytes);
// Adds the workflows and jobs of a chunk to `snapshot`. Chunks must be passed
// in order.
leaf::result<void> DecodeChunk(std::string_view value,
                               partition::Snapshot& snapshot);

std::string EncodeSilence(const partition::SilenceRecord& record);
leaf::result<partition::SilenceRecord> DecodeSilence(std::string_view value);

// --- Keys

struct Options {
  int64_t slots = 512;           // Well above an owner's snapshot_every.
  size_t chunk_bytes = 700'000;  // The store holds values up to a megabyte.
  int load_attempts = 3;         // Before LoadFailed.
};
std::string BatchPrefix(const PartitionId& partition);
std::string BatchKey(const PartitionId& partition, int64_t slot);
std::string SnapshotPrefix(const PartitionId& partition);
std::string ManifestKey(const PartitionId& partition);
std::string ChunkKey(const PartitionId& partition, Epoch epoch, int64_t through,
                     int64_t index);
std::string SilenceKey(const PartitionId& partition);

// --- The task

using Request = std::variant<partition::LoadJournal, partition::AppendBatch,
                             partition::ReadBack, partition::WriteSnapshot,
                             partition::ReadSilence, partition::WriteSilence>;

// Serves the owner of one partition in this process, across consecutive
// ownerships. Answers each request with one event to `owner`.
class Writer {
 public:
  Writer(task::Loop& loop, Options options, PartitionId partition,
         task::Address<store::Request> store,
         task::Address<partition::Event> owner);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  task::Address<Request> address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::journal

#endif  // AZUREPASS_JOURNAL_JOURNAL_H_
