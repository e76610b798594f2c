// Workers that do not answer, across owners.
//
// A task on such a worker may start elsewhere once its lease has lapsed. An
// owner knows when that is, because it knows when the worker answered last. A
// successor does not: all it knows is that no former owner renews a lease
// longer than one lease and a margin after the claim. If owners follow each
// other before that, each of them would begin to wait anew.
//
// Therefore an owner keeps a SilenceRecord in the store, of the workers with
// tasks that do not answer, and of the time that their leases still last. It is
// written again while there are any, so that the times stay close. A successor
// reads it and waits no longer than it says, counted from the read.
//
// Why the record is still true when it is read. The owner that writes it stops
// renewing the leases of the workers in it before (SetRenewal). It renews one
// again only after a record without that worker was written, and then a journal
// entry was appended. The successor reads the record after its own first
// append, so if the entry came before that, it reads the later record; if not,
// the entry was never appended. A late write of a former owner does not replace
// a record of its successor, because writes are conditional, and what it left
// for a later one is ignored: a record counts only for the owner of the next
// epoch.

#include <algorithm>
#include <utility>

#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::SessionOpening;
using internal::SessionUnreachable;
using internal::Worker;

namespace {

constexpr Duration kRetryDelay{250};
// A successor waits longer by as much as the record is old.
constexpr Duration kRefreshInterval{1'000};
// Most workers open a session within this time of the takeover.
constexpr Duration kSilentAfter{1'000};
// By then an answer that came before its worker's renewals stopped is known.
constexpr Duration kSettleTime{250};

std::set<VmId> VmsOf(const SilenceRecord& record) {
  std::set<VmId> vms;
  for (const auto& [vm, stopped_in] : record.stopped_in) vms.insert(vm);
  return vms;
}

}  // namespace

void Owner::Impl::EmitOpenSession(const WorkerSpec& spec) {
  Emit(OpenSession{spec, epoch_, !withheld_.contains(spec.vm)});
}

void Owner::Impl::On(const SilenceRead& event) {
  if (event.epoch != epoch_ || !loaded() || silence_.read) return;
  silence_.busy = false;
  if (!event.ok) {
    silence_.not_before = now_ + kRetryDelay;
    return;
  }
  silence_.read = true;
  if (event.record && event.record->epoch.value + 1 == epoch_.value) {
    ShortenLapses(*event.record);
  }
}

void Owner::Impl::ShortenLapses(const SilenceRecord& record) {
  for (const auto& [vm, stopped_in] : record.stopped_in) {
    Worker* worker = workers_.Find(vm);
    if (worker == nullptr) continue;
    const auto* opening = std::get_if<SessionOpening>(&worker->session);
    if (opening == nullptr) continue;
    const MonotonicTime lapses = std::min(opening->lapses, now_ + stopped_in);
    workers_.SetSession(*worker, SessionOpening{lapses});
    silence_.inherited.insert(vm);
    Log("worker_silent", {}, 0, vm,
        "by the former owner's record, stopped_in_ms=" +
            std::to_string(stopped_in.count()) +
            " tasks=" + std::to_string(worker->tasks.size()));
  }
}

// Returns when nothing that was ordered on the worker runs any more, if it has
// tasks and does not answer.
std::optional<MonotonicTime> Owner::Impl::SilentUntil(
    const Worker& worker) const {
  if (worker.tasks.empty()) return std::nullopt;
  using Result = std::optional<MonotonicTime>;
  return std::visit(
      Visitor{[](const SessionUnreachable& s) { return Result(s.lapses); },
              [&](const SessionOpening& s) {
                const bool silent = now_ >= fenced_at_ + kSilentAfter ||
                                    silence_.inherited.contains(worker.spec.vm);
                return silent ? Result(s.lapses) : Result();
              },
              [](const auto&) { return Result(); }},
      worker.session);
}

SilenceRecord Owner::Impl::SilentWorkers() const {
  SilenceRecord record{epoch_, {}};
  if (workers_.AllSessionsSettled()) return record;
  for (const auto& [vm, worker] : workers_.workers()) {
    const auto until = SilentUntil(worker);
    // While the store fails, a worker that answers again could not be recorded
    // soon, and its lease would lapse.
    if (!until || (commit_.stalled() && !withheld_.contains(vm))) continue;
    record.stopped_in[vm] =
        std::max(Duration(0), std::chrono::ceil<Duration>(*until - now_));
  }
  return record;
}

void Owner::Impl::RecordSilence() {
  if (silence_.busy || now_ < silence_.not_before) return;
  if (!silence_.read) {
    silence_.busy = true;
    Emit(ReadSilence{epoch_});
    return;
  }
  SilenceRecord record = SilentWorkers();
  const std::set<VmId> silent = VmsOf(record);
  const bool changed =
      silent != silence_.written || !silence_.unconfirmed.empty();
  const bool due = !silent.empty() &&
                   now_ >= silence_.written_at + silence_.refresh_interval;
  if (!changed && !due) return;
  silence_.refresh_interval = kRefreshInterval;
  for (auto& [vm, stopped_in] : record.stopped_in) {
    silence_.cleared.erase(vm);
    if (options_.testing.renew_silent_workers) continue;
    if (!withheld_.insert(vm).second) continue;
    Emit(SetRenewal{vm, false});
    Log("worker_silent", {}, 0, vm,
        "stopped_in_ms=" + std::to_string(stopped_in.count()) +
            " tasks=" + std::to_string(workers_.Find(vm)->tasks.size()));
    // The worker may just have answered, and been renewed.
    stopped_in = std::max(stopped_in, LongestRunUnrenewed());
    silence_.refresh_interval = kSettleTime;
  }
  silence_.unconfirmed.insert(silent.begin(), silent.end());
  silence_.writing = silent;
  silence_.writing_made_at = now_;
  silence_.busy = true;
  Emit(WriteSilence{std::move(record)});
}

void Owner::Impl::On(const SilenceWritten& event) {
  if (event.epoch != epoch_ || !loaded() || !silence_.read) return;
  silence_.busy = false;
  if (!event.ok) {
    silence_.not_before = now_ + kRetryDelay;
    return;
  }
  silence_.written = std::exchange(silence_.writing, {});
  silence_.written_at = silence_.writing_made_at;
  silence_.unconfirmed.clear();
  for (const VmId& vm : withheld_) {
    if (silence_.written.contains(vm)) continue;
    silence_.cleared.try_emplace(vm, commit_.RequireWrite());
  }
}

// The batch `appended` shows that this process was still the owner after the
// records without these workers were written.
void Owner::Impl::RenewCleared(int64_t appended) {
  for (auto it = silence_.cleared.begin(); it != silence_.cleared.end();) {
    const auto& [vm, proof_batch] = *it;
    if (proof_batch > appended) {
      ++it;
      continue;
    }
    withheld_.erase(vm);
    Emit(SetRenewal{vm, true});
    Worker* worker = workers_.Find(vm);
    const bool open =
        worker != nullptr &&
        std::holds_alternative<internal::SessionOpen>(worker->session);
    if (open) RequireProof(*worker);
    it = silence_.cleared.erase(it);
  }
}

std::optional<MonotonicTime> Owner::Impl::NextSilenceWake() const {
  if (silence_.busy) return std::nullopt;
  if (!silence_.read) return silence_.not_before;
  std::optional<MonotonicTime> next;
  if (!silence_.written.empty()) {
    next = silence_.written_at + silence_.refresh_interval;
  }
  if (!silence_.unconfirmed.empty()) next = now_;
  const MonotonicTime opened = fenced_at_ + kSilentAfter;
  if (!workers_.AllSessionsSettled() && now_ < opened) {
    next = std::min(next.value_or(opened), opened);
  }
  if (next) next = std::max(*next, silence_.not_before);
  return next;
}

}  // namespace azurepass::partition
