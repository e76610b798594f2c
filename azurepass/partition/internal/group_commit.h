// Group commit: one write of the journal in flight, the next batch gathers
// meanwhile.
//
// What makes a write's outcome certain. A batch is written under the next
// number, which can be written only once. After an answer that tells nothing
// the write may still be under way, so neither "nothing is there" nor a later
// clean failure shows that it will not land. From then on the batch is frozen:
// it is written again with the same content until the number is found taken.
// Found with our epoch and nonce, it is ours whichever write it was; found with
// another's, ours can never land. Only a batch all of whose writes certainly
// failed is dissolved, so that its records may be withdrawn.
//
// Records have sequence numbers in the order they were added. A record that is
// in no batch can be withdrawn.

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

struct Sequence {
  int64_t value = 0;
  auto operator<=>(const Sequence&) const = default;
};

struct SequencedRecord {
  Sequence sequence;
  Record record;
};

// A batch that is appended for certain.
struct Committed {
  Batch batch;
  std::vector<Sequence> sequences;  // Of its records, in order.
};
// The batch in flight can never be appended: `there` holds its number.
struct Superseded {
  Batch there;
};
// Nothing is known yet.
struct Unsettled {};
using AppendOutcome = std::variant<Committed, Superseded, Unsettled>;

class GroupCommit {
 public:
  // `retry_seed` spreads the retries of many owners.
  GroupCommit(const Options& options, uint64_t retry_seed);

  // Starts anew: the next batch gets `next_number`, and is written even when
  // it has no records.
  void Begin(Epoch epoch, uint64_t nonce, int64_t next_number);
  // For tests: leaves out the write without records.
  void SkipFirst();

  Sequence Add(Record record);
  // False when the record is in a batch, and may therefore be appended.
  bool Withdraw(Sequence sequence);
  // True when a record is neither withdrawn nor part of a written batch.
  bool IsWaiting(Sequence sequence) const;

  // The next write or read that is due, to be carried out now.
  std::optional<Action> Next(MonotonicTime now);
  // When Next will have something without any further call.
  std::optional<MonotonicTime> NextWake() const;

  // Answers; those to another number than the one in flight tell nothing.
  AppendOutcome OnAppended(const Appended& answer);
  AppendOutcome OnFound(const AppendFound& answer, MonotonicTime now);
  void OnUnknown(const AppendUnknown& answer, MonotonicTime now);
  void OnUnavailable(const AppendUnavailable& answer, MonotonicTime now);

  // Asks for a write that begins from now on, with or without records. Once the
  // batch of the number returned is appended, we were the owner at some moment
  // after this call.
  int64_t RequireWrite();

  // True when the latest write or read failed, so that nobody can say when a
  // record added now would be appended.
  bool stalled() const { return failures_ > 0; }

  // True when all that was added is settled.
  bool idle() const;
  // Records added and not settled.
  int64_t unsettled() const;
  int64_t next_number() const { return next_number_; }

 private:
  struct Quiet {};
  struct Writing {};  // A write is in flight.
  struct Reading {};  // A read is in flight.
  // To be read back, or when `write`, written again, at that time.
  struct Paused {
    MonotonicTime until;
    bool write = false;
  };
  using State = std::variant<Quiet, Writing, Reading, Paused>;

  bool InFlight(Epoch epoch, int64_t number) const;
  void FillBatch();
  void DissolveBatch();
  Committed TakeCommitted();
  Duration NextDelay();

  const Duration spacing_;
  const int64_t batch_records_;
  const bool trust_empty_;  // Testing::trust_empty_read_back.
  uint64_t retry_bits_;

  std::deque<SequencedRecord> waiting_;  // By sequence.
  int64_t last_sequence_ = 0;

  // Invariant: batch_ has a value unless state_ is Quiet; its records and
  // sequences_ have the same length.
  State state_ = Quiet{};
  std::optional<Batch> batch_;
  std::vector<Sequence> sequences_;
  bool frozen_ = false;  // A write of batch_ may have happened.

  Epoch epoch_;
  uint64_t nonce_ = 0;
  int64_t next_number_ = 1;
  // A write is required, also of a batch without records. Invariant: as long as
  // no batch is appended after RequireWrite, this is set, or
  // in_flight_required_ of the batch under way.
  bool write_empty_ = false;
  bool in_flight_required_ = false;
  MonotonicTime earliest_{};  // Of the next write.
  int failures_ = 0;          // Since the last answer that settled something.
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_GROUP_COMMIT_H_
