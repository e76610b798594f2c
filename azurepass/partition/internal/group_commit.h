// Group commit for the journal: one write is in flight while the next batch
// collects records.
//
// How the outcome of a write becomes certain. A batch is written under the next
// number, and an entry with that number can be created only once. After an
// answer that leaves the outcome open, the write may still be under way. So
// neither an empty read nor a later definite failure shows that it will not
// take effect. From then on the batch is frozen: it is written again with the
// same content until an entry with the number exists. If that entry has our
// epoch and nonce, the batch is appended, whichever of the writes succeeded. If
// it is of another writer, ours can never be appended. Only a batch all of
// whose writes certainly failed is dissolved, and its records may be withdrawn
// again.
//
// Records have sequence numbers in the order in which they were added. A record
// that is in no batch can be withdrawn.

#ifndef AZUREPASS_PARTITION_INTERNAL_GROUP_COMMIT_H_
#define AZUREPASS_PARTITION_INTERNAL_GROUP_COMMIT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"

namespace azurepass::partition::internal {

// Position of a record in the order of addition.
struct Sequence {
  int64_t value = 0;
  auto operator<=>(const Sequence&) const = default;
};

struct SequencedRecord {
  Sequence sequence;
  Record record;
};

// The batch is certainly appended.
struct Committed {
  Batch batch;
  std::vector<Sequence> sequences;  // Of its records, in order.
};
// The batch in flight can never be appended, because `existing` has its number.
struct Superseded {
  Batch existing;
};
// The outcome is not known yet.
struct Unsettled {};
using AppendOutcome = std::variant<Committed, Superseded, Unsettled>;

class GroupCommit {
 public:
  // `retry_seed` seeds the jitter that spreads the retries of many owners.
  GroupCommit(const Options& options, uint64_t retry_seed);

  // Resets the state. The next batch gets `next_number` and is written even if
  // it has no records.
  void Begin(Epoch epoch, uint64_t nonce, int64_t next_number);
  // Clears the requirement to write a batch without records, which Begin sets.
  // For tests only.
  void SkipFirstWrite();

  // Adds a record to the next batch.
  Sequence Add(Record record);
  // Removes a record that is in no batch. Returns false if the record is in a
  // batch and may therefore be appended.
  bool Withdraw(Sequence sequence);
  // Returns true if the record is neither withdrawn nor part of a batch.
  bool IsWaiting(Sequence sequence) const;

  // Returns the next write or read if one is due. The caller carries it out at
  // once.
  std::optional<Action> Next(MonotonicTime now);
  // Returns the time at which Next will return an action if nothing else is
  // called before.
  std::optional<MonotonicTime> NextWake() const;

  // Handle the answers. An answer that is not for the number in flight is
  // ignored.
  AppendOutcome OnAppended(const Appended& answer);
  AppendOutcome OnFound(const AppendFound& answer, MonotonicTime now);
  void OnUnknown(const AppendUnknown& answer, MonotonicTime now);
  void OnUnavailable(const AppendUnavailable& answer, MonotonicTime now);

  // Requires a write that begins after this call, with or without records. Once
  // the batch with the returned number is appended, this process was certainly
  // the owner at some time after the call.
  int64_t RequireWrite();

  // Returns true if the latest write or read failed, so that the time at which
  // a new record would be appended is unknown.
  bool stalled() const { return failures_ > 0; }

  // Returns true if all added records are settled and no write is required.
  bool idle() const;
  // Returns the number of records that were added and are not settled.
  int64_t unsettled() const;
  int64_t next_number() const { return next_number_; }

 private:
  struct NoBatch {};  // No batch is in flight.
  struct Writing {};  // A write is in flight.
  struct Reading {};  // A read is in flight.
  // Waits until `until` to read the entry back or, if `write` is set, to write
  // the batch again.
  struct Paused {
    MonotonicTime until;
    bool write = false;
  };
  using State = std::variant<NoBatch, Writing, Reading, Paused>;

  bool IsInFlight(Epoch epoch, int64_t number) const;
  void FillBatch();
  void DissolveBatch();
  Committed TakeCommitted();
  Duration NextDelay();

  const Duration append_spacing_;
  const int64_t max_batch_records_;
  const bool trust_empty_read_back_;  // Testing::trust_empty_read_back.
  uint64_t retry_bits_;

  std::deque<SequencedRecord> waiting_;  // In order of sequence.
  int64_t last_sequence_ = 0;

  // Invariant: batch_ has a value unless state_ is NoBatch. Its records and
  // sequences_ have the same length.
  State state_ = NoBatch{};
  std::optional<Batch> batch_;
  std::vector<Sequence> sequences_;
  bool frozen_ = false;  // A write of batch_ may have happened.

  Epoch epoch_;
  uint64_t nonce_ = 0;
  int64_t next_number_ = 1;
  // A write is required, even of a batch without records. Invariant: as long as
  // no batch has been appended since RequireWrite, this flag is set, or
  // in_flight_write_required_ is set for the batch in flight.
  bool write_required_ = false;
  bool in_flight_write_required_ = false;
  MonotonicTime earliest_write_{};
  int failures_ = 0;  // Since the last answer that settled a batch.
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_GROUP_COMMIT_H_
