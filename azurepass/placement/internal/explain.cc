// Implements explanations of waiting jobs and of their latest starts.

#include "azurepass/placement/internal/explain.h"

#include <algorithm>
#include <array>
#include <utility>

#include "azurepass/placement/internal/search.h"

namespace azurepass::placement::internal {
namespace {

std::string PolicyName(const Policy& policy) {
  return std::visit(Visitor{[](const ServicePolicy&) { return "service"; },
                            [](const BatchPolicy&) { return "batch"; },
                            [](const GangPolicy&) { return "gang"; }},
                    policy);
}

std::string SentenceFor(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone:
      return "No task of the job waits.";
    case WaitReason::kNoRoom:
      return "No open worker has room for the task now.";
    case WaitReason::kAllowance:
      return "The team is at its upper limit in this partition.";
    case WaitReason::kZonesOut:
      return "No availability zone that the contract allows is in service.";
    case WaitReason::kGangIncomplete:
      return "Some of the gang's tasks would fit now, but not all.";
    case WaitReason::kBehindOthers:
      return "Other jobs or teams come first.";
    case WaitReason::kRetryBackoff:
      return "The task failed recently and waits before its next attempt.";
    case WaitReason::kRetryBudget:
      return "The cell's budget of retries is spent for now.";
    case WaitReason::kNoPermit:
      return "The policy service has permitted no worker for now.";
  }
  return "";
}

// Number of workers that lack room, by dimension.
using Shortages = std::array<int64_t, kDimensions>;

std::optional<Dimension> Tightest(const Shortages& shortages) {
  const auto most = std::max_element(shortages.begin(), shortages.end());
  if (*most == 0) return std::nullopt;
  return kAllDimensions[most - shortages.begin()];
}

class GroupExplainer {
 public:
  GroupExplainer(const CellState& state, const Job& job, Index job_index,
                 MonotonicTime now)
      : state_(state),
        job_(job),
        job_index_(job_index),
        now_(now),
        search_(state.fleet, state.reservations, state.run_times) {}

  GroupExplanation Explain(Index zone) const {
    GroupExplanation group;
    group.zone = state_.fleet.zone(zone).id;
    Shortages shortages{};
    const std::vector<Worker>& workers = state_.fleet.workers();
    for (Index w = 0; w < static_cast<Index>(workers.size()); ++w) {
      if (workers[w].known && workers[w].zone == zone) {
        CountWorker(w, group, shortages);
      }
    }
    group.tightest = Tightest(shortages);
    group.verdict = VerdictOf(zone, group);
    return group;
  }

 private:
  void CountWorker(Index w, GroupExplanation& group,
                   Shortages& shortages) const {
    const Worker& worker = state_.fleet.worker(w);
    ++group.workers;
    if (worker.admission != WorkerAdmission::kOpen) {
      ++group.closed;
      return;
    }
    if (worker.health.state == HealthState::kQuarantined) {
      ++group.quarantined;
      return;
    }
    const Resources room = search_.RoomFor(worker, job_, job_index_, now_);
    const std::optional<Dimension> excess = job_.spec.task.FirstExcess(room);
    if (excess.has_value()) {
      ++group.without_room;
      ++shortages[static_cast<int>(*excess)];
      return;
    }
    ++group.with_room;
    const double score = search_.ScoreOf(job_, w);
    group.best_score = std::max(group.best_score.value_or(score), score);
  }

  std::string VerdictOf(Index zone, const GroupExplanation& group) const {
    const std::vector<Index>& allowed = state_.teams[job_.team].zones;
    if (std::find(allowed.begin(), allowed.end(), zone) == allowed.end()) {
      return "not_allowed";
    }
    if (!state_.fleet.zone(zone).in_service) return "zone_out";
    if (!state_.fleet.MayStartInZone(zone)) return "zone_filling_up";
    if (group.with_room > 0) return "has_room";
    if (group.without_room > 0) return "no_room";
    return group.quarantined > 0 ? "quarantined" : "closed";
  }

  const CellState& state_;
  const Job& job_;
  Index job_index_;
  MonotonicTime now_;
  Search search_;
};

DecisionInput InputOf(const CellState& state, const Job& job,
                      const RecordedDecision& record, const Start& outcome) {
  DecisionInput input{.policy = job.spec.policy,
                      .packing = state.fleet.packing(),
                      .size = job.spec.task,
                      .scale = state.fleet.scale(),
                      .team_committed = record.team_committed,
                      .team_allowance = record.team_allowance,
                      .candidates = {},
                      .outcome = outcome};
  for (const RecordedCandidate& candidate : record.candidates) {
    const Worker& worker = state.fleet.worker(candidate.worker);
    input.candidates.push_back({.vm = worker.vm,
                                .zone = state.fleet.zone(worker.zone).id,
                                .free = candidate.free,
                                .zone_tasks = candidate.zone_tasks,
                                .rack_tasks = candidate.rack_tasks,
                                .order = candidate.worker});
  }
  return input;
}

void AddLatest(const CellState& state, const Job& job,
               Explanation& explanation) {
  if (!job.latest) return;
  const LatestStart& latest = *job.latest;
  const Start start{.task = {job.id, latest.task},
                    .vm = state.fleet.worker(latest.worker).vm,
                    .score = latest.score,
                    .considered = latest.considered};
  explanation.latest = start;
  const RecordedDecision* record = state.log.Find(latest.record_number);
  if (record != nullptr) {
    explanation.input = InputOf(state, job, *record, start);
  }
}

// Of the groups with room, marks the one with the best score, in which the next
// start would be, as "chosen", and the others as "lower_score".
void MarkChosen(std::vector<GroupExplanation>& groups) {
  GroupExplanation* best = nullptr;
  for (GroupExplanation& group : groups) {
    if (group.verdict != "has_room") continue;
    group.verdict = "lower_score";
    if (best == nullptr || *group.best_score > *best->best_score) {
      best = &group;
    }
  }
  if (best != nullptr) best->verdict = "chosen";
}

}  // namespace

WaitReason ReasonOf(const CellState& state, const Job& job, const Task& task) {
  switch (task.phase) {
    case TaskPhase::kWaiting:
      break;
    case TaskPhase::kDelayed:
      return task.needs_token ? WaitReason::kRetryBudget
                              : WaitReason::kRetryBackoff;
    default:
      return WaitReason::kNone;
  }
  if (job.lacks_permit()) return WaitReason::kNoPermit;
  if (job.lane == kNone) return WaitReason::kGangIncomplete;
  return state.lanes[job.lane].reason;
}

Explanation ExplainJob(const CellState& state, const JobId& id,
                       Revision revision, MonotonicTime now) {
  Explanation explanation;
  explanation.job = id;
  explanation.revision = revision;
  const Index index = state.FindJob(id);
  if (index == kNone) {
    explanation.sentence = "The job is not known here.";
    return explanation;
  }
  const Job& job = state.jobs[index];
  explanation.policy = PolicyName(job.spec.policy);
  for (const Task& task : job.tasks) {
    explanation.waiting = ReasonOf(state, job, task);
    if (explanation.waiting != WaitReason::kNone) break;
  }
  explanation.sentence = SentenceFor(explanation.waiting);
  const GroupExplainer explainer(state, job, index, now);
  const auto zones = static_cast<Index>(state.fleet.zones().size());
  for (Index zone = 0; zone < zones; ++zone) {
    explanation.groups.push_back(explainer.Explain(zone));
  }
  MarkChosen(explanation.groups);
  AddLatest(state, job, explanation);
  return explanation;
}

std::optional<std::string> FindNeverFits(const CellState& state,
                                         const TeamId& team_id,
                                         const JobSpec& spec) {
  const Index team = state.teams.Find(team_id);
  const bool is_gang = std::holds_alternative<GangPolicy>(spec.policy);
  const int64_t wanted = is_gang ? spec.tasks : 1;
  int64_t places = 0;
  Shortages shortages{};
  Resources largest;
  for (const Fleet::CapacityClass& capacity_class :
       state.fleet.capacity_classes()) {
    const bool allowed =
        team != kNone &&
        std::count(state.teams[team].zones.begin(),
                   state.teams[team].zones.end(), capacity_class.zone);
    if (!allowed || capacity_class.workers == 0) continue;
    largest = Resources::Max(largest, capacity_class.capacity);
    const int32_t fits =
        TimesFits(spec.task, capacity_class.capacity, spec.tasks);
    places += fits * capacity_class.workers;
    if (places >= wanted) return std::nullopt;
    Resources needed = spec.task * (fits + 1);
    for (Dimension d : kAllDimensions) {
      const bool excess =
          needed[d] > capacity_class.capacity[d] && spec.task[d] > 0;
      if (excess) shortages[static_cast<int>(d)] += capacity_class.workers;
    }
  }
  const Dimension fallback = Tightest(shortages).value_or(Dimension::kSlots);
  const Dimension named = spec.task.FirstExcess(largest).value_or(fallback);
  return std::string(DimensionName(named));
}

}  // namespace azurepass::placement::internal
