// The journal of a partition as values of the store, and the task that carries
// out an owner's LoadJournal, AppendBatch, ReadBack and WriteSnapshot.
//
// Keys, all below one prefix for each partition:
//
//   journal/PARTITION/SLOT                  one batch; SLOT = number % slots
//   snapshot/PARTITION/manifest             which snapshot counts
//   snapshot/PARTITION/EPOCH-THROUGH/INDEX  its chunks
//
// The fence. An owner may append batch n only if nobody else has. Created under
// a key of its own, n would have to stay in the store for ever: once compacted
// away, a former owner that was paused at n - 1 could create it again. Kept in
// a ring of slots, n replaces batch n - slots by compare-and-swap on the
// version that its writer saw there. Versions are never used again, so:
//   * if anybody wrote n, or any later batch of that slot, the version differs,
//     and the write fails, however late it comes;
//   * nothing is ever deleted, which saves one of two writes for each batch.
// The price: n may be written only when batch n - slots is no longer needed,
// that is when a snapshot reaches so far. Until then an append is answered as
// unavailable, and a load reads all slots.
//
// Snapshots. Chunks are written first, then the manifest, by compare-and-swap;
// only then are older chunks removed. A manifest is replaced only by one of
// the same or a later epoch that reaches further, so a former owner can't turn
// it back. It removes only chunks of its own or an earlier epoch, so it can't
// take away those that its successor is writing.
//
// Loading reads the manifest, its chunks, and all slots. What is read while
// somebody writes may not fit together; then there is a gap in the numbers, or
// a chunk is missing, and it is read again. A batch that comes after the load
// is met by the first append.

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

// --- Values. Reading them fails with a codec::Error.

std::string EncodeBatch(const partition::Batch& batch);
leaf::result<partition::Batch> DecodeBatch(std::string_view value);

// Which snapshot counts, and how many chunks it has.
struct Manifest {
  Epoch epoch;
  int64_t through = 0;
  int64_t next_job_number = 1;
  int64_t chunks = 0;
};
std::string EncodeManifest(const Manifest& manifest);
leaf::result<Manifest> DecodeManifest(std::string_view value);

// The jobs of a snapshot in values of about `chunk_bytes` at most. A job with
// many tasks is spread over several.
std::vector<std::string> EncodeChunks(const partition::Snapshot& snapshot,
                                      size_t chunk_bytes);
// Adds a chunk's jobs; chunks have to come in order.
leaf::result<void> DecodeChunk(std::string_view value,
                               partition::Snapshot& snapshot);

// --- Keys

struct Options {
  int64_t slots = 512;           // Above an owner's snapshot_every, with room.
  size_t chunk_bytes = 700'000;  // The store holds values up to a megabyte.
  int load_attempts = 3;         // Before LoadFailed.
};
std::string BatchPrefix(const PartitionId& partition);
std::string BatchKey(const PartitionId& partition, int64_t slot);
std::string SnapshotPrefix(const PartitionId& partition);
std::string ManifestKey(const PartitionId& partition);
std::string ChunkKey(const PartitionId& partition, Epoch epoch, int64_t through,
                     int64_t index);

// --- The task

using Request = std::variant<partition::LoadJournal, partition::AppendBatch,
                             partition::ReadBack, partition::WriteSnapshot>;

// Serves the owner of one partition in this process, one ownership after the
// other. Each request is answered with one event to `owner`.
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
