// Permits. Some queues allow a step to run only on workers that a policy
// service names, and each start there carries the permit that the service
// issued.
//
// The service is slow, and a permit expires within seconds. A request for a job
// that cannot start soon is wasted, and with many waiting jobs such requests
// would take up all of the service's time. Therefore permits are requested only
// for jobs that have room: the jobs, in the order in which they would start,
// reserve room in a copy of the fleet's free resources, and requests are sent
// for those that got some. Urgent work is short and cheap to ask about, so its
// first request does not wait for room.
//
// A scan is bounded by the number of workers that it examines. Waiting jobs
// without room are skipped by size and label, because they would otherwise use
// up each scan, and permits would never be requested for the jobs behind them.
//
// Half of the workers of a scan are for the jobs that come first in the start
// order. The other half continues where the previous scan ended, so that jobs
// that keep waiting do not prevent requests for those behind them.
//
// A job needs permits if its queue issued them when it was accepted, or if the
// queue's successor does when its turn comes. The queue may have been renamed
// or removed since, or issue none any more; the terms are then those of its
// successor, or the latest that it had.
//
// The set of workers that the service names for a job does not change; only the
// permits expire. So the first request of a job lists all workers that could
// run it, and later requests list those that have room now and either were
// granted before or joined since. Other jobs may have taken some of that room
// by the time of the answer, so a request lists more workers than the job
// needs.
//
// The first request of other work may be bounded
// (Options::permit_first_workers). The service takes time for each worker
// listed, and where several jobs wait for it, the time for workers that the job
// does not need is at their expense. Such a request lists workers with room for
// several times the job's tasks, since part of them will be denied, and each
// job begins with another worker.
//
// Perpetual tasks whose end is near are counted as waiting already: those that
// were stopped on a leaving worker, and those on a worker whose lease lapses
// soon. Their permits are then there when the tasks may start again.
//
// A perpetual task that has lost its run is missed by its users, and other work
// was never there. So jobs with such tasks are scanned first, each scan begins
// with another one of them, and their requests go before those of other jobs.
//
// A request that fails is repeated after a delay that doubles with each failure
// in a row: failures come when the service or the way to it is overloaded, and
// requests at a constant rate would keep it so.
//
// A new owner has forgotten all answers but those that led to starts. The work
// of its predecessor waits meanwhile, so the first request for a job that has
// run before is short: it lists some workers for each task that waits.

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::LedgerJob;

namespace {

constexpr size_t kMaxWorkersPerRequest = 100;
// Workers with room that a request lists even if the job itself needs fewer.
// The users rely on one request for about this many workers per step.
constexpr int64_t kMinWorkersPerRequest = 30;
// Workers with room that the first request of a recovered job lists for each
// task: where the policy allows a third of the workers, one in 400 such
// requests for one task names none of them.
constexpr int64_t kRecoveredWorkersPerTask = 15;
// A bounded first request lists room for this many times the waiting tasks:
// queues are known whose policy allows three workers in ten.
constexpr int64_t kListedRoomPerTask = 4;
// Permits for tasks on a silent worker are requested at least this long before
// its lease has lapsed: an answer takes some hundred milliseconds, and is valid
// for one or two seconds.
constexpr Duration kRestartLead{800};
// An answer that comes as early as possible is still valid for this long after
// the lapse.
constexpr Duration kValidAfterLapse{500};
constexpr Duration kLongestRestartLead{3'000};
// Longest delay of a request after failures. Urgent work is useful for a second
// or two, and lasting tasks are missed after a few seconds.
constexpr Duration kMaxPermitBackoff{1'600};
constexpr Duration kMaxUrgentBackoff{400};
constexpr int kMaxDoublings = 16;
// Workers examined in one scan, over all jobs. The first jobs in the start
// order matter most.
constexpr int64_t kWorkersPerScan = 2'048;

bool HasLabel(const WorkerSpec& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

}  // namespace

void Owner::Impl::ScanPermitWaiters() {
  if (permits_.empty() || now_ < next_permit_scan_) return;
  next_permit_scan_ = now_ + options_.permit_scan_interval;
  PermitScan scan;
  for (const auto& [vm, worker] : workers_.workers()) {
    if (internal::WorkerTable::AdmissionOf(worker) ==
            placement::WorkerAdmission::kOpen &&
        ZoneInService(worker.spec.zone)) {
      scan.workers.push_back(
          {&worker.spec, worker.spec.capacity - cell_.CommittedOn(vm)});
    }
  }
  const std::set<JobId> restarts = ScanRestarts(scan);
  const auto visit = [&](const JobId& id) {
    const auto permits = permits_.find(id);
    const LedgerJob* job = live_.Find(id);
    if (permits != permits_.end() && job != nullptr && job->queued > 0 &&
        !restarts.contains(id)) {
      ReserveAndRequest(*job, job->queued, permits->second, scan, false);
    }
    return scan.budget > 0;
  };
  scan.budget = kWorkersPerScan / 2;
  const auto rest = cell_.VisitPermitWaiters({}, visit);
  if (!rest) {
    permit_scan_start_.reset();
    return;
  }
  scan.budget = kWorkersPerScan / 2;
  permit_scan_start_ = cell_.VisitPermitWaiters(
      std::max(permit_scan_start_.value_or(*rest), *rest), visit);
}

std::set<JobId> Owner::Impl::ScanRestarts(PermitScan& scan) {
  std::erase_if(interrupted_, [this](const JobId& id) {
    const LedgerJob* job = live_.Find(id);
    return job == nullptr || job->queued == 0 || !permits_.contains(id);
  });
  // With the tasks that the cell does not know as waiting yet.
  std::map<JobId, int32_t> restarting = RestartingTasks();
  for (const JobId& id : interrupted_) restarting.try_emplace(id, 0);
  scan.budget = kWorkersPerScan / 2;
  std::set<JobId> scanned;
  const auto first = restarting.lower_bound(restart_scan_start_);
  auto next = first;
  for (size_t i = 0; i < restarting.size() && scan.budget > 0; ++i, ++next) {
    if (next == restarting.end()) next = restarting.begin();
    const auto& [id, tasks] = *next;
    const LedgerJob& job = *live_.Find(id);
    ReserveAndRequest(job, job.queued + tasks, permits_.at(id), scan, true);
    scanned.insert(id);
  }
  const bool all = scanned.size() == restarting.size();
  restart_scan_start_ = all || next == restarting.end() ? JobId() : next->first;
  return scanned;
}

// The request may name as many workers as a request can, or a few.
Duration Owner::Impl::RestartLeadOf(const JobSpec& spec) const {
  const std::optional<PermitTerms> terms =
      FindPermitTerms(*environment_.configuration, spec.queue);
  if (!terms) return kRestartLead;
  const auto cost_of = [&](int64_t workers) {
    return terms->per_call +
           std::chrono::ceil<Duration>(terms->per_worker * workers);
  };
  const Duration longest = cost_of(kRecoveredWorkersPerTask) + terms->validity -
                           options_.permit_margin - kValidAfterLapse;
  const Duration lead = std::min(cost_of(kMaxWorkersPerRequest), longest);
  return std::clamp(lead, kRestartLead, kLongestRestartLead);
}

std::map<JobId, int32_t> Owner::Impl::RestartingTasks() const {
  std::map<JobId, int32_t> restarting;
  for (const auto& [vm, worker] : workers_.workers()) {
    const std::optional<MonotonicTime> silent_until = SilentUntil(worker);
    const bool stops =
        worker.listed == VmState::kLeaving &&
        std::holds_alternative<internal::SessionOpen>(worker.session);
    const bool may_lapse =
        silent_until && *silent_until <= now_ + kLongestRestartLead;
    if (!may_lapse && !stops) continue;
    for (const TaskId& task : worker.tasks) {
      const LedgerJob& job = *live_.Find(task.job);  // It has an attempt.
      if (!job.submitted.spec.perpetual || job.cancelled ||
          !permits_.contains(task.job)) {
        continue;
      }
      const bool lapses =
          may_lapse &&
          *silent_until <= now_ + RestartLeadOf(job.submitted.spec);
      if (lapses || (stops && workers_.FindAttempt(task)->stopping)) {
        ++restarting[task.job];
      }
    }
  }
  return restarting;
}

// Reserves room for the job, and requests permits if the job has no valid ones.
// An atomic gang reserves room and allowance for all of its tasks or for none,
// so that what it cannot use is left to the jobs behind it.
void Owner::Impl::ReserveAndRequest(const LedgerJob& job, int32_t waiting,
                                    JobPermits& permits, PermitScan& scan,
                                    bool restart) {
  const JobSpec& spec = job.submitted.spec;
  Resources size = spec.task;
  if (spec.scavenger) size[Dimension::kMillicores] = 0;
  --scan.budget;
  const bool has_no_room = HasNoRoom(scan, spec.constraints.label, size);
  Resources& allowance =
      scan.allowances
          .try_emplace(job.submitted.team,
                       cell_.AllowanceLeftOf(job.submitted.team))
          .first->second;
  const int64_t unit = IsAtomicGang(spec) ? waiting : 1;
  const bool may_request = !permits.request_in_flight &&
                           permits.next_request <= now_ &&
                           permits.valid_until <= now_;
  // Urgent jobs preempt for allowance only once they have permits.
  Resources preemptible;
  if (may_request && spec.priority == Priority::kUrgent &&
      !(spec.task * unit).FitsIn(allowance)) {
    preemptible = cell_.PreemptibleAllowanceOf(job.submitted.job);
  }
  const auto is_allowed = [&](int64_t tasks) {
    return (spec.task * tasks).FitsIn(allowance + preemptible);
  };
  const bool recovered = !permits.answered && !permits.granted.empty();
  const bool bounded = HasBoundedFirstRequest(spec, permits);
  int64_t min_listed = may_request ? kMinWorkersPerRequest : 0;
  if (bounded) min_listed = std::min(min_listed, options_.permit_first_workers);
  if (recovered) min_listed = std::min(min_listed, kRecoveredWorkersPerTask);
  const int64_t tasks = has_no_room || !is_allowed(unit) ? 0 : waiting;
  int64_t tasks_with_room = 0;  // Denied workers are left out.
  bool none_fits = true;
  std::vector<VmId> with_room;
  std::vector<std::pair<WorkerRoom*, int64_t>> taken;
  int64_t taken_tasks = 0;
  const size_t workers = scan.workers.size();
  const size_t first_worker =
      bounded && workers > 0
          ? std::hash<std::string>()(job.submitted.job.value()) % workers
          : 0;
  for (size_t i = 0; i < workers; ++i) {
    WorkerRoom& worker = scan.workers[(first_worker + i) % workers];
    const bool full =
        taken_tasks == tasks || !is_allowed(taken_tasks + 1) ||
        (bounded && tasks_with_room >= kListedRoomPerTask * tasks) ||
        (recovered &&
         std::ssize(with_room) >= kRecoveredWorkersPerTask * tasks);
    if (tasks == 0 || (full && std::ssize(with_room) >= min_listed)) {
      none_fits = false;  // Not determined.
      break;
    }
    --scan.budget;
    if (!MayEverRun(spec, *worker.spec) || !size.FitsIn(worker.free)) continue;
    none_fits = false;
    const int64_t most = RemainingOnWorker(job, worker.spec->vm);
    if (most <= 0 || permits.denied.contains(worker.spec->vm)) continue;
    with_room.push_back(worker.spec->vm);
    // For a worker that was not in any request it is unknown whether the job
    // may run there, so no room is taken.
    const bool granted = permits.granted.contains(worker.spec->vm);
    int64_t here = 0;
    while (here < most && taken_tasks + here < tasks &&
           (size * (here + 1)).FitsIn(worker.free) &&
           is_allowed(taken_tasks + here + 1)) {
      ++here;
    }
    tasks_with_room += here;
    if (!granted) continue;
    taken.emplace_back(&worker, here);
    taken_tasks += here;
  }
  if (none_fits && !spec.scavenger) {
    scan.without_room.push_back({spec.constraints.label, size});
  }
  if (taken_tasks >= unit) {
    for (const auto& [worker, here] : taken) worker->free -= size * here;
    allowance -= spec.task * taken_tasks;
  }
  // The first request of an urgent job lists all workers and need not wait for
  // room.
  const bool first = !permits.answered && spec.priority == Priority::kUrgent;
  if (may_request && (first || tasks_with_room >= unit)) {
    EmitPermitRequest(job, permits, std::move(with_room), restart);
  }
}

// Urgent requests are cheap, and list all workers. So do those of gangs: a gang
// starts only once enough permitted workers have room at the same time, and it
// would need request after request to find them.
bool Owner::Impl::HasBoundedFirstRequest(const JobSpec& spec,
                                         const JobPermits& permits) const {
  return options_.permit_first_workers > 0 && !permits.answered &&
         permits.granted.empty() && spec.priority != Priority::kUrgent &&
         !IsAtomicGang(spec);
}

// Room only shrinks during a scan, so a size that had no room still has none.
bool Owner::Impl::HasNoRoom(const PermitScan& scan, const std::string& label,
                            const Resources& size) {
  return std::any_of(scan.without_room.begin(), scan.without_room.end(),
                     [&](const NoRoom& none) {
                       return (none.label.empty() || none.label == label) &&
                              none.size.FitsIn(size);
                     });
}

// Returns the number of further tasks that the job's max_per_worker allows on
// the worker.
int64_t Owner::Impl::RemainingOnWorker(const LedgerJob& job, const VmId& vm) {
  const int32_t bound = job.submitted.spec.constraints.max_per_worker;
  if (bound <= 0) return std::ssize(job.tasks);
  return bound - std::count_if(job.tasks.begin(), job.tasks.end(),
                               [&](const TaskSnapshot& task) {
                                 return task.state == TaskState::kRunning &&
                                        task.vm == vm;
                               });
}

bool Owner::Impl::MayEverRun(const JobSpec& spec,
                             const WorkerSpec& worker) const {
  return spec.task.FitsIn(worker.capacity) &&
         HasLabel(worker, spec.constraints.label);
}

// Returns true if each worker that could run the job is in `denied`. Denied
// workers that have left do not matter.
bool Owner::Impl::AllDenied(const JobSpec& spec,
                            const std::set<VmId>& denied) const {
  const auto& workers = workers_.workers();
  return std::none_of(workers.begin(), workers.end(), [&](const auto& entry) {
    const auto& [vm, worker] = entry;
    return worker.configured && MayEverRun(spec, worker.spec) &&
           !denied.contains(vm);
  });
}

void Owner::Impl::EmitPermitRequest(const LedgerJob& job, JobPermits& permits,
                                    std::vector<VmId> with_room, bool restart) {
  const JobSpec& spec = job.submitted.spec;
  const std::optional<PermitTerms> terms =
      FindPermitTerms(*environment_.configuration, spec.queue);
  if (!terms) {
    permits.next_request = now_ + options_.permit_retry;
    return;
  }
  RequestPermits request{job.submitted.job, {}, *terms, restart};
  const bool recovered = !permits.answered && !permits.granted.empty();
  const bool bounded = recovered || HasBoundedFirstRequest(spec, permits);
  if (permits.answered || (bounded && !with_room.empty())) {
    request.workers = std::move(with_room);
  } else {
    for (const auto& [vm, worker] : workers_.workers()) {
      if (worker.configured && worker.listed == VmState::kLive &&
          MayEverRun(spec, worker.spec)) {
        request.workers.push_back(vm);
      }
    }
  }
  if (request.workers.size() > kMaxWorkersPerRequest) {
    request.workers.resize(kMaxWorkersPerRequest);
  }
  permits.request_in_flight = true;
  permits.asked_at = now_;
  Emit(std::move(request));
}

void Owner::Impl::On(PermitsIssued event) {
  auto found = permits_.find(event.job);
  if (found == permits_.end()) return;
  JobPermits& permits = found->second;
  permits.request_in_flight = false;
  permits.answered_at = now_;
  if (!event.permits) {
    ++permits.failures;
    permits.next_request = now_ + PermitBackoff(event.job, permits);
    return;
  }
  permits.failures = 0;
  permits.answered = true;
  permits.permits.clear();
  std::vector<VmId> workers;
  for (Permit& permit : *event.permits) {
    workers.push_back(permit.vm);
    permits.granted.insert(permit.vm);
    permits.permits[permit.vm] = std::move(permit.text);
  }
  for (const VmId& vm : event.requested) {
    if (!permits.permits.contains(vm)) permits.denied.insert(vm);
  }
  permits.valid_until = event.valid_until - options_.permit_margin;
  if (workers.empty()) {
    permits.valid_until = now_;
    permits.next_request = now_ + options_.permit_retry;
  }
  const LedgerJob* job = live_.Find(event.job);
  if (job != nullptr && AllDenied(job->submitted.spec, permits.denied)) {
    // Either no worker may run the job, or an answer was wrong. All workers are
    // requested again, at long intervals.
    permits.denied.clear();
    permits.granted.clear();
    permits.answered = false;
    permits.next_request = now_ + options_.permit_denied_retry;
  }
  cell_.SetPermitted(event.job, workers, permits.valid_until);
  placement_due_ = true;
}

// Between half and the whole of the doubled delay; jobs whose requests failed
// together come back spread over the other half.
Duration Owner::Impl::PermitBackoff(const JobId& job,
                                    const JobPermits& permits) const {
  const LedgerJob* waiting = live_.Find(job);
  const bool urgent = waiting != nullptr &&
                      (waiting->submitted.spec.perpetual ||
                       waiting->submitted.spec.priority == Priority::kUrgent);
  const Duration longest = urgent ? kMaxUrgentBackoff : kMaxPermitBackoff;
  const int doublings = std::min(permits.failures - 1, kMaxDoublings);
  const Duration whole =
      std::min(options_.permit_retry * (1 << doublings), longest);
  const auto half = whole.count() / 2;
  const size_t hash = std::hash<std::string>()(
      job.value() + '/' + std::to_string(permits.failures));
  return Duration(half + static_cast<int64_t>(hash % (half + 1)));
}

void Owner::Impl::WithdrawRequests() {
  for (const auto& [job, permits] : permits_) {
    if (permits.request_in_flight) Emit(WithdrawPermits{job});
  }
}

void Owner::Impl::DropPermits(const JobId& job) {
  const auto found = permits_.find(job);
  if (found == permits_.end()) return;
  if (found->second.request_in_flight) Emit(WithdrawPermits{job});
  permits_.erase(found);
  interrupted_.erase(job);
}

std::string Owner::Impl::PermitFor(const JobId& job, const VmId& vm) const {
  auto found = permits_.find(job);
  if (found == permits_.end()) return "";
  auto permit = found->second.permits.find(vm);
  return permit == found->second.permits.end() ? "" : permit->second;
}

}  // namespace azurepass::partition
