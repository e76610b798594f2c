// Phases and timers of the owner, and the public class.

#include <algorithm>
#include <iterator>
#include <utility>

#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::Idle;
using internal::LiveAttempt;
using internal::Loading;
using internal::Opening;
using internal::Owning;
using internal::Releasing;

namespace {

constexpr Duration kHandoverRetryAfter{250};
constexpr Duration kWaitingLogInterval{1'000};
// A job is logged once it has waited this long, for at most kLongWaitsLogged
// jobs at a time.
constexpr Duration kLongWait{2'000};
constexpr size_t kLongWaitsLogged = 8;
// A wait is logged at its end if it took longer, and once while it goes on.
constexpr Duration kLongRestart{2'000};
constexpr Duration kStillWaiting{4'000};
constexpr Duration kWaitSampleInterval{250};
// Waits followed at a time up to which those of tasks that are not perpetual
// are taken in. There may be thousands of these.
constexpr size_t kOrdinaryWaitsFollowed = 64;
constexpr Duration kDemandCheckInterval{50};  // Interval while nothing changes.

// Sets `at` to `other` if that is earlier.
void SetToEarlier(std::optional<MonotonicTime>& at,
                  std::optional<MonotonicTime> other) {
  if (other && (!at || *other < *at)) at = other;
}

// Formats millicores, memory in MiB, and accelerators.
std::string AmountsText(const Resources& amounts) {
  std::string text;
  for (const Dimension d : {Dimension::kMillicores, Dimension::kMemoryMib,
                            Dimension::kAccelerators}) {
    if (!text.empty()) text += ",";
    text += amounts[d] >= kUnlimitedAmount ? "-" : std::to_string(amounts[d]);
  }
  return text;
}

}  // namespace

Owner::Impl::Impl(const Options& options, PartitionId partition,
                  std::vector<WorkerSpec> workers, uint64_t nonce, Epoch epoch,
                  internal::Environment environment)
    : options_(options),
      partition_(std::move(partition)),
      specs_(std::move(workers)),
      nonce_(nonce),
      epoch_(epoch),
      environment_(std::move(environment)),
      commit_(options_, nonce),
      workers_(specs_),
      jobs_(epoch),
      cell_(options_.placement) {}

std::vector<Action> Owner::Impl::Handle(Event event, MonotonicTime now) {
  now_ = now;
  actions_.clear();
  std::visit([this](auto& e) { On(std::move(e)); }, event);
  Advance();
  return std::exchange(actions_, {});
}

void Owner::Impl::On(ClaimWon event) {
  claimed_at_ = now_;
  claimed_at_wall_ = event.wall;
  renewals_ended_ = event.renewals_ended;
  phase_ = Loading{};
  Emit(LoadJournal{epoch_});
}

void Owner::Impl::On(ReleaseWanted /*event*/) {
  if (In<Owning>()) {
    silence_.written_at = {};  // The successor gets a record of now.
    RecordSilence();
    phase_ = Releasing{};
    return;
  }
  if (In<Releasing>()) return;
  for (RequestToken token : requests_.All()) {
    Refuse(token, RefusalCode::kShuttingDown, Effect::kNotRun,
           "The owner is shutting down.", kHandoverRetryAfter);
  }
  if (In<Idle>()) return;
  for (const auto& [vm, worker] : workers_.workers()) Emit(CloseSession{vm});
  Emit(Released{});
  phase_ = Idle{};
}

void Owner::Impl::On(ClaimLost /*event*/) {
  if (!In<Idle>()) LoseOwnership("the claim is lost", Effect::kUnknown);
}

void Owner::Impl::On(ConfigurationChanged event) {
  if (event.configuration == nullptr) return;
  if (event.configuration->revision < environment_.configuration->revision) {
    return;
  }
  environment_.configuration = std::move(event.configuration);
  if (loaded()) ApplyConfiguration();
}

void Owner::Impl::On(FreshnessChanged event) {
  environment_.complete_through = event.complete_through;
  if (std::exchange(environment_.may_start, event.may_start) !=
      event.may_start) {
    placement_due_ = true;
  }
}

void Owner::Impl::On(AllowancesChanged event) {
  environment_.allowances = std::move(event.allowances);
  if (loaded()) ApplyConfiguration();
}

void Owner::Impl::On(Tick /*event*/) {}

// The order matters. Timeouts are handled before anything is started. Answers
// are sent after the changes that they report. The write comes last, so that it
// includes every record that this event led to.
void Owner::Impl::Advance() {
  if (In<Idle>()) return;
  AdvanceTimers();
  if (In<Opening>() &&
      (workers_.AllSessionsSettled() || options_.record_starts_first ||
       options_.testing.skip_session_barrier)) {
    FinishOpening();
  }
  if (In<Owning>()) PlaceTasks();
  if (In<Owning>()) ScanPermitWaiters();
  if (In<Opening>() || In<Owning>()) RecordSilence();
  AnswerDue();
  AnswerChanged();
  WriteNext();
  MaybeSnapshot();
  if (In<Releasing>()) FinishRelease();
  FlushOrders();
  ReportDemands();
  SampleWaits();
  LogWaiting();
  ScheduleWake();
}

void Owner::Impl::AdvanceTimers() {
  if (auto* loading = std::get_if<Loading>(&phase_)) {
    if (loading->retry && *loading->retry <= now_) {
      loading->retry.reset();
      Emit(LoadJournal{epoch_});
    }
    return;
  }
  if (!loaded()) return;
  HandleLapsedSessions();
  if (In<Opening>()) return;
  HandleOverdueAttempts();
  if (In<Releasing>()) return;  // The rest is left to the successor.
  RemoveUnlistedWorkers();
  ExpireJobs();
  ForgetJobs();
  ForgetWorkflows();
  ReleaseDueSteps();
}

void Owner::Impl::FinishRelease() {
  if (!commit_.idle() || requests_.has_records()) return;
  if (silence_.read && silence_.busy) return;  // The last record.
  for (RequestToken token : requests_.All()) {
    const internal::WaitingRequest* waiting = requests_.Find(token);
    if (const auto* held =
            std::get_if<internal::UntilChanged>(&waiting->waits_for)) {
      Reply(token, View(held->job));
    }
    if (const auto* held =
            std::get_if<internal::UntilEnded>(&waiting->waits_for)) {
      Reply(token, ViewWorkflow(held->request));
    }
  }
  for (const auto& [vm, worker] : workers_.workers()) {
    if (worker.configured) Emit(CloseSession{vm});
  }
  WithdrawRequests();
  Emit(Released{});
  phase_ = Idle{};
}

void Owner::Impl::LoseOwnership(const std::string& reason, Effect in_flight) {
  for (RequestToken token : requests_.All()) {
    const internal::WaitingRequest* waiting = requests_.Find(token);
    const auto* appended =
        std::get_if<internal::UntilAppended>(&waiting->waits_for);
    const bool maybe =
        appended != nullptr && !commit_.IsWaiting(appended->sequence);
    Refuse(token, RefusalCode::kNotOwner, maybe ? in_flight : Effect::kNotRun,
           "The partition has another owner: " + reason + ".",
           kHandoverRetryAfter);
  }
  for (const auto& [vm, worker] : workers_.workers()) {
    if (worker.configured) Emit(CloseSession{vm});
  }
  WithdrawRequests();
  Emit(Deposed{reason});
  orders_.clear();
  phase_ = Idle{};
}

void Owner::Impl::FlushOrders() {
  for (auto& [vm, orders] : std::exchange(orders_, {})) {
    if (!orders.empty()) Emit(SendOrders{vm, std::move(orders)});
  }
}

// Formats the number of workers that get no starts, by the first reason that
// applies.
std::string Owner::Impl::ClosedWorkers() const {
  std::map<std::string_view, int> closed;
  for (const auto& [vm, worker] : workers_.workers()) {
    const std::string_view reason = internal::WorkerTable::WhyClosed(worker);
    if (!reason.empty()) ++closed[reason];
  }
  std::string text;
  for (const auto& [reason, workers] : closed) {
    if (!text.empty()) text += ",";
    text += std::string(reason) + ":" + std::to_string(workers);
  }
  return text.empty() ? "none" : text;
}

std::string Owner::Impl::PermitsText(const JobId& job) const {
  const auto found = permits_.find(job);
  if (found == permits_.end()) return "none_needed";
  const JobPermits& permits = found->second;
  const auto in_ms = [this](MonotonicTime at) {
    return std::to_string(
        std::chrono::duration_cast<Duration>(at - now_).count());
  };
  std::string text = permits.request_in_flight ? "asking" : "not_asking";
  if (permits.answered) text += ",valid_for_ms:" + in_ms(permits.valid_until);
  if (permits.next_request > now_)
    text += ",again_ms:" + in_ms(permits.next_request);
  if (permits.asked_at != MonotonicTime())
    text += ",asked_ms:" + in_ms(permits.asked_at);
  if (permits.answered_at != MonotonicTime())
    text += ",answered_ms:" + in_ms(permits.answered_at);
  return text + ",granted:" + std::to_string(permits.granted.size()) +
         ",denied:" + std::to_string(permits.denied.size());
}

// Logs what a task of each job waits for, with all the inputs of that decision.
void Owner::Impl::LogLongWaits() {
  for (const placement::LongWait& wait : cell_.LongestWaits(kLongWaitsLogged)) {
    const auto age = std::chrono::duration_cast<Duration>(now_ - wait.since);
    if (age < kLongWait) return;
    const auto contract = environment_.configuration->contracts.find(wait.team);
    const Resources limit =
        contract == environment_.configuration->contracts.end()
            ? Resources()
            : contract->second.upper_limit;
    Log("long_wait", wait.task, 0, VmId(),
        std::string(placement::WaitReasonName(wait.reason)) +
            " age_ms=" + std::to_string(age.count()) +
            " tasks=" + std::to_string(wait.waiting) +
            " delayed=" + std::to_string(wait.delayed) +
            " size=" + AmountsText(wait.size) + " team=" + wait.team.value() +
            " committed=" + AmountsText(wait.committed) + " allowance=" +
            AmountsText(wait.allowance) + " limit=" + AmountsText(limit) +
            " permits=" + PermitsText(wait.task.job));
  }
}

void Owner::Impl::LogWaiting() {
  if (!In<Owning>() || now_ < next_waiting_log_) return;
  next_waiting_log_ = now_ + kWaitingLogInterval;
  const auto waiting = cell_.WaitingByReason();
  if (waiting.empty()) return;
  std::string reasons;
  for (const auto& [reason, tasks] : waiting) {
    reasons += std::string(placement::WaitReasonName(reason)) + "=" +
               std::to_string(tasks) + " ";
  }
  int64_t unpermitted = 0;
  int64_t asking = 0;
  size_t most_denied = 0;
  for (const auto& [job, permits] : permits_) {
    if (permits.valid_until <= now_) ++unpermitted;
    if (permits.request_in_flight) ++asking;
    most_denied = std::max(most_denied, permits.denied.size());
  }
  const placement::CellStatus cell = cell_.Status();
  reasons += "jobs_without_permit=" + std::to_string(unpermitted) +
             " asking=" + std::to_string(asking) +
             " most_denied=" + std::to_string(most_denied) +
             " open_workers=" + std::to_string(cell.open_workers) +
             " quarantined=" + std::to_string(cell.quarantined_workers) +
             " closed=" + ClosedWorkers() +
             " committed_tasks=" + std::to_string(cell.committed_tasks) +
             " may_start=" + std::to_string(environment_.may_start) +
             " unsettled=" + std::to_string(commit_.unsettled());
  Log("waiting", {}, 0, VmId(), std::move(reasons));
  LogLongWaits();
}

void Owner::Impl::FollowWait(const TaskId& task, const std::string& origin) {
  const internal::LedgerJob* job = live_.Find(task.job);
  if (job == nullptr) return;
  const bool first_with_permits =
      task.index == 0 && permits_.contains(task.job);
  const bool perpetual = job->submitted.spec.perpetual;
  if (!perpetual &&
      (!first_with_permits || waits_.size() >= kOrdinaryWaitsFollowed)) {
    return;
  }
  if (const auto cause = WaitCauseOf(task)) {
    waits_.Begin(task, origin, *cause, now_);
  }
}

std::optional<internal::WaitCause> Owner::Impl::WaitCauseOf(
    const TaskId& task) const {
  using internal::WaitCause;
  const TaskSnapshot* snapshot = live_.FindTask(task);
  if (snapshot == nullptr || IsFinal(snapshot->state)) return std::nullopt;
  if (workers_.FindAttempt(task) != nullptr) return WaitCause::kStarting;
  if (!In<Owning>()) return WaitCause::kNotOwned;
  const WaitCause cause = internal::CauseOf(cell_.WaitReasonOf(task));
  if (cause == WaitCause::kBackoff || cause == WaitCause::kNoPermit) {
    return cause;
  }
  if (!environment_.may_start) return WaitCause::kNotFresh;
  return MayRecordStarts() ? cause : WaitCause::kJournal;
}

void Owner::Impl::EndWait(const LiveAttempt& attempt) {
  const TaskId& task = attempt.id.task;
  const std::string text = waits_.End(task, kLongRestart, now_);
  if (text.empty()) return;
  Log("late_start", task, attempt.id.attempt, attempt.vm,
      text + " permits=" + PermitsText(task.job));
}

void Owner::Impl::SampleWaits() {
  if (!loaded() || now_ < next_wait_sample_) return;
  next_wait_sample_ = now_ + kWaitSampleInterval;
  const auto cause_of = [this](const TaskId& task) {
    return WaitCauseOf(task);
  };
  for (const auto& [task, text] :
       waits_.Sample(cause_of, kStillWaiting, now_)) {
    Log("still_waiting", task, 0, VmId(),
        text + " permits=" + PermitsText(task.job) +
            " closed=" + ClosedWorkers());
  }
}

void Owner::Impl::ReportDemands() {
  if (!In<Owning>() || now_ < next_demand_) return;
  ReportDemand report;
  bool changed = false;
  const placement::CellStatus cell = cell_.Status();
  const Resources spare =
      Resources::Max(Resources(), cell.capacity - cell.committed);
  for (const TeamId& team : teams_) {
    const Resources committed = cell_.CommittedOf(team);
    // A team cannot use more than the spare room, regardless of what is queued.
    const Resources wanted =
        committed + Resources::Min(cell_.QueuedOf(team), spare);
    AllowanceDemand demand{team, committed, wanted,
                           cell_.NextStartSizeOf(team, spare)};
    AllowanceDemand& last = reported_[team];
    changed |= last != demand;
    last = demand;
    report.demands.push_back(std::move(demand));
  }
  if (!changed) {
    next_demand_ = now_ + kDemandCheckInterval;
    return;
  }
  next_demand_ = now_ + options_.demand_interval;
  Emit(std::move(report));
}

void Owner::Impl::ScheduleWake() {
  const std::optional<MonotonicTime> next = NextWake();
  if (!next) return;
  if (wake_ && *wake_ > now_ && *wake_ == *next) return;
  wake_ = std::max(*next, now_);
  Emit(Wake{*wake_});
}

// While this returns false, the outcome of the journal's write wakes the owner.
bool Owner::Impl::MayRecordStarts() const {
  return commit_.unsettled() < options_.max_unjournaled_records &&
         !(options_.record_starts_first && commit_.stalled());
}

std::optional<MonotonicTime> Owner::Impl::NextWake() const {
  std::optional<MonotonicTime> next = commit_.NextWake();
  SetToEarlier(next, requests_.NextDue());
  if (const auto* loading = std::get_if<Loading>(&phase_)) {
    SetToEarlier(next, loading->retry);
  }
  if (!loaded()) return next;
  SetToEarlier(next, workers_.NextWake());
  if (!In<Releasing>()) SetToEarlier(next, NextSilenceWake());
  if (!In<Owning>()) return next;
  SetToEarlier(next, jobs_.NextWake());
  if (!due_.empty()) SetToEarlier(next, due_.begin()->first);
  if (!forgetting_.empty()) SetToEarlier(next, forgetting_.begin()->first);
  if (!permits_.empty()) SetToEarlier(next, std::max(next_permit_scan_, now_));
  const bool starts = environment_.may_start && MayRecordStarts();
  if (starts && placement_due_) SetToEarlier(next, now_);
  if (starts) SetToEarlier(next, cell_.NextWake());
  if (next_demand_ > now_) SetToEarlier(next, next_demand_);
  if (snapshot_retry_ > now_) SetToEarlier(next, snapshot_retry_);
  return next;
}

void Owner::Impl::ApplyConfiguration() {
  std::set<ZoneId> zones;
  for (const auto& [vm, worker] : workers_.workers()) {
    if (worker.configured) zones.insert(worker.spec.zone);
  }
  for (const ZoneId& zone : zones) {
    cell_.SetZoneInService(zone, ZoneInService(zone));
  }
  for (const auto& [team, contract] : environment_.configuration->contracts) {
    teams_.insert(team);
  }
  teams_.insert(PublicTeam());
  for (const TeamId& team : teams_) SetTeamTerms(team);
  placement_due_ = true;
}

// A team without a contract may still have jobs here; its allowance is zero.
void Owner::Impl::SetTeamTerms(const TeamId& team) {
  placement::TeamTerms terms;
  const auto& contracts = environment_.configuration->contracts;
  auto contract = contracts.find(team);
  if (contract != contracts.end()) {
    terms.share = contract->second.share;
    terms.zones = contract->second.zones;
    auto allowance = environment_.allowances.find(team);
    // Until the allowance is known, nothing is started and nothing is stopped.
    terms.allowance = Resources::Min(contract->second.upper_limit,
                                     allowance == environment_.allowances.end()
                                         ? cell_.CommittedOf(team)
                                         : allowance->second);
  }
  if (team == PublicTeam()) {
    std::set<ZoneId> zones;
    for (const auto& [vm, worker] : workers_.workers()) {
      zones.insert(worker.spec.zone);
    }
    terms.zones.assign(zones.begin(), zones.end());
    terms.allowance = kUnlimited;
  }
  cell_.SetTeam(team, terms);
}

bool Owner::Impl::ZoneInService(const ZoneId& zone) const {
  const auto& zones = environment_.configuration->zones;
  auto found = zones.find(zone);
  return found == zones.end() || found->second.in_service;
}

WallTime Owner::Impl::ToWall(MonotonicTime at) const {
  return claimed_at_wall_ +
         std::chrono::duration_cast<WallTime::duration>(at - claimed_at_);
}

MonotonicTime Owner::Impl::ToMonotonic(WallTime at) const {
  return claimed_at_ + std::chrono::duration_cast<MonotonicTime::duration>(
                           at - claimed_at_wall_);
}

bool Owner::Impl::owns() const { return In<Owning>() || In<Releasing>(); }

Status Owner::Impl::status() const {
  Status status{partition_,           epoch_,
                cell_.Status(),       {},
                unordered_preempted_, refused_submissions_};
  for (const TeamId& team : teams_) {
    status.committed.emplace_back(team, cell_.CommittedOf(team));
  }
  return status;
}

// ---------------------------------------------------------------------------

Owner::Owner(const Options& options, PartitionId partition,
             std::vector<WorkerSpec> workers, uint64_t nonce)
    : impl_(std::make_unique<Impl>(options, std::move(partition),
                                   std::move(workers), nonce, Epoch{},
                                   internal::Environment{})) {}
Owner::~Owner() = default;
Owner::Owner(Owner&&) noexcept = default;
Owner& Owner::operator=(Owner&&) noexcept = default;

std::vector<Action> Owner::Handle(Event event, MonotonicTime now) {
  std::vector<Action> actions;
  if (const auto* claim = std::get_if<ClaimWon>(&event)) {
    if (!impl_->idle()) actions = impl_->Handle(ClaimLost{}, now);
    impl_ = std::make_unique<Impl>(impl_->options(), impl_->partition(),
                                   impl_->worker_specs(), impl_->nonce(),
                                   claim->epoch, impl_->environment());
  }
  std::vector<Action> more = impl_->Handle(std::move(event), now);
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

bool Owner::owns() const { return impl_->owns(); }
Status Owner::status() const { return impl_->status(); }

}  // namespace azurepass::partition
