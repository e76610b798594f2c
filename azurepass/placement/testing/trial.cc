// Applies the calls of a trial to the cell and the oracle.

#include "azurepass/placement/testing/trial.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace azurepass::placement::testing {
namespace {

const Resources kCapacity(4, 8, 8'000, 8'192, 2);
const Resources kSizes[] = {
    {1, 1, 1'000, 1'024, 0}, {1, 2, 3'000, 1'024, 0}, {1, 0, 1'000, 5'000, 1},
    {2, 1, 4'000, 2'048, 1}, {4, 8, 8'000, 8'192, 2},
};
const Resources kAllowances[] = {kUnlimited, kUnlimited,
                                 Resources(6, 20, 16'000, 16'384, 4),
                                 Resources(1, 1, 3'000, 5'000, 1), Resources()};

template <class Map>
auto Pick(const Map& map, uint32_t number) {
  return std::next(map.begin(), number % map.size());
}

TeamId TeamIdFor(uint32_t number) { return TeamId(absl::StrCat("t", number)); }

Options OptionsFor(const TrialOptions& trial) {
  Options options;
  if (trial.check_preferences) {
    options.quarantine = NoQuarantine{};
    options.zone_ramp = Duration(0);
    options.reservation_after = std::chrono::hours(1);
  }
  return options;
}

}  // namespace

std::string ToString(const Call& call) {
  return absl::StrCat("{", static_cast<int>(call.kind), ",", call.a, ",",
                      call.b, ",", call.c, "}");
}

Trial::Trial(const TrialOptions& options)
    : options_(options),
      cell_(OptionsFor(options)),
      oracle_(options.check_preferences),
      now_(std::chrono::hours(1)) {
  TeamTerms terms;
  for (int z = 0; z < options.zones; ++z) {
    const ZoneId zone(absl::StrCat("z", z));
    terms.zones.push_back(zone);
    for (int w = 0; w < options.racks * options.workers; ++w) {
      const WorkerSpec spec{
          .vm = VmId(absl::StrCat("z", z, "w", w)),
          .zone = zone,
          .rack = RackId(absl::StrCat("z", z, "r", w / options.workers)),
          .service = ServiceId("s"),
          .address = "",
          .capacity = kCapacity};
      cell_.AddWorker(spec, WorkerAdmission::kOpen);
      oracle_.AddWorker(spec, WorkerAdmission::kOpen);
    }
  }
  for (int t = 0; t < options.teams; ++t) {
    terms.share = t + 1;
    terms.allowance = kUnlimited;
    cell_.SetTeam(TeamIdFor(t), terms);
    oracle_.SetTeam(TeamIdFor(t), terms);
  }
}

std::optional<TaskId> Trial::PickTask(uint32_t number) const {
  if (oracle_.jobs().empty()) return std::nullopt;
  const auto& [id, job] = *Pick(oracle_.jobs(), number);
  return TaskId{id, static_cast<int32_t>((number / 7) % job.tasks.size())};
}

VmId Trial::PickWorker(uint32_t number) const {
  return Pick(oracle_.workers(), number)->first;
}

void Trial::AddJob(const Call& call) {
  JobSpec spec;
  spec.queue = QueueId("q");
  const Policy policies[] = {BatchPolicy{}, ServicePolicy{}, GangPolicy{}};
  spec.policy = policies[call.a % 3];
  spec.task = kSizes[call.b % std::size(kSizes)];
  spec.tasks = 1 + static_cast<int32_t>(call.c % options_.max_tasks);
  const bool urgent = options_.urgent && call.c % 5 == 4;
  spec.priority = urgent ? Priority::kUrgent : Priority::kNormal;
  spec.declared_run_time = Duration(1'000 * (call.a % 4));
  spec.repeatable = call.b % 4 != 3;
  const TeamId team = TeamIdFor((call.a / 3) % options_.teams);
  const JobId job(absl::StrCat("p.", 100 + jobs_++));
  cell_.AddJob(job, team, spec, now_);
  oracle_.AddJob(job, team, spec);
}

std::optional<std::string> Trial::Decide(const Call& call) {
  now_ += Duration(call.a % 4 * 700);
  const std::vector<Decision> decisions = cell_.Decide(now_, {});
  return oracle_.CheckDecisions(decisions, cell_);
}

void Trial::Release(const Call& call) {
  const std::vector<TaskId> committed = oracle_.Committed();
  if (committed.empty()) return;
  const TaskId& task = committed[call.a % committed.size()];
  const AttemptOutcome outcomes[] = {
      AttemptOutcome::kSucceeded, AttemptOutcome::kFailed,
      AttemptOutcome::kStopped, AttemptOutcome::kLost};
  const AttemptOutcome outcome = outcomes[call.b % 4];
  const bool requeue = outcome != AttemptOutcome::kSucceeded && call.c % 4 > 0;
  cell_.Release(task, outcome, requeue, now_);
  oracle_.Release(task, requeue);
}

void Trial::SetZone(const Call& call) {
  const ZoneId zone(absl::StrCat("z", call.a % options_.zones));
  const bool in_service = call.b % 2 == 1;
  cell_.SetZoneInService(zone, in_service);
  oracle_.SetZoneInService(zone, in_service);
}

void Trial::SetAdmission(const Call& call) {
  const VmId vm = PickWorker(call.a);
  const WorkerAdmission admissions[] = {WorkerAdmission::kOpen,
                                        WorkerAdmission::kClosed,
                                        WorkerAdmission::kLeaving};
  const WorkerAdmission admission = admissions[call.b % 3];
  cell_.SetAdmission(vm, admission);
  oracle_.SetAdmission(vm, admission);
}

void Trial::SetTeam(const Call& call) {
  const TeamId team = TeamIdFor(call.a % options_.teams);
  TeamTerms terms = oracle_.teams().at(team);
  terms.allowance = kAllowances[call.b % std::size(kAllowances)];
  terms.zones.clear();
  for (int z = 0; z < options_.zones; ++z) {
    if (call.c % 4 != static_cast<uint32_t>(z)) {
      terms.zones.emplace_back(absl::StrCat("z", z));
    }
  }
  cell_.SetTeam(team, terms);
  oracle_.SetTeam(team, terms);
}

void Trial::CancelTask(const Call& call) {
  const std::optional<TaskId> task = PickTask(call.a);
  if (!task) return;
  cell_.CancelTask(*task);
  oracle_.CancelTask(*task);
}

std::optional<std::string> Trial::Recover(const Call& call) {
  const std::optional<TaskId> task = PickTask(call.a);
  if (!task) return std::nullopt;
  const VmId vm = PickWorker(call.b);
  const bool expected = oracle_.MayCommit(*task, vm);
  if (cell_.Commit(*task, vm) != expected) return "Commit answered wrongly";
  if (expected) oracle_.Commit(*task, vm);
  return std::nullopt;
}

// Adds a worker again, possibly with another capacity. An idle worker may be
// removed first.
void Trial::ResizeWorker(const Call& call) {
  const VmId vm = PickWorker(call.a);
  WorkerSpec spec = oracle_.workers().at(vm).spec;
  spec.capacity = call.b % 3 == 0 ? kSizes[3] : kCapacity;
  if (call.c % 2 == 0 && oracle_.UsedOn(vm) == Resources()) {
    cell_.RemoveWorker(vm);
    oracle_.RemoveWorker(vm);
  }
  cell_.AddWorker(spec, WorkerAdmission::kOpen);
  oracle_.AddWorker(spec, WorkerAdmission::kOpen);
}

void Trial::RemoveJob(const Call& call) {
  if (oracle_.jobs().empty()) return;
  const auto& [id, job] = *Pick(oracle_.jobs(), call.a);
  const bool done = std::all_of(job.tasks.begin(), job.tasks.end(),
                                [](const Oracle::ModelTask& task) {
                                  return task.phase == Oracle::Phase::kDone;
                                });
  if (!done) return;
  cell_.RemoveJob(id);
  oracle_.RemoveJob(JobId(id));
}

std::optional<std::string> Trial::Apply(const Call& call) {
  switch (call.kind) {
    case CallKind::kAddJob:
      AddJob(call);
      break;
    case CallKind::kDecide:
      return Decide(call);
    case CallKind::kRelease:
      Release(call);
      break;
    case CallKind::kSetZone:
      SetZone(call);
      break;
    case CallKind::kSetAdmission:
      SetAdmission(call);
      break;
    case CallKind::kSetTeam:
      SetTeam(call);
      break;
    case CallKind::kCancelTask:
      CancelTask(call);
      break;
    case CallKind::kRecover:
      return Recover(call);
    case CallKind::kResizeWorker:
      ResizeWorker(call);
      break;
    case CallKind::kRemoveJob:
      RemoveJob(call);
      break;
  }
  return std::nullopt;
}

std::optional<std::string> Trial::Run(const std::vector<Call>& calls) {
  for (const Call& call : calls) {
    if (auto violation = Apply(call)) return violation;
    if (auto violation = oracle_.CompareTotals(cell_)) return violation;
  }
  return std::nullopt;
}

}  // namespace azurepass::placement::testing
