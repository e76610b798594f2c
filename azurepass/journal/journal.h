// A partition's journal and snapshots as values in the platform's store, and
// the task that reads and writes them for a partition::Owner.
//
// Layout
//
//   journal/PARTITION/SLOT           the batch whose number is SLOT modulo
//                                    kSlots and that was written last
//   snapshot/PARTITION/manifest      which snapshot counts
//   snapshot/PARTITION/ID/CHUNK      its parts, each below kMaxValueBytes
//
// The journal is a ring, and batch n is written by compare-and-swap on the
// version under which its slot held batch n - kSlots (no key at first). The
// argument for the fence:
//   * A writer that is up to date knows that version: it read the slot, or it
//     wrote it.
//   * A writer that was overtaken holds an older version of the slot, however
//     long ago that was, so its write fails. Nothing is ever deleted, so that
//     there is no moment at which an old number is free again, and no deletes
//     are paid for.
//   * A slot is only written over when a snapshot covers what it held; until
//     then the append is answered as unavailable.
//
// A manifest is changed by compare-and-swap too, after its chunks are written
// under names that no other writer uses. Chunks of former owners that no
// manifest names are removed once an owner's own manifest is in force.
//
// Reading is not atomic over several values. A load that overlaps a former
// owner's writes may show a gap, which the Owner notices and loads again.
//
// Usage: one Writer for each ownership; send it the Owner's actions, it answers
// with the Owner's events, each exactly once.

#ifndef AZUREPASS_JOURNAL_JOURNAL_H_
#define AZUREPASS_JOURNAL_JOURNAL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::journal {

// Batches that the ring holds.
inline constexpr int64_t kSlots = 1'024;

// Of one value of a snapshot; the store takes 2^20 bytes.
inline constexpr int64_t kMaxChunkBytes = 900'000;

// "journal/PARTITION/" and the slot's key below it.
std::string SlotPrefix(const PartitionId& partition);
std::string SlotKey(const PartitionId& partition, int64_t number);
// "snapshot/PARTITION/" and the manifest's key below it.
std::string SnapshotPrefix(const PartitionId& partition);
std::string ManifestKey(const PartitionId& partition);

// A batch as a store value and back; empty when the text is not one.
std::string EncodeBatch(const partition::Batch& batch);
std::optional<partition::Batch> DecodeBatch(std::string_view text);

// A snapshot as the values of its chunks and back.
std::vector<std::string> EncodeSnapshot(const partition::Snapshot& snapshot,
                                        int64_t max_chunk_bytes);
std::optional<partition::Snapshot> DecodeSnapshot(
    int64_t through, int64_t next_job_number,
    const std::vector<std::string>& chunks);

using Request = std::variant<partition::LoadJournal, partition::AppendBatch,
                             partition::ReadBack, partition::WriteSnapshot>;

class Writer {
 public:
  Writer(task::Loop& loop, PartitionId partition,
         task::Address<store::Request> store,
         task::Address<partition::Event> owner);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  task::Address<Request> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::journal

#endif  // AZUREPASS_JOURNAL_JOURNAL_H_
