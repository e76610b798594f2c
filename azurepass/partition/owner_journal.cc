// Recovery of the ledger, appends, and the effects of settled appends.

#include <algorithm>
#include <utility>

#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::AppendOutcome;
using internal::Committed;
using internal::Fencing;
using internal::Loading;
using internal::Owning;
using internal::Sequence;
using internal::Superseded;
using internal::Unsettled;

namespace {

constexpr Duration kLoadRetryDelay{250};
constexpr Duration kSnapshotRetryDelay{2'000};

bool IsContiguous(const JournalLoaded& loaded) {
  int64_t next = loaded.snapshot ? loaded.snapshot->through + 1 : 1;
  return std::all_of(
      loaded.batches.begin(), loaded.batches.end(),
      [&](const Batch& batch) { return batch.number == next++; });
}

// Returns the task of the record; empty for records about a job.
std::optional<TaskId> TaskOf(const Record& record) {
  using Result = std::optional<TaskId>;
  return std::visit(
      Visitor{[](const TaskStarted& r) { return Result(r.attempt.task); },
              [](const TaskRequeued& r) { return Result(r.attempt.task); },
              [](const TaskEnded& r) { return Result(r.task); },
              [](const auto&) { return Result(); }},
      record);
}

}  // namespace

void Owner::Impl::On(JournalLoaded event) {
  if (!In<Loading>() || event.epoch != epoch_) return;
  if (!IsContiguous(event)) {
    phase_ = Loading{now_ + kLoadRetryDelay};
    return;
  }
  committed_ = internal::Ledger();
  int64_t last = 0;
  if (event.snapshot) {
    committed_.Load(*event.snapshot);
    last = event.snapshot->through;
  }
  snapshot_through_ = last;
  for (const Batch& batch : event.batches) {
    if (batch.epoch >= epoch_) {
      LoseOwnership("the journal has a later epoch", Effect::kNotRun);
      return;
    }
    for (const Record& record : batch.records) committed_.Apply(record);
    last = batch.number;
  }
  commit_.Begin(epoch_, nonce_, last + 1);
  phase_ = Fencing{};
  if (options_.testing.skip_fencing_append) {
    commit_.SkipFirstWrite();
    BeginOpening();
  }
}

void Owner::Impl::On(LoadFailed event) {
  if (!In<Loading>() || event.epoch != epoch_) return;
  phase_ = Loading{now_ + kLoadRetryDelay};
}

void Owner::Impl::On(Appended event) {
  OnAppendOutcome(commit_.OnAppended(event));
}

void Owner::Impl::On(const AppendFound& event) {
  OnAppendOutcome(commit_.OnFound(event, now_));
}

void Owner::Impl::On(AppendUnknown event) { commit_.OnUnknown(event, now_); }

void Owner::Impl::On(AppendUnavailable event) {
  commit_.OnUnavailable(event, now_);
}

void Owner::Impl::On(SnapshotWritten event) {
  if (event.epoch != epoch_ || !snapshot_in_flight_) return;
  snapshot_in_flight_ = false;
  if (event.ok) {
    snapshot_through_ = std::max(snapshot_through_, event.through);
  } else {
    snapshot_retry_ = now_ + kSnapshotRetryDelay;
  }
}

void Owner::Impl::OnAppendOutcome(AppendOutcome outcome) {
  if (In<internal::Idle>()) return;
  std::visit(
      Visitor{
          [this](Committed& committed) { OnCommitted(std::move(committed)); },
          [this](Superseded& superseded) { OnSuperseded(superseded.existing); },
          [](Unsettled&) {}},
      outcome);
}

void Owner::Impl::OnCommitted(Committed committed) {
  for (const Record& record : committed.batch.records) {
    committed_.Apply(record);
  }
  if (In<Fencing>()) {
    BeginOpening();
    return;
  }
  ProveSessions(committed.batch.number);
  for (size_t i = 0; i < committed.sequences.size(); ++i) {
    OnRecordCommitted(committed.sequences[i], committed.batch.records[i]);
  }
  OrderAppendedStarts();
  if (!committed.sequences.empty()) {
    last_appended_ = committed.sequences.back();
  }
  AcknowledgeAppended();
}

// Until our first append succeeds, a former owner may still append. Its batches
// are part of the journal, so they are applied, and our first append is tried
// under the next number. After our first append no owner of a lower epoch can
// append.
void Owner::Impl::OnSuperseded(const Batch& existing) {
  if (!In<Fencing>() || existing.epoch >= epoch_) {
    LoseOwnership("the journal was continued by epoch " +
                      std::to_string(existing.epoch.value),
                  Effect::kNotRun);
    return;
  }
  if (existing.number != commit_.next_number()) {
    phase_ = Loading{now_ + kLoadRetryDelay};
    return;
  }
  for (const Record& record : existing.records) committed_.Apply(record);
  commit_.Begin(epoch_, nonce_, existing.number + 1);
}

void Owner::Impl::OnRecordCommitted(Sequence sequence, const Record& record) {
  if (const std::optional<TaskId> task = TaskOf(record)) {
    auto latest = latest_unsettled_.find(*task);
    if (latest != latest_unsettled_.end() && latest->second == sequence) {
      latest_unsettled_.erase(latest);
    }
  }
  std::visit(Visitor{[&](const JobSubmitted& r) {
                       live_.Apply(r);
                       jobs_.Add(r.job, now_, r.spec.deadline);
                       ReleaseJob(r.job);
                       AnswerRecord(sequence);
                     },
                     [&](const JobCancelled& r) {
                       CancelTasks(r.job);
                       AnswerRecord(sequence);
                     },
                     [&](const TaskStarted& r) {
                       if (held_starts_.erase(sequence) > 0) {
                         appended_starts_.push_back(r.attempt);
                       }
                     },
                     [&](const TaskEnded& r) { changed_.insert(r.task.job); },
                     [&](const WorkflowSubmitted& r) {
                       live_.Apply(r);
                       OnWorkflowSubmitted(r.request);
                       AnswerRecord(sequence);
                       AnswerSubmitted(r.request);
                     },
                     [&](const WorkflowCancelled& r) {
                       ApplyCancellation(r.request);
                       AnswerRecord(sequence);
                     },
                     [](const auto&) {}},
             record);
}

void Owner::Impl::ProveSessions(int64_t appended) {
  for (auto it = unproven_.begin(); it != unproven_.end();) {
    internal::Worker& worker = *workers_.Find(*it);
    if (worker.proof_batch > appended) {
      ++it;
      continue;
    }
    worker.proven = true;
    SetAdmission(worker);
    it = unproven_.erase(it);
  }
  // If the batch that was in flight when the write was required was dissolved,
  // the next batch has the same number and carries the required write. That
  // number is below proof_batch, so another write is required.
  RenewCleared(appended);
  if (!unproven_.empty() || !silence_.cleared.empty()) commit_.RequireWrite();
}

Sequence Owner::Impl::ApplyAndAppend(Record record) {
  live_.Apply(record);
  const std::optional<TaskId> task = TaskOf(record);
  const Sequence sequence = commit_.Add(std::move(record));
  last_added_ = sequence;
  if (task) latest_unsettled_[*task] = sequence;
  return sequence;
}

// Records are appended in the order in which they were added, so once the
// latest added record is appended, all records that the events led to are.
void Owner::Impl::AcknowledgeLater(AcknowledgeEvents action) {
  acknowledgements_.push_back({last_added_, std::move(action)});
  AcknowledgeAppended();
}

void Owner::Impl::AcknowledgeAppended() {
  while (
      !acknowledgements_.empty() &&
      (acknowledgements_.front().after <= last_appended_ || commit_.idle())) {
    Emit(acknowledgements_.front().action);
    acknowledgements_.pop_front();
  }
}

void Owner::Impl::WriteNext() {
  if (In<Loading>()) return;
  if (std::optional<Action> action = commit_.Next(now_)) {
    Emit(*std::move(action));
  }
}

void Owner::Impl::MaybeSnapshot() {
  if (!In<Owning>() || snapshot_in_flight_ || now_ < snapshot_retry_) return;
  const int64_t through = commit_.next_number() - 1;
  if (through - snapshot_through_ < options_.snapshot_every) return;
  snapshot_in_flight_ = true;
  Emit(WriteSnapshot{epoch_, committed_.TakeSnapshot(through)});
}

}  // namespace azurepass::partition
