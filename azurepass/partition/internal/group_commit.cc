// Implementation of GroupCommit.

#include "azurepass/partition/internal/group_commit.h"

#include <algorithm>
#include <utility>

namespace azurepass::partition::internal {
namespace {

constexpr Duration kFirstRetryDelay{100};
constexpr Duration kMaxRetryDelay{2'000};
constexpr int kMaxDoublings = 6;

// One step of a linear congruential generator (Knuth, MMIX).
uint64_t NextBits(uint64_t bits) {
  return bits * 6364136223846793005ULL + 1442695040888963407ULL;
}

}  // namespace

GroupCommit::GroupCommit(const Options& options, uint64_t retry_seed)
    : append_spacing_(options.append_spacing),
      max_batch_records_(options.max_batch_records),
      trust_empty_read_back_(options.testing.trust_empty_read_back),
      retry_bits_(retry_seed) {}

void GroupCommit::Begin(Epoch epoch, uint64_t nonce, int64_t next_number) {
  waiting_.clear();
  state_ = NoBatch{};
  batch_.reset();
  sequences_.clear();
  frozen_ = false;
  epoch_ = epoch;
  nonce_ = nonce;
  next_number_ = next_number;
  write_required_ = true;
  failures_ = 0;
}

void GroupCommit::SkipFirstWrite() { write_required_ = false; }

Sequence GroupCommit::Add(Record record) {
  const Sequence sequence{++last_sequence_};
  waiting_.push_back({sequence, std::move(record)});
  return sequence;
}

bool GroupCommit::IsWaiting(Sequence sequence) const {
  return std::binary_search(
      waiting_.begin(), waiting_.end(), SequencedRecord{sequence, {}},
      [](const auto& a, const auto& b) { return a.sequence < b.sequence; });
}

bool GroupCommit::Withdraw(Sequence sequence) {
  auto found = std::lower_bound(
      waiting_.begin(), waiting_.end(), sequence,
      [](const auto& entry, Sequence s) { return entry.sequence < s; });
  if (found == waiting_.end() || found->sequence != sequence) return false;
  waiting_.erase(found);
  return true;
}

std::optional<Action> GroupCommit::Next(MonotonicTime now) {
  if (const auto* paused = std::get_if<Paused>(&state_)) {
    if (now < paused->until) return std::nullopt;
    if (!paused->write) {
      state_ = Reading{};
      return ReadBack{epoch_, batch_->number};
    }
  } else if (!std::holds_alternative<NoBatch>(state_) ||
             now < earliest_write_ || (waiting_.empty() && !write_required_)) {
    return std::nullopt;
  }
  if (!batch_) FillBatch();
  state_ = Writing{};
  earliest_write_ = now + append_spacing_;
  return AppendBatch{*batch_};
}

std::optional<MonotonicTime> GroupCommit::NextWake() const {
  if (const auto* paused = std::get_if<Paused>(&state_)) return paused->until;
  const bool wants_write = !waiting_.empty() || write_required_;
  if (std::holds_alternative<NoBatch>(state_) && wants_write)
    return earliest_write_;
  return std::nullopt;
}

AppendOutcome GroupCommit::OnAppended(const Appended& answer) {
  if (!IsInFlight(answer.epoch, answer.number)) return Unsettled{};
  return TakeCommitted();
}

AppendOutcome GroupCommit::OnFound(const AppendFound& answer,
                                   MonotonicTime now) {
  if (!IsInFlight(answer.epoch, answer.number)) return Unsettled{};
  if (!answer.existing && trust_empty_read_back_) {
    DissolveBatch();
    frozen_ = false;
    state_ = NoBatch{};
    return Unsettled{};
  }
  if (!answer.existing) {
    // The read found no entry, but the write may still be under way, so the
    // same batch is written again.
    state_ = Paused{now, /*write=*/true};
    return Unsettled{};
  }
  if (answer.existing->epoch == epoch_ && answer.existing->nonce == nonce_ &&
      answer.existing->number == batch_->number) {
    return TakeCommitted();
  }
  return Superseded{*answer.existing};
}

void GroupCommit::OnUnknown(const AppendUnknown& answer, MonotonicTime now) {
  if (!IsInFlight(answer.epoch, answer.number)) return;
  frozen_ = true;
  state_ = Paused{now + NextDelay(), /*write=*/false};
}

void GroupCommit::OnUnavailable(const AppendUnavailable& answer,
                                MonotonicTime now) {
  if (!IsInFlight(answer.epoch, answer.number)) return;
  const MonotonicTime until = now + NextDelay();
  if (frozen_) {
    state_ = Paused{until, /*write=*/false};
    return;
  }
  DissolveBatch();
  state_ = NoBatch{};
  earliest_write_ = std::max(earliest_write_, until);
}

int64_t GroupCommit::RequireWrite() {
  write_required_ = true;
  return next_number_ + (batch_ ? 1 : 0);
}

bool GroupCommit::idle() const {
  return waiting_.empty() && !batch_ && !write_required_;
}

int64_t GroupCommit::unsettled() const {
  return std::ssize(waiting_) + std::ssize(sequences_);
}

bool GroupCommit::IsInFlight(Epoch epoch, int64_t number) const {
  const bool awaits_reply = std::holds_alternative<Writing>(state_) ||
                            std::holds_alternative<Reading>(state_);
  return awaits_reply && epoch == epoch_ && batch_->number == number;
}

void GroupCommit::FillBatch() {
  batch_ = Batch{next_number_, epoch_, nonce_, {}};
  while (!waiting_.empty() &&
         std::ssize(batch_->records) < max_batch_records_) {
    sequences_.push_back(waiting_.front().sequence);
    batch_->records.push_back(std::move(waiting_.front().record));
    waiting_.pop_front();
  }
  in_flight_write_required_ = std::exchange(write_required_, false);
}

void GroupCommit::DissolveBatch() {
  // The records may be withdrawn from now on. A required write is still
  // required.
  write_required_ = write_required_ || in_flight_write_required_;
  for (size_t i = sequences_.size(); i-- > 0;) {
    waiting_.push_front({sequences_[i], std::move(batch_->records[i])});
  }
  sequences_.clear();
  batch_.reset();
}

Committed GroupCommit::TakeCommitted() {
  Committed committed{*std::move(batch_), std::move(sequences_)};
  batch_.reset();
  sequences_.clear();
  frozen_ = false;
  failures_ = 0;
  next_number_ = committed.batch.number + 1;
  state_ = NoBatch{};
  return committed;
}

// Returns the delay before the next retry. It doubles with each failure. It is
// reduced by a random amount of up to half, so that owners do not all return to
// the store at the same time.
Duration GroupCommit::NextDelay() {
  const int doublings = std::min(failures_++, kMaxDoublings);
  const Duration full =
      std::min(kMaxRetryDelay, kFirstRetryDelay * (1 << doublings));
  retry_bits_ = NextBits(retry_bits_);
  const int64_t half = full.count() / 2;
  return Duration(half + static_cast<int64_t>((retry_bits_ >> 33) %
                                              static_cast<uint64_t>(half + 1)));
}

}  // namespace azurepass::partition::internal
